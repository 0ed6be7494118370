"""Parts of the decision module by themselves, and the input checks of the adapter."""

import io

import orjson
import pytest

from pathturn.adapter.codec import Codec, serve
from pathturn.core import interface as names
from pathturn.core.dispatcher import Batch, Engine, LatencyModel, fit_latency, solve_shares
from pathturn.structures.sliding_window import SlidingWindowSum


def test_sliding_window_reuses_buckets_and_brackets_the_window() -> None:
    window_sum = SlidingWindowSum(1000, 10)
    for now in range(0, 5000, 50):
        window_sum.add(now, 1)
    assert window_sum.sums(4950)[0] >= 20 >= window_sum.sums(4950, within=True)[0] > 0
    assert window_sum.sums(99_000)[0] == 0


def test_latency_fit_follows_load_but_its_slope_is_never_negative() -> None:
    rising = [5, 10, 20, 30, 60]
    assert fit_latency(rising, [0] * 5) == (pytest.approx(0), pytest.approx(2))
    assert fit_latency([5, 10, 20, 30, 35], [0] * 5)[1] == 0
    assert fit_latency([0] * 5, rising) == (pytest.approx(0), pytest.approx(2))


def test_shares_move_away_from_a_loaded_engine_until_response_time_rises() -> None:
    def shares(lines: list[tuple[float, float]]) -> list[float]:
        return solve_shares([8, 8], [2.0, 0.5], lines, [0.5, 0.5], 0.5)

    assert shares([(1, 0), (1, 0)]) == [0.5, 0.5]
    assert shares([(1, 1), (1, 1)])[1] > 0.55
    assert shares([(1, 1), (9, 1)]) == [0.5, 0.5]


def test_load_is_smoothed_by_the_time_between_reports() -> None:
    engine = Engine(0, 1, 0, 0)
    engine.record_load(0, 1.0)
    engine.record_load(3_000_000, 0.0)
    assert engine.load == pytest.approx(0.3679, abs=1e-3)


def test_grants_grow_until_few_dispatches_spill_and_bias_follows_the_median() -> None:
    model = LatencyModel(names.ServiceGroup(10**6, 2.0, 10**7, 1.0, 0.0, names.REPEATABLE), pages=False)
    for number in range(300):
        batch = Batch(number, model, 0, 10**7, 100_000, 10.0)
        batch.spilled = model.grant_factor * 10 < 40
        model.record_returned(batch, 5_000_000 if number % 10 == 0 else 250_000, 0)
    assert 3 < model.grant_factor < 5
    assert 2 < model.work_bias < 3.2


def test_adapter_exits_with_an_error_message_on_a_malformed_line(capsys) -> None:
    sink = io.BytesIO()
    assert serve(io.BytesIO(b'{"tUs":1,"groups":[]}\n{"tUs":2}\n'), sink) == 2
    assert sink.getvalue() == b'{"groups":[]}\n'
    assert "malformed line" in capsys.readouterr().err


def test_adapter_resolves_pages_in_order_and_forgets_on_restart() -> None:
    config = {"classes": [{"name": "q", "promiseUs": 10**6, "deadlineUs": 10**7, "effect": "retryable"}]}
    row = [7, "a", "m", 0, 0, 1, None]

    def line(now: int, *events: list) -> bytes:
        return orjson.dumps({"tUs": now, "groups": [{"gateway": 4, "input": events}]}) + b"\n"

    hello = ["HELLO", 1, config]
    first = line(
        0,
        hello,
        ["CENSUS", 0, [row]],
        ["ANNOUNCE", 2, 1, 0],
        ["CENSUS", 0, []],
        ["INGRESS", 99, "q", None, None, 10**7, 0, 0, 1, 0],
        ["SURPRISE", 1],
    )
    second = line(1, ["POWER_OFF"], hello, ["ANNOUNCE", 2, 1, 0], ["ANSWER", 99, 0, 7, "ok", 5, True])
    sink = io.BytesIO()
    assert serve(io.BytesIO(first + second), sink) == 0
    replies = [
        [step for group in orjson.loads(reply)["groups"] for step in group["steps"]]
        for reply in sink.getvalue().splitlines()
    ]
    assert [step[:3] for step in replies[0] if step[0] == "RELAY"] == [["RELAY", 99, 7]]
    assert not [step for step in replies[1] if step[0] != "SCHEDULE"]


@pytest.mark.parametrize(
    ("latency_us", "attempts"),
    [pytest.param(250_000, 2, id="timeout"), pytest.param(900, 1, id="refused")],
)
def test_adapter_distinguishes_a_refused_connection_from_a_connect_timeout(latency_us, attempts) -> None:
    """Only a refusal means that the process has ended, so that its successor is still warming up."""
    config = {
        "classes": [
            {"name": "q", "promiseUs": 10**6, "deadlineUs": 10**7, "effect": "retryable", "lateValue": 0.5}
        ],
        "limits": {"dialTimeoutUs": 250_000, "maxAttempts": 5},
        "siblings": 6,
        "rules": {"coldFrom": 0.33, "coldUs": 14_000_000, "fallMultiple": 3.0, "fallUs": 1_000_000},
    }
    codec = Codec()
    work_us = 4_000_000  # more than this gateway may send to an engine that is warming up

    def steps(now_us: int, *events: list) -> list:
        reply = codec.handle_line(
            orjson.dumps({"tUs": now_us, "groups": [{"gateway": 0, "input": list(events)}]})
        )
        return [step for group in orjson.loads(reply)["groups"] for step in group["steps"]]

    sent = steps(
        0,
        ["HELLO", 1, config],
        ["CENSUS", 0, [[7, "a", "m", 0, 0, 8, None]]],
        ["ANNOUNCE", 2, 1, 0],
        ["INGRESS", 99, "q", None, None, 10**7, work_us, 0, 1, 1],
    )
    sent += steps(latency_us, ["ANSWER", 99, 0, 7, "connect_failed", latency_us, False])
    sent += steps(latency_us + 25_000, ["FIRED", 0])
    assert len([step for step in sent if step[0] == "RELAY"]) == attempts
