"""Batches of one key keep their order, in the decision module alone under generated sequences of events."""

from conftest import Stage
from hypothesis import given, settings
from hypothesis import strategies as st

from pathturn.core import interface as names
from pathturn.core.dispatcher import MAX_KEY_QUEUE

QUIET_PERIOD_US = 300_000
KEYS = ("k", "l")
KINDS = ("referenced", "once", "repeatable")
OUTCOMES = (
    names.RETURNED,
    names.ERRORED,
    names.FULL,
    names.TIMED_OUT,
    names.UNREACHABLE,
    names.RESET,
    names.CANCELLED,
    names.UNSENT,
)
UNRESOLVED_OUTCOMES = (names.TIMED_OUT, names.RESET, names.CANCELLED)
GENERATED_STEPS = st.one_of(
    st.tuples(st.just("receive"), st.integers(0, 2), st.sampled_from(KEYS), st.integers(100, 4000)),
    st.tuples(st.just("finish"), st.integers(0, 9), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("withdraw"), st.integers(0, 40)),
    st.tuples(st.just("make_ambiguous"), st.integers(0, 40)),
    st.tuples(st.just("unresolve"), st.integers(0, 9), st.sampled_from(UNRESOLVED_OUTCOMES)),
    st.tuples(st.just("resolve"), st.integers(0, 9)),
    st.tuples(st.just("engine"), st.integers(0, 3), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.integers(1, 700)),
    st.tuples(st.just("stop")),
)


class OrderChecker(Stage):
    """Checks each dispatch: a key's batches go in order of arrival, one at a time, after the quiet period."""

    def __init__(self) -> None:
        super().__init__()
        self.pending = []
        self.settings |= {"key_quiet_us": QUIET_PERIOD_US, "may_cancel": True, "notice_interval_us": 500_000}
        self.keys = []
        self.ended_batches = set()
        self.quiet_until = {}
        self.unresolved = []
        for kind in KINDS:
            self.group(kind, ordered_by_key=1, dedup_window_us=9_000_000)
        for index in range(4):
            self.engine(index)

    def dispatch(self, batch, engine, time_limit_us):
        key = self.keys[batch]
        earlier = [other for other in range(batch) if self.keys[other] == key]
        assert batch not in self.ended_batches, "dispatched after its end"
        assert all(other in self.ended_batches for other in earlier), (
            "an earlier batch of its key is still open"
        )
        assert not any(self.keys[other] == key for other, _ in self.flying), "a batch of its key is in flight"
        if self.sent.get(batch) is None:
            assert self.now >= self.quiet_until.get(key, 0), "within the quiet period"
            assert key not in self.unresolved, "while an execution is unresolved"
        super().dispatch(batch, engine, time_limit_us)

    def push_back(self, batch, retry_us):
        self.ended_batches.add(batch)

    def error(self, batch):
        self.ended_batches.add(batch)

    def receive(self, group, key, remaining_ms):
        self.keys.append(key)
        self.batch(f"b{len(self.keys)}", str(group), key, left=str(remaining_ms))

    def finish(self, position, outcome):
        if not self.flying:
            return
        batch, number = sorted(self.flying)[position % len(self.flying)]
        engine = self.flying.pop((batch, number))
        if outcome in UNRESOLVED_OUTCOMES:
            self.quiet_until[self.keys[batch]] = self.now + QUIET_PERIOD_US
        done = batch in self.ended_batches or outcome == names.RETURNED
        if outcome == names.RETURNED:
            self.ended_batches.add(batch)
        self.round(("dispatch_finished", batch, number, engine, outcome, 50_000, done, 0, 0, None))

    def unresolve(self, position, outcome):
        """Report an outcome whose query may still be running; the event comes before the outcome."""
        if self.flying:
            key = self.keys[sorted(self.flying)[position % len(self.flying)][0]]
            self.unresolved.append(key)
            self.pending = [("execution_unresolved", key)]
            self.finish(position, outcome)

    def resolve(self, position):
        if self.unresolved:
            key = self.unresolved.pop(position % len(self.unresolved))
            self.quiet_until[key] = self.now + QUIET_PERIOD_US
            self.round(("execution_ended", key))

    def round(self, *events):
        pending, self.pending = self.pending, []
        super().round(*pending, *events)

    def withdraw(self, position):
        self._end_without_response("batch_withdrawn", position)

    def make_ambiguous(self, position):
        if self.keys and not self.sent.get(position % len(self.keys), -1) >= 0:
            self.round(("order_ambiguous", position % len(self.keys)))

    def _end_without_response(self, event, position):
        if self.keys:
            self.ended_batches.add(position % len(self.keys))
            self.round((event, position % len(self.keys)))

    def engine(self, index, state=0):
        super().engine(index, state=str(state))

    def wait(self, milliseconds):
        for _ in range(-(-milliseconds // 25)):
            self.now += 25_000
            self.round()

    def stop(self):
        self.round(("shutdown", 1_000_000))


@settings(max_examples=300)
@given(st.lists(GENERATED_STEPS, max_size=60))
def test_order_of_a_key_holds_under_all_outcomes(steps) -> None:
    checker = OrderChecker()
    for step, *values in steps:
        getattr(checker, step)(*values)
    # Once every dispatch has its outcome and time has passed, all batches have ended and no state is left.
    while checker.flying:
        checker.finish(0, names.ERRORED)
    while checker.unresolved:
        checker.resolve(0)
    for _ in range(12):
        checker.wait(500)
        while checker.flying:
            checker.finish(0, names.RETURNED)
    assert checker.ended_batches == set(range(len(checker.keys)))
    assert (
        not checker.dispatcher.key_queues.queues
        and not checker.dispatcher.key_queues.unresolved
        and not checker.dispatcher.batches
    )


def test_an_unresolved_execution_blocks_its_key_but_not_the_retries_of_its_batch() -> None:
    checker = OrderChecker()
    checker.receive(0, "k", 9000)
    checker.receive(0, "k", 9000)
    checker.unresolve(0, names.CANCELLED)
    assert list(checker.flying) == [(0, 1)]  # a retry of the same batch is not held back
    checker.finish(0, names.RETURNED)
    checker.wait(1000)
    assert not checker.flying
    checker.resolve(0)
    checker.wait(275)
    assert not checker.flying
    checker.wait(50)
    assert list(checker.flying) == [(1, 0)]


def test_no_more_batches_of_a_key_are_held_than_can_be_resent_in_time() -> None:
    """When a gateway exits, its clients resend all batches of a key that it held, 60 ms apart."""
    checker = OrderChecker()
    for _ in range(MAX_KEY_QUEUE + 2):
        checker.receive(0, "k", 9000)
    assert checker.ended_batches == {MAX_KEY_QUEUE, MAX_KEY_QUEUE + 1}
    checker.receive(0, "other", 9000)
    assert len(checker.flying) == 2
