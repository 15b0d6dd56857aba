"""Classification of lost requests by their log lines."""

import json

import pytest

from radishwind.telemetry.explain import LogLine
from radishwind.telemetry.explain import read_log
from radishwind.telemetry.losses import classify_loss
from radishwind.telemetry.losses import Loss
from radishwind.telemetry.losses import summarize_losses

NORMAL_STEP = (
    "b-1 (cost=130ms pace=1 age=20ms spell=150ms busy=2+0/9) 140ms 200"
)
SLOW_STEP = "b-1 (cost=630ms pace=5 age=20ms spell=150ms busy=2+0/9) 640ms 200"
FULL_STEP = "b-1 (cost=430ms pace=1 age=20ms spell=150ms busy=7+3/7) 540ms 200"
BROKEN_STEP = "b-2 (cost=130ms unheard) 140ms RW-4001"
REFUSED_STEP = "b-2 (cost=130ms unheard) 3ms RW-3002"
CANCELLED_STEP = "b-2 (cost=130ms unheard) 90ms cancelled"


def make_line(
    steps="", code=200, aim_left_ms=-5.0, elapsed_ms=500.0, at=7.0, **more
):
    fields = {
        "request": "x",
        "route": "r",
        "code": code,
        "aim_left_ms": aim_left_ms,
        "elapsed_ms": elapsed_ms,
        "steps": steps,
        **more,
    }
    return LogLine(at, "a-1", "entry: Answered a request: done.", fields)


@pytest.mark.parametrize(
    ("logged", "loss"),
    [
        (make_line(NORMAL_STEP, aim_left_ms=20.0), Loss.NONE),
        (make_line(NORMAL_STEP), Loss.LONG_RUN),
        (make_line(SLOW_STEP), Loss.SLOW_INSTANCE),
        (make_line(FULL_STEP), Loss.QUEUE),
        (make_line(f"{BROKEN_STEP}; {NORMAL_STEP}"), Loss.SEVERAL_TRIES),
        (make_line(f"{CANCELLED_STEP}; {SLOW_STEP}"), Loss.SLOW_INSTANCE),
        (make_line(REFUSED_STEP, code=3002, elapsed_ms=8.0), Loss.REFUSED),
        (make_line(REFUSED_STEP, code=3002), Loss.REFUSED_LATE),
        (make_line(BROKEN_STEP, code=4001), Loss.BROKEN_OFF),
        (make_line(NORMAL_STEP.replace(" 200", " 500"), code=500), Loss.FAILED),
        (make_line("", code=3001, elapsed_ms=1.0), Loss.REFUSED),
    ],
)
def test_classifies_the_loss_of_a_request(logged, loss):
    assert classify_loss(logged) is loss


def test_summary_starts_with_the_most_frequent_loss_and_counts_held_back():
    unrelated = LogLine(7.0, "a-1", "membership: somebody left.", {})

    summary = summarize_losses(
        [
            make_line(SLOW_STEP, held_back=3),
            make_line(FULL_STEP, at=8.0, elapsed_ms=100.0),
            make_line(FULL_STEP, at=9.5, elapsed_ms=300.0),
            make_line(NORMAL_STEP, aim_left_ms=1.0, held_back=2),
            unrelated,
        ]
    )

    assert [(r.loss, r.requests) for r in summary.rows] == [
        (Loss.QUEUE, 2),
        (Loss.SLOW_INSTANCE, 1),
    ]
    assert summary.rows[0].mean_ms == 200.0
    assert summary.held_back == 5
    assert summary.by_second[9] == {Loss.QUEUE: 1}


@pytest.mark.parametrize("odd", ["x", [], {}, 10**400, "nan"], ids=ascii)
@pytest.mark.parametrize(
    "name", ["timestamp", "elapsed_ms", "held_back", "code", "aim_left_ms"]
)
def test_odd_line_of_a_log_hides_no_other(tmp_path, name, odd):
    good = {"timestamp": 7.5, "text": "entry: Answered a request: done."}
    good |= {"request": "x", "code": 3002, "elapsed_ms": 8.0}
    path = tmp_path / "node.log"
    path.write_text(
        "".join(f"{json.dumps(x)}\n" for x in ({**good, name: odd}, good))
    )

    summary = summarize_losses(read_log(path))

    assert Loss.REFUSED in {row.loss for row in summary.rows}
