"""What a request lost its worth by, as its line in the log tells."""

import pytest

from radishwind.telemetry.explain import LogLine
from radishwind.telemetry.losses import classify_loss
from radishwind.telemetry.losses import Loss
from radishwind.telemetry.losses import summarize_losses

CALM = "b-1 (cost=130ms pace=1 age=20ms spell=150ms busy=2+0/9) 140ms 200"
SLOW = "b-1 (cost=630ms pace=5 age=20ms spell=150ms busy=2+0/9) 640ms 200"
FULL = "b-1 (cost=430ms pace=1 age=20ms spell=150ms busy=7+3/7) 540ms 200"
CUT = "b-2 (cost=130ms unheard) 140ms RW-4001"
SHED = "b-2 (cost=130ms unheard) 3ms RW-3002"
NO_LONGER = "b-2 (cost=130ms unheard) 90ms cancelled"


def line(
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
    ("told", "loss"),
    [
        (line(CALM, aim_left_ms=20.0), Loss.NONE),
        (line(CALM), Loss.LONG_RUN),
        (line(SLOW), Loss.SLOW_INSTANCE),
        (line(FULL), Loss.QUEUE),
        (line(f"{CUT}; {CALM}"), Loss.SEVERAL_TRIES),
        (line(f"{NO_LONGER}; {SLOW}"), Loss.SLOW_INSTANCE),
        (line(SHED, code=3002, elapsed_ms=8.0), Loss.REFUSED),
        (line(SHED, code=3002), Loss.REFUSED_LATE),
        (line(CUT, code=4001), Loss.BROKEN_OFF),
        (line(CALM.replace(" 200", " 500"), code=500), Loss.FAILED),
        (line("", code=3001, elapsed_ms=1.0), Loss.REFUSED),
    ],
)
def test_each_loss_has_its_name(told, loss):
    assert classify_loss(told) is loss


def test_the_greatest_loss_comes_first_and_what_was_held_back_is_told():
    other = LogLine(7.0, "a-1", "membership: somebody left.", {})

    found = summarize_losses(
        [
            line(SLOW, held_back=3),
            line(FULL, at=8.0, elapsed_ms=100.0),
            line(FULL, at=9.5, elapsed_ms=300.0),
            line(CALM, aim_left_ms=1.0, held_back=2),
            other,
        ]
    )

    assert [(r.loss, r.requests) for r in found.rows] == [
        (Loss.QUEUE, 2),
        (Loss.SLOW_INSTANCE, 1),
    ]
    assert found.rows[0].mean_ms == 200.0
    assert found.held_back == 5
    assert found.by_second[9] == {Loss.QUEUE: 1}
