"""Duties start again after errors, with pauses in virtual time."""

import asyncio
import json
import random

import anyio
import pytest

from radishwind.supervision import Duty
from radishwind.supervision import DutyStatus
from radishwind.supervision import Supervisor
from radishwind.supervision import supervisor as supervisor_module
from radishwind.supervision.supervisor import INITIAL_PAUSE_S
from radishwind.supervision.supervisor import MAX_PAUSE_S
from radishwind.supervision.supervisor import STEADY_RUN_S

pytestmark = pytest.mark.anyio

SECRET = "k-7 of ward-7"


class FaultyDuty:
    """Raises the given errors, one a run; then runs until cancelled."""

    def __init__(self, *errors, clock=None, run_s=0.0):
        self.errors = list(errors)
        self.clock = clock
        self.run_s = run_s
        self.run_count = 0
        self.runs_steadily = anyio.Event()

    async def run(self):
        self.run_count += 1
        if not self.errors:
            self.runs_steadily.set()
            await anyio.sleep_forever()
        if self.clock is not None:
            self.clock.advance(self.run_s)
        raise self.errors.pop(0)


@pytest.fixture
def pauses(monkeypatch):
    """The pauses of the supervisor, which pass at once."""
    pauses = []

    class Anyio:
        current_effective_deadline = anyio.current_effective_deadline

        @staticmethod
        async def sleep(pause_s):
            pauses.append(pause_s)
            await anyio.lowlevel.checkpoint()

    monkeypatch.setattr(supervisor_module, "anyio", Anyio)
    return pauses


@pytest.fixture
def supervisor(clock, failures):
    return Supervisor(clock, random.Random(1), failures)


async def run_until(supervisor, event, *duties):
    async with anyio.create_task_group() as tasks:
        supervisor.start(tasks, duties)
        with anyio.fail_after(5):
            await event.wait()
        statuses = supervisor.statuses()
        tasks.cancel_scope.cancel()
    return statuses


async def test_duty_runs_again_after_an_error(supervisor, pauses):
    faulty = FaultyDuty(ValueError(), RecursionError())

    (status,) = await run_until(
        supervisor, faulty.runs_steadily, Duty("d", faulty.run)
    )

    assert faulty.run_count == 3
    assert status == DutyStatus("d", True, 2, "RecursionError")


async def test_error_of_a_duty_leaves_the_others_running(supervisor, pauses):
    faulty, other = FaultyDuty(KeyError()), FaultyDuty()

    await run_until(
        supervisor,
        faulty.runs_steadily,
        Duty("other", other.run),
        Duty("faulty", faulty.run),
    )

    assert other.run_count == 1


async def test_pauses_grow_up_to_the_longest(supervisor, pauses):
    faulty = FaultyDuty(*(ValueError() for _ in range(40)))

    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    assert len(pauses) == 40
    assert max(pauses[:2]) <= 2 * INITIAL_PAUSE_S
    assert max(pauses) <= MAX_PAUSE_S
    assert sum(pauses[-20:]) > 20 * MAX_PAUSE_S / 4
    assert len(set(pauses)) == 40, "expected jitter"


async def test_pauses_are_short_again_after_a_steady_run(
    supervisor, pauses, clock
):
    faulty = FaultyDuty(
        *(ValueError() for _ in range(20)), clock=clock, run_s=STEADY_RUN_S
    )

    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    assert max(pauses) <= INITIAL_PAUSE_S


async def test_each_failure_is_logged_with_its_origin_and_no_message(
    supervisor, pauses, lines
):
    group = ExceptionGroup("outer", [ExceptionGroup("", [OSError(SECRET)])])
    faulty = FaultyDuty(group, ValueError(SECRET))

    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    first, second = lines
    assert first["text"].startswith("supervision: The duty d failed")
    assert (first["duty"], first["kind"], first["failures"]) == (
        "d",
        "OSError",
        1,
    )
    assert first["starts_in_s"] == round(pauses[0], 3)
    assert (second["kind"], second["failures"]) == ("ValueError", 2)
    assert "test_supervisor.py" in second["at"]
    assert SECRET not in json.dumps(lines)


async def test_duty_that_returns_is_logged_and_runs_again(
    supervisor, pauses, lines
):
    runs_again = anyio.Event()
    run_count = 0

    async def run():
        nonlocal run_count
        run_count += 1
        if run_count > 1:
            runs_again.set()
            await anyio.sleep_forever()

    await run_until(supervisor, runs_again, Duty("d", run))

    assert [line["kind"] for line in lines] == ["DutyEndedError"]


async def test_duty_that_may_end_runs_once_and_has_no_status_afterwards(
    supervisor, pauses
):
    ended = anyio.Event()

    async def run():
        ended.set()

    async with anyio.create_task_group() as tasks:
        supervisor.start(tasks, [Duty("d", run, may_end=True)])

    assert ended.is_set()
    assert supervisor.statuses() == ()
    assert pauses == []


async def test_duty_is_not_running_during_a_pause(
    supervisor, pauses, monkeypatch
):
    statuses = []

    async def sleep(pause_s):
        statuses.extend(supervisor.statuses())

    monkeypatch.setattr(supervisor_module.anyio, "sleep", sleep)
    faulty = FaultyDuty(ValueError())

    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    assert statuses == [DutyStatus("d", False, 1, "ValueError")]


async def test_cancellation_of_what_a_duty_awaits_is_an_error(
    supervisor, pauses
):
    cancelled = asyncio.get_running_loop().create_future()
    cancelled.cancel()
    runs_again = anyio.Event()
    runs = iter((cancelled, None))

    async def run():
        fut = next(runs)
        if fut is not None:
            await fut
        runs_again.set()
        await anyio.sleep_forever()

    (status,) = await run_until(supervisor, runs_again, Duty("d", run))

    assert status.last_error == "CancelledError"


async def test_cancelled_task_of_a_duty_ends(supervisor, pauses):
    faulty = FaultyDuty()
    task = asyncio.create_task(supervisor.run(Duty("d", faulty.run)))
    await faulty.runs_steadily.wait()

    task.cancel()

    with pytest.raises(asyncio.CancelledError):
        await task
    assert faulty.run_count == 1


async def test_error_of_the_log_does_not_end_a_duty(
    supervisor, pauses, failures, monkeypatch
):
    def fail(*args, **kwargs):
        raise OSError

    monkeypatch.setattr(failures._log, "failure", fail)
    faulty = FaultyDuty(ValueError())

    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    assert faulty.run_count == 2


class OddError(BaseException):
    """An error that isn't an `Exception`."""


async def test_duty_runs_again_after_an_error_that_is_no_exception(
    supervisor, pauses, failures
):
    faulty = FaultyDuty(OddError(), asyncio.CancelledError())
    await run_until(supervisor, faulty.runs_steadily, Duty("d", faulty.run))

    assert failures.counts == {"d": 2}
