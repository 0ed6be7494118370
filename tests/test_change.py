"""Changes apart from any socket: states, guard, ledger; every point at which the process may end."""

import sqlite3

import pytest
from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from benchmarks.change import kill_everywhere
from pathturn.change import states
from pathturn.change.canary_analysis import (
    CONTROL,
    TREATMENT,
    UNRELATED,
    Baseline,
    BatchOutcome,
    CanaryAnalysis,
    confidence_bound,
)
from pathturn.change.ledger import Ledger, LedgerUnusableError, LedgerWriteError
from pathturn.change.recent_outcomes import RecentOutcomes
from pathturn.change.states import Change, ChangeRefusedError, IllegalTransitionError, Observation
from pathturn.config.document import CanaryStep, ChangePolicy, Document, Pool
from pathturn.config.read import canonical
from pathturn.routing.router import batch_attributes

SECOND = 1_000_000
POLICY = ChangePolicy(canary=(CanaryStep(0.1, 5 * SECOND), CanaryStep(0.5, 5 * SECOND)), watch=60 * SECOND)
CALM, UNSEEN = Observation(None, ()), Observation(None, ("look",))


def document(name="all"):
    return canonical(Document(1, {name: Pool()}, name))


def change(identity="c", base=1, generation=2, policy=POLICY, now=0):
    return states.stage(Change(identity, base, generation, "me", "why", "staged", policy, now), base, None)


# States.
def test_a_change_goes_through_its_steps_to_all_and_is_kept() -> None:
    at = states.start(change(), 0)
    seen = [(at.state, at.share)]
    for now in range(0, 200 * SECOND, SECOND):
        after = states.evaluate(at, now, CALM)
        if after is not at:
            seen.append((after.state, after.share))
            at = after
    assert seen == [("canary", 0.1), ("canary", 0.5), ("watched", 1.0), ("kept", 1.0)]
    assert at.since_us == 70 * SECOND


def test_harm_undoes_in_every_step_before_its_time() -> None:
    for step in (states.start(change(), 0), states.advance(states.start(change(), 0), 0)):
        undone = states.evaluate(step, 1, Observation("look: late", ("look",), ("a figure",)))
        assert undone.state == "undone" and "look: late" in undone.reason and undone.figures == ("a figure",)
        assert undone.share == 0.0


@pytest.mark.parametrize(("unclear", "ends"), [("undo", "undone"), ("keep", "kept"), ("extend", "undone")])
def test_too_little_to_judge_gets_the_stated_answer(unclear, ends) -> None:
    policy = ChangePolicy(canary=(), watch=SECOND, unclear=unclear)
    at, now, looks = states.start(change(policy=policy), 0), 0, 0
    assert at.state == "watched"
    while at.open:
        now, looks = now + SECOND, looks + 1
        at = states.evaluate(at, now, UNSEEN)
    assert at.state == ends and "too little traffic to judge look" in at.reason
    assert looks == (1 + states.MAX_WATCH_EXTENSIONS if unclear == "extend" else 1)


def test_what_leads_nowhere_is_refused() -> None:
    kept = states.keep(states.advance(states.advance(states.start(change(), 0), 1), 2), 3, "", ())
    for step in (
        lambda: states.start(kept, 1),
        lambda: states.roll_back(kept, 1, "x"),
        lambda: states.advance(change(), 1),
        lambda: states.keep(change(), 1, "", ()),
        lambda: states.extend_watch(change(), 1),
    ):
        with pytest.raises(IllegalTransitionError):
            step()
    for present, held, code in ((2, None, "stale"), (1, change("other"), "busy")):
        with pytest.raises(ChangeRefusedError) as found:
            states.stage(change(), present, held)
        assert found.value.code == code


# Canary analysis.
def feed(guard, side, group, batches, late, at=0, sort="errored"):
    for number in range(batches):
        bad = number < late
        guard.add(
            at + number * 1000,
            side,
            BatchOutcome(group, sort if bad else "returned", bad, 10_000, 0.0 if bad else 1.0),
        )


