"""Changes without sockets: states, canary analysis, ledger, and a crash at every point of a write."""

import sqlite3

import pytest
from hypothesis import settings
from hypothesis import strategies as some
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from msgspec.structs import replace

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
NO_HARM, TOO_LITTLE_TRAFFIC = Observation(None, ()), Observation(None, ("look",))


def document(name="all"):
    return canonical(Document(1, {name: Pool()}, name))


def change(identity="c", base=1, generation=2, policy=POLICY, now=0):
    return states.stage(Change(identity, base, generation, "me", "why", "staged", policy, now), base, None)


# States.
def test_change_passes_canary_steps_and_watch_and_is_kept() -> None:
    current = states.start(change(), 0)
    seen = [(current.state, current.share)]
    for now in range(0, 200 * SECOND, SECOND):
        after = states.evaluate(current, now, NO_HARM)
        if after is not current:
            seen.append((after.state, after.share))
            current = after
    assert seen == [("canary", 0.1), ("canary", 0.5), ("watched", 1.0), ("kept", 1.0)]
    assert current.since_us == 70 * SECOND


def test_harm_rolls_back_at_once_in_every_canary_step() -> None:
    for step in (states.start(change(), 0), states.advance(states.start(change(), 0), 0)):
        undone = states.evaluate(step, 1, Observation("look: late", ("look",), ("a figure",)))
        assert undone.state == "undone" and "look: late" in undone.reason and undone.figures == ("a figure",)
        assert undone.share == 0.0


@pytest.mark.parametrize(("unclear", "ends"), [("undo", "undone"), ("keep", "kept"), ("extend", "undone")])
def test_policy_decides_if_there_is_too_little_traffic_to_judge(unclear, ends) -> None:
    policy = ChangePolicy(canary=(), watch=SECOND, unclear=unclear)
    current = states.start(change(policy=policy), 0)
    now = evaluations = 0
    assert current.state == "watched"
    while current.open:
        now += SECOND
        evaluations += 1
        current = states.evaluate(current, now, TOO_LITTLE_TRAFFIC)
    assert current.state == ends and "too little traffic to judge look" in current.reason
    assert evaluations == (1 + states.MAX_WATCH_EXTENSIONS if unclear == "extend" else 1)


def test_illegal_transitions_and_stale_or_concurrent_changes_are_refused() -> None:
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
    for current_generation, open_change, code in ((2, None, "stale"), (1, change("other"), "busy")):
        with pytest.raises(ChangeRefusedError) as found:
            states.stage(change(), current_generation, open_change)
        assert found.value.code == code


# Canary analysis.
def add_batches(analysis, side, group, batches, late, start_us=0, outcome="errored"):
    for number in range(batches):
        bad = number < late
        analysis.add(
            start_us + number * 1000,
            side,
            BatchOutcome(group, outcome if bad else "returned", bad, 10_000, 0.0 if bad else 1.0),
        )


