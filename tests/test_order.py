"""The decision module alone on generated streams of events: the order of a key, whatever comes back."""

from conftest import Stage
from hypothesis import given, settings
from hypothesis import strategies as st

from pathturn.core import interface as names
from pathturn.core.choice import MAX_KEY_QUEUE

REST_US, KEYS, KINDS = 300_000, ("k", "l"), ("referenced", "once", "repeatable")
ENDS = (
    names.RETURNED,
    names.ERRORED,
    names.FULL,
    names.TIMED_OUT,
    names.UNREACHABLE,
    names.RESET,
    names.CANCELLED,
    names.UNSENT,
)
STEPS = st.one_of(
    st.tuples(st.just("take"), st.integers(0, 2), st.sampled_from(KEYS), st.integers(100, 4000)),
    st.tuples(st.just("end"), st.integers(0, 9), st.sampled_from(ENDS)),
    st.tuples(st.just("leave"), st.integers(0, 40)),
    st.tuples(st.just("unsure"), st.integers(0, 40)),
    st.tuples(st.just("doubt"), st.integers(0, 9), st.sampled_from(ENDS[3:4] + ENDS[5:7])),
    st.tuples(st.just("prove"), st.integers(0, 9)),
    st.tuples(st.just("engine"), st.integers(0, 3), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.integers(1, 700)),
    st.tuples(st.just("stop")),
)


class Judge(Stage):
    """Holds every dispatch against the rule: in the order taken, one at a time, and after the rest."""

    def __init__(self) -> None:
        super().__init__()
        self.pending = []
        self.settings |= {"key_quiet_us": REST_US, "may_cancel": True, "notice_interval_us": 500_000}
        self.keys, self.over, self.rests, self.doubts = [], set(), {}, []
        for kind in KINDS:
            self.group(kind, ordered_by_key=1, dedup_window_us=9_000_000)
        for index in range(4):
            self.engine(index)

    def dispatch(self, batch, engine, time_limit_us):
        key = self.keys[batch]
        earlier = [each for each in range(batch) if self.keys[each] == key]
        assert batch not in self.over, "sent after its end"
        assert all(each in self.over for each in earlier), "an earlier one of its key is not over"
        assert not any(self.keys[each] == key for each, _ in self.flying), "one of its key is out"
        if self.sent.get(batch) is None:
            assert self.now >= self.rests.get(key, 0), "within the rest"
            assert key not in self.doubts, "before the proof"
        super().dispatch(batch, engine, time_limit_us)

    def push_back(self, batch, retry_us):
        self.over.add(batch)

    def error(self, batch):
        self.over.add(batch)

    def take(self, group, key, left):
        self.keys.append(key)
        self.batch(f"b{len(self.keys)}", str(group), key, left=str(left))

    def end(self, which, outcome):
        if not self.flying:
            return
        batch, number = sorted(self.flying)[which % len(self.flying)]
        engine = self.flying.pop((batch, number))
        if outcome in (names.TIMED_OUT, names.RESET, names.CANCELLED):
            self.rests[self.keys[batch]] = self.now + REST_US
        done = batch in self.over or outcome == names.RETURNED
        if outcome == names.RETURNED:
            self.over.add(batch)
        self.round(("dispatch_finished", batch, number, engine, outcome, 50_000, done, 0, 0, None))

    def doubt(self, which, outcome):
        """As a front tells of an outcome whose query may go on: before it."""
        if self.flying:
            key = self.keys[sorted(self.flying)[which % len(self.flying)][0]]
            self.doubts.append(key)
            self.pending = [("execution_unresolved", key)]
            self.end(which, outcome)

    def prove(self, which):
        if self.doubts:
            key = self.doubts.pop(which % len(self.doubts))
            self.rests[key] = self.now + REST_US
            self.round(("execution_ended", key))

    def round(self, *events):
        pending, self.pending = self.pending, []
        super().round(*pending, *events)

    def leave(self, which):
        self._without_answer("batch_withdrawn", which)

    def unsure(self, which):
        if self.keys and not self.sent.get(which % len(self.keys), -1) >= 0:
            self.round(("order_ambiguous", which % len(self.keys)))

    def _without_answer(self, event, which):
        if self.keys:
            self.over.add(which % len(self.keys))
            self.round((event, which % len(self.keys)))

    def engine(self, index, state=0):
        super().engine(index, state=str(state))

    def wait(self, milliseconds):
        for _ in range(-(-milliseconds // 25)):
            self.now += 25_000
            self.round()

    def stop(self):
        self.round(("shutdown", 1_000_000))


@settings(max_examples=300)
@given(st.lists(STEPS, max_size=60))
def test_a_key_keeps_its_order_whatever_becomes_of_its_dispatches(steps) -> None:
    judge = Judge()
    for word, *values in steps:
        getattr(judge, word)(*values)
    # Once all that is out has come back and time has run on, nothing is left and every batch has its end.
    while judge.flying:
        judge.end(0, names.ERRORED)
    while judge.doubts:
        judge.prove(0)
    for _ in range(12):
        judge.wait(500)
        while judge.flying:
            judge.end(0, names.RETURNED)
    assert judge.over == set(range(len(judge.keys)))
    assert (
        not judge.dispatcher.key_queues.queues
        and not judge.dispatcher.key_queues.unresolved
        and not judge.dispatcher.batches
    )


def test_a_key_in_doubt_stays_shut_and_then_rests_while_its_batch_goes_on() -> None:
    judge = Judge()
    judge.take(0, "k", 9000)
    judge.take(0, "k", 9000)
    judge.doubt(0, names.CANCELLED)
    assert list(judge.flying) == [(0, 1)]  # its own further dispatch is not held back
    judge.end(0, names.RETURNED)
    judge.wait(1000)
    assert not judge.flying
    judge.prove(0)
    judge.wait(275)
    assert not judge.flying
    judge.wait(50)
    assert list(judge.flying) == [(1, 0)]


def test_no_more_of_a_key_are_held_than_can_be_written_again_in_time() -> None:
    """A gateway that ends has its clients write all it held of a key 60 ms apart, behind one another."""
    judge = Judge()
    for _ in range(MAX_KEY_QUEUE + 2):
        judge.take(0, "k", 9000)
    assert judge.over == {MAX_KEY_QUEUE, MAX_KEY_QUEUE + 1}
    judge.take(0, "other", 9000)
    assert len(judge.flying) == 2