def past(**groups):
    before = Baseline()
    for group, (batches, late) in groups.items():
        for kind in (True, False):
            for number in range(batches):
                bad = number % max(1, batches // max(1, late)) == 0 and late > 0
                before.add(
                    number * 10_000,
                    kind,
                    BatchOutcome(group, "errored" if bad else "returned", bad, 10_000, 0.0 if bad else 1.0),
                )
    return before.finish()


def test_harm_to_one_group_is_seen_where_the_total_looks_fine() -> None:
    guard = CanaryAnalysis(past(look=(2000, 20), load=(200, 2)), POLICY)
    feed(guard, TREATMENT, "look", 2000, 20)
    feed(guard, TREATMENT, "load", 100, 30)
    feed(guard, UNRELATED, "look", 500, 5)
    found = guard.worst_harm()
    assert found is not None and found.group == "load" and "load" in str(found)


def test_a_shock_that_hits_both_sides_undoes_nothing() -> None:
    guard = CanaryAnalysis(past(look=(1000, 10)), POLICY)
    feed(guard, TREATMENT, "look", 400, 160)
    feed(guard, CONTROL, "look", 200, 80)
    feed(guard, UNRELATED, "look", 200, 80)
    assert guard.worst_harm() is None
    feed(guard, TREATMENT, "look", 400, 390, at=5 * SECOND)
    feed(guard, CONTROL, "look", 200, 2, at=5 * SECOND)
    assert guard.worst_harm() is not None


def test_batches_that_clients_give_up_count() -> None:
    guard = CanaryAnalysis(past(look=(1000, 10)), POLICY)
    feed(guard, TREATMENT, "look", 200, 60, sort="given_up")
    feed(guard, UNRELATED, "look", 200, 2)
    assert {each.metric for each in guard.findings() if each.is_harm} >= {"late", "given_up"}


def test_slower_answers_count_though_all_are_in_time() -> None:
    before = Baseline()
    for number in range(1000):
        for kind in (True, False):
            before.add(number * 1000, kind, BatchOutcome("look", "returned", False, 1000 + number, 1.0))
    guard = CanaryAnalysis(before.finish(), POLICY)
    for number in range(300):
        guard.add(
            number * 1000,
            TREATMENT,
            BatchOutcome("look", "returned", False, 1950 if number % 2 else 1500, 1.0),
        )
        guard.add(
            number * 1000, UNRELATED, BatchOutcome("look", "returned", False, 1000 + 10 * number // 3, 1.0)
        )
    assert [each.metric for each in guard.findings() if each.is_harm] == ["slow"]


def test_too_little_and_a_control_that_has_not_come_yet_are_no_judgement() -> None:
    guard = CanaryAnalysis(past(look=(1000, 10)), POLICY)
    assert guard.unjudged_groups() == ["look"]
    feed(guard, TREATMENT, "look", 200, 200)
    assert guard.worst_harm() is None and guard.unjudged_groups() == ["look"], "the others may fare no better"
    feed(guard, UNRELATED, "look", 100, 1)
    assert guard.worst_harm() is not None and not guard.unjudged_groups()


def test_a_group_whose_every_batch_has_one_key_is_left_unjudged_not_passed() -> None:
    """Its key is in the canary or not, so that one side has all of it."""
    guard = CanaryAnalysis(past(look=(1000, 10), load=(100, 1)), POLICY)
    feed(guard, TREATMENT, "look", 300, 3)
    feed(guard, UNRELATED, "look", 300, 3)
    feed(guard, CONTROL, "load", 60, 1)
    assert guard.worst_harm() is None and guard.unjudged_groups() == ["load"]


def test_the_bound_is_tightest_where_it_is_looked_for_and_asks_more_of_a_lower_rate() -> None:
    assert (
        confidence_bound(50, 0.01) > confidence_bound(500, 0.01)
        and confidence_bound(50, 0.001) > confidence_bound(50, 0.01) > 2
    )


def test_the_past_is_bounded_and_sorted_by_what_a_change_touches() -> None:
    lately = RecentOutcomes(max_age_us=10 * SECOND, max_outcomes=100)
    for number in range(300):
        told = batch_attributes("look", None, None, number % 2, str(number))
        lately.add(number * SECOND // 4, told, BatchOutcome("look", "returned", False, 5, 1.0))
    assert len(lately.rows) <= 41
    steps = lately.baseline(lambda told: told.data_set == 1, 75 * SECOND)
    try:
        while True:
            next(steps)
    except StopIteration as done:
        before = done.value
    assert before.counts_for("look", True).batches == before.counts_for("look", False).batches == 20


# Ledger.
def test_a_kill_or_a_loss_of_power_at_any_point_leaves_a_whole_state(tmp_path) -> None:
    points, halves, torn, torn_halves = kill_everywhere(tmp_path, 1024)
    assert points >= 25 and torn >= 100 and halves == torn_halves == 0


def life(path):
    book = Ledger(path)
    book.initialize(document())
    book.record_staged(change(), document("b"))
    return book


def test_what_was_not_kept_is_undone_at_the_next_start(tmp_path) -> None:
    book = life(tmp_path / "l")
    book.record_step(states.start(change(), 5))
    book.close()
    book = Ledger(tmp_path / "l")
    ended = book.recover(9)
    assert ended.state == "undone" and "canary" in ended.reason and book.current_generation() == 1
    assert book.recover(10) is None and [each.change.state for each in book.steps("c")] == [
        "staged",
        "canary",
        "undone",
    ]


@pytest.mark.parametrize("data", [b"", b"no ledger at all, " * 100, b"SQLite format 3\x00" + bytes(500)])
def test_a_file_that_is_none_is_refused_with_one_line_or_begun_if_empty(tmp_path, data) -> None:
    (tmp_path / "l").write_bytes(data)
    if not data:
        assert Ledger(tmp_path / "l").current_generation() == 0
        return
    with pytest.raises(LedgerUnusableError) as found:
        Ledger(tmp_path / "l")
    assert str(tmp_path / "l") in str(found.value) and "\n" not in str(found.value)


def meddle(path, statement):
    other = sqlite3.connect(path)
    other.execute(statement)
    other.commit()
    other.close()


def test_another_programs_and_another_versions_files_are_refused(tmp_path) -> None:
    meddle(tmp_path / "other", "CREATE TABLE t (x)")
    with pytest.raises(LedgerUnusableError, match="another program"):
        Ledger(tmp_path / "other")
    life(tmp_path / "l").close()
    meddle(tmp_path / "l", "PRAGMA user_version=2")
    with pytest.raises(LedgerUnusableError, match="format 2"):
        Ledger(tmp_path / "l")


def test_a_start_undoes_also_what_an_unwritten_undo_left_open(tmp_path) -> None:
    book = life(tmp_path / "l")
    book.record_staged(change("d", generation=3), document("c"))
    assert book.recover(9).id == "d" and book.open_change() is None
    assert [each.state for each in book.history()] == ["undone", "undone"] and book.current_generation() == 1


def test_two_processes_do_not_share_a_ledger(tmp_path) -> None:
    book = life(tmp_path / "l")
    with pytest.raises(LedgerUnusableError, match="locked; another process has it open"):
        Ledger(tmp_path / "l")
    with pytest.raises(LedgerUnusableError, match="make its folder"):
        Ledger(tmp_path / "none" / "l")
    book.close()


@pytest.mark.parametrize("table", ["generations", "changes", "present"])
def test_a_value_that_turned_is_refused(tmp_path, table) -> None:
    book = life(tmp_path / "l")
    column = {"generations": "document", "changes": "record", "present": "generation"}[table]
    book.connection.execute(
        f"UPDATE {table} SET {column} = "
        + (
            "7"
            if table == "present"
            else f"replace({column}, 'all', 'alt')"
            if table == "generations"
            else f"replace({column}, '\"me\"', '\"my\"')"
        )
    )
    if table != "present":
        book.connection.execute(f"UPDATE {table} SET {column} = CAST({column} AS BLOB)")
    with pytest.raises(LedgerUnusableError, match="checksum"):
        book.current_generation(), book.document(1), book.history()


def test_a_full_disk_leaves_the_state_before_and_takes_the_next_step_once_there_is_room(tmp_path) -> None:
    book = life(tmp_path / "l")
    (pages,) = book.connection.execute("PRAGMA page_count").fetchone()
    book.connection.execute(f"PRAGMA max_page_count={pages}")
    large = states.roll_back(change(), 5, "x" * 50_000)
    with pytest.raises(LedgerWriteError, match="full"):
        book.record_step(large)
    assert book.open_change().state == "staged"
    book.connection.execute("PRAGMA max_page_count=100000")
    book.record_step(large)
    assert book.open_change() is None and book.current_generation() == 1


class Life(RuleBasedStateMachine):
    """Any order of requests, watch and crashes: only legal states, never two open, never half."""

    @initialize()
    def begin_ledger(self):
        self.book, self.now, self.number = Ledger(":memory:"), 1, 0
        self.book.initialize(document())
        self.model = {"present": 1, "open": None}

    @rule(base_off=some.integers(-1, 0))
    def stage(self, base_off):
        self.number += 1
        generation, present = self.book.last_generation() + 1, self.book.current_generation()
        asked = Change(
            f"c{self.number}", present + base_off, generation, "me", "why", "staged", POLICY, self.now
        )
        try:
            staged = states.stage(asked, present, self.book.open_change())
        except ChangeRefusedError:
            assert base_off or self.model["open"]
            return
        assert not base_off and self.model["open"] is None
        self.book.record_staged(staged, document(f"p{self.number}"))
        self.model["open"] = staged

    @precondition(lambda self: self.model["open"] and self.model["open"].state == "staged")
    @rule()
    def apply(self):
        self._move(states.start(self.model["open"], self.now))

    @precondition(lambda self: self.model["open"] and self.model["open"].state != "staged")
    @rule(sight=some.sampled_from([CALM, UNSEEN, Observation("harm", ())]), passed=some.integers(0, 70))
    def look(self, sight, passed):
        self.now += passed * SECOND
        judged = states.evaluate(self.model["open"], self.now, sight)
        if judged is not self.model["open"]:
            self._move(judged)

    @precondition(lambda self: self.model["open"])
    @rule()
    def undo(self):
        self._move(states.roll_back(self.model["open"], self.now, "asked"))

    @rule()
    def crash(self):
        ended = self.book.recover(self.now)
        assert (ended is None) == (self.model["open"] is None)
        self.model["open"] = None

    def _move(self, moved):
        self.book.record_step(moved)
        self.model["open"] = moved if moved.open else None
        if moved.state == "kept":
            self.model["present"] = moved.generation

    @invariant()
    def whole(self):
        if not hasattr(self, "book"):
            return
        assert self.book.current_generation() == self.model["present"]
        assert self.book.open_change() == self.model["open"]
        assert canonical(self.book.document(self.book.current_generation()))
        assert sum(each.open for each in self.book.history(1000)) == (self.model["open"] is not None)


TestLife = Life.TestCase
TestLife.settings = settings(max_examples=60, stateful_step_count=30, deadline=None, derandomize=True)