def baseline_of(**groups):
    baseline = Baseline()
    for group, (batches, late) in groups.items():
        for is_affected in (True, False):
            for number in range(batches):
                bad = number % max(1, batches // max(1, late)) == 0 and late > 0
                baseline.add(
                    number * 10_000,
                    is_affected,
                    BatchOutcome(group, "errored" if bad else "returned", bad, 10_000, 0.0 if bad else 1.0),
                )
    return baseline.finish()


def test_harm_to_one_group_is_found_though_the_total_looks_normal() -> None:
    analysis = CanaryAnalysis(baseline_of(look=(2000, 20), load=(200, 2)), POLICY)
    add_batches(analysis, TREATMENT, "look", 2000, 20)
    add_batches(analysis, TREATMENT, "load", 100, 30)
    add_batches(analysis, UNRELATED, "look", 500, 5)
    found = analysis.worst_harm()
    assert found is not None and found.group == "load" and "load" in str(found)


def test_disturbance_of_treatment_and_control_group_is_no_harm() -> None:
    analysis = CanaryAnalysis(baseline_of(look=(1000, 10)), POLICY)
    add_batches(analysis, TREATMENT, "look", 400, 160)
    add_batches(analysis, CONTROL, "look", 200, 80)
    add_batches(analysis, UNRELATED, "look", 200, 80)
    assert analysis.worst_harm() is None
    add_batches(analysis, TREATMENT, "look", 400, 390, start_us=5 * SECOND)
    add_batches(analysis, CONTROL, "look", 200, 2, start_us=5 * SECOND)
    assert analysis.worst_harm() is not None


def test_batches_withdrawn_by_clients_count_as_harm() -> None:
    analysis = CanaryAnalysis(baseline_of(look=(1000, 10)), POLICY)
    add_batches(analysis, TREATMENT, "look", 200, 60, outcome="given_up")
    add_batches(analysis, UNRELATED, "look", 200, 2)
    assert {each.metric for each in analysis.findings() if each.is_harm} >= {"late", "given_up"}


def test_slower_responses_count_as_harm_though_none_is_late() -> None:
    baseline = Baseline()
    for number in range(1000):
        for is_affected in (True, False):
            baseline.add(
                number * 1000, is_affected, BatchOutcome("look", "returned", False, 1000 + number, 1.0)
            )
    analysis = CanaryAnalysis(baseline.finish(), POLICY)
    for number in range(300):
        analysis.add(
            number * 1000,
            TREATMENT,
            BatchOutcome("look", "returned", False, 1950 if number % 2 else 1500, 1.0),
        )
        analysis.add(
            number * 1000, UNRELATED, BatchOutcome("look", "returned", False, 1000 + 10 * number // 3, 1.0)
        )
    assert [each.metric for each in analysis.findings() if each.is_harm] == ["slow"]


def test_group_is_unjudged_without_enough_treatment_and_control_batches() -> None:
    analysis = CanaryAnalysis(baseline_of(look=(1000, 10)), POLICY)
    assert analysis.unjudged_groups() == ["look"]
    add_batches(analysis, TREATMENT, "look", 200, 200)
    assert analysis.worst_harm() is None and analysis.unjudged_groups() == ["look"], (
        "the control group may do no better"
    )
    add_batches(analysis, UNRELATED, "look", 100, 1)
    assert analysis.worst_harm() is not None and not analysis.unjudged_groups()


@pytest.mark.parametrize("least", [0, 1, 40])
def test_group_without_batches_on_one_side_has_no_verdict(least) -> None:
    """Guards against a division by the batches of the treatment group where the policy asks for none."""
    policy = replace(POLICY, least=least)
    analysis = CanaryAnalysis(baseline_of(look=(1000, 10)), policy)
    add_batches(analysis, CONTROL, "load", 50, 50)  # a group without a baseline, and none by the change
    add_batches(analysis, UNRELATED, "look", 200, 2)
    assert analysis.findings() == [] and analysis.worst_harm() is None
    assert analysis.unjudged_groups() == ["load", "look"]
    add_batches(analysis, TREATMENT, "load", 50, 50)  # no baseline to compare it with
    assert analysis.findings() == [] and analysis.unjudged_groups() == ["load", "look"]


def test_group_with_a_single_key_is_unjudged() -> None:
    """The canary selects by key, so one side has all batches of the group, which must not pass unjudged."""
    analysis = CanaryAnalysis(baseline_of(look=(1000, 10), load=(100, 1)), POLICY)
    add_batches(analysis, TREATMENT, "look", 300, 3)
    add_batches(analysis, UNRELATED, "look", 300, 3)
    add_batches(analysis, CONTROL, "load", 60, 1)
    assert analysis.worst_harm() is None and analysis.unjudged_groups() == ["load"]


def test_confidence_bound_falls_with_batches_and_rises_with_fewer_false_alarms() -> None:
    assert (
        confidence_bound(50, 0.01) > confidence_bound(500, 0.01)
        and confidence_bound(50, 0.001) > confidence_bound(50, 0.01) > 2
    )


def test_recent_outcomes_are_bounded_and_split_by_affected_batches() -> None:
    recent_outcomes = RecentOutcomes(max_age_us=10 * SECOND, max_outcomes=100)
    for number in range(300):
        attributes = batch_attributes("look", None, None, number % 2, str(number))
        recent_outcomes.add(number * SECOND // 4, attributes, BatchOutcome("look", "returned", False, 5, 1.0))
    assert len(recent_outcomes.rows) <= 41
    steps = recent_outcomes.baseline(lambda attributes: attributes.data_set == 1, 75 * SECOND)
    try:
        while True:
            next(steps)
    except StopIteration as done:
        baseline = done.value
    assert baseline.counts_for("look", True).batches == baseline.counts_for("look", False).batches == 20


# Ledger.
def test_crash_or_power_loss_at_any_point_leaves_a_consistent_ledger(tmp_path) -> None:
    crash_points, inconsistent, cuts, inconsistent_cuts = kill_everywhere(tmp_path, 1024)
    assert crash_points >= 25 and cuts >= 100 and inconsistent == inconsistent_cuts == 0


def ledger_with_staged_change(path):
    ledger = Ledger(path)
    ledger.initialize(document())
    ledger.record_staged(change(), document("b"))
    return ledger


def test_open_change_is_rolled_back_at_the_next_start(tmp_path) -> None:
    ledger = ledger_with_staged_change(tmp_path / "l")
    ledger.record_step(states.start(change(), 5))
    ledger.close()
    ledger = Ledger(tmp_path / "l")
    ended = ledger.recover(9)
    assert ended.state == "undone" and "canary" in ended.reason and ledger.current_generation() == 1
    assert ledger.recover(10) is None and [each.change.state for each in ledger.steps("c")] == [
        "staged",
        "canary",
        "undone",
    ]


@pytest.mark.parametrize("data", [b"", b"no ledger at all, " * 100, b"SQLite format 3\x00" + bytes(500)])
def test_file_that_is_no_ledger_is_refused_and_an_empty_one_is_initialized(tmp_path, data) -> None:
    (tmp_path / "l").write_bytes(data)
    if not data:
        assert Ledger(tmp_path / "l").current_generation() == 0
        return
    with pytest.raises(LedgerUnusableError) as found:
        Ledger(tmp_path / "l")
    assert str(tmp_path / "l") in str(found.value) and "\n" not in str(found.value)


def execute_sql(path, statement):
    connection = sqlite3.connect(path)
    connection.execute(statement)
    connection.commit()
    connection.close()


def test_files_of_another_program_or_format_version_are_refused(tmp_path) -> None:
    execute_sql(tmp_path / "other", "CREATE TABLE t (x)")
    with pytest.raises(LedgerUnusableError, match="another program"):
        Ledger(tmp_path / "other")
    ledger_with_staged_change(tmp_path / "l").close()
    execute_sql(tmp_path / "l", "PRAGMA user_version=2")
    with pytest.raises(LedgerUnusableError, match="format 2"):
        Ledger(tmp_path / "l")


def test_start_rolls_back_all_changes_left_open_by_failed_writes(tmp_path) -> None:
    ledger = ledger_with_staged_change(tmp_path / "l")
    ledger.record_staged(change("d", generation=3), document("c"))
    assert ledger.recover(9).id == "d" and ledger.open_change() is None
    assert [each.state for each in ledger.history()] == [
        "undone",
        "undone",
    ] and ledger.current_generation() == 1


def test_ledger_is_locked_by_one_process(tmp_path) -> None:
    ledger = ledger_with_staged_change(tmp_path / "l")
    with pytest.raises(LedgerUnusableError, match="locked; another process has it open"):
        Ledger(tmp_path / "l")
    with pytest.raises(LedgerUnusableError, match="make its folder"):
        Ledger(tmp_path / "none" / "l")
    ledger.close()


@pytest.mark.parametrize("table", ["generations", "changes", "present"])
def test_corrupted_row_is_refused(tmp_path, table) -> None:
    ledger = ledger_with_staged_change(tmp_path / "l")
    column = {"generations": "document", "changes": "record", "present": "generation"}[table]
    ledger.connection.execute(
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
        ledger.connection.execute(f"UPDATE {table} SET {column} = CAST({column} AS BLOB)")
    with pytest.raises(LedgerUnusableError, match="checksum"):
        ledger.current_generation(), ledger.document(1), ledger.history()


def test_full_disk_keeps_the_last_state_and_writes_succeed_once_there_is_space(tmp_path) -> None:
    ledger = ledger_with_staged_change(tmp_path / "l")
    (pages,) = ledger.connection.execute("PRAGMA page_count").fetchone()
    ledger.connection.execute(f"PRAGMA max_page_count={pages}")
    large = states.roll_back(change(), 5, "x" * 50_000)
    with pytest.raises(LedgerWriteError, match="full"):
        ledger.record_step(large)
    assert ledger.open_change().state == "staged"
    ledger.connection.execute("PRAGMA max_page_count=100000")
    ledger.record_step(large)
    assert ledger.open_change() is None and ledger.current_generation() == 1


class ChangeLifecycle(RuleBasedStateMachine):
    """Requests, evaluations and crashes in any order lead only to legal, complete states, with at most one
    change open."""

    @initialize()
    def initialize_ledger(self):
        self.ledger, self.now, self.number = Ledger(":memory:"), 1, 0
        self.ledger.initialize(document())
        self.model = {"current": 1, "open": None}

    @rule(base_offset=some.integers(-1, 0))
    def stage(self, base_offset):
        self.number += 1
        generation, current = self.ledger.last_generation() + 1, self.ledger.current_generation()
        requested = Change(
            f"c{self.number}", current + base_offset, generation, "me", "why", "staged", POLICY, self.now
        )
        try:
            staged = states.stage(requested, current, self.ledger.open_change())
        except ChangeRefusedError:
            assert base_offset or self.model["open"]
            return
        assert not base_offset and self.model["open"] is None
        self.ledger.record_staged(staged, document(f"p{self.number}"))
        self.model["open"] = staged

    @precondition(lambda self: self.model["open"] and self.model["open"].state == "staged")
    @rule()
    def apply(self):
        self._record(states.start(self.model["open"], self.now))

    @precondition(lambda self: self.model["open"] and self.model["open"].state != "staged")
    @rule(
        observation=some.sampled_from([NO_HARM, TOO_LITTLE_TRAFFIC, Observation("harm", ())]),
        elapsed_s=some.integers(0, 70),
    )
    def evaluate(self, observation, elapsed_s):
        self.now += elapsed_s * SECOND
        evaluated = states.evaluate(self.model["open"], self.now, observation)
        if evaluated is not self.model["open"]:
            self._record(evaluated)

    @precondition(lambda self: self.model["open"])
    @rule()
    def roll_back(self):
        self._record(states.roll_back(self.model["open"], self.now, "asked"))

    @rule()
    def crash(self):
        ended = self.ledger.recover(self.now)
        assert (ended is None) == (self.model["open"] is None)
        self.model["open"] = None

    def _record(self, change):
        self.ledger.record_step(change)
        self.model["open"] = change if change.open else None
        if change.state == "kept":
            self.model["current"] = change.generation

    @invariant()
    def ledger_matches_model(self):
        if not hasattr(self, "ledger"):
            return
        assert self.ledger.current_generation() == self.model["current"]
        assert self.ledger.open_change() == self.model["open"]
        assert canonical(self.ledger.document(self.ledger.current_generation()))
        assert sum(each.open for each in self.ledger.history(1000)) == (self.model["open"] is not None)


TestChangeLifecycle = ChangeLifecycle.TestCase
TestChangeLifecycle.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
