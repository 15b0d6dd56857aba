"""Errors of listeners, short tasks, stop steps and callbacks are contained."""

import asyncio
import json

import anyio
import anyio.lowlevel
import pytest

from radishwind.supervision import handle_loop_errors
from radishwind.supervision import Listeners
from radishwind.supervision import listeners as listeners_module
from radishwind.supervision import notify
from radishwind.supervision import run_contained
from radishwind.supervision import StopSteps
from radishwind.supervision import TaskPool

pytestmark = pytest.mark.anyio

SECRET = "k-7 of ward-7"


def fail(*args):
    raise RecursionError(SECRET)


async def fail_later():
    await anyio.lowlevel.checkpoint()
    raise RecursionError(SECRET)


def test_error_of_a_listener_is_logged_and_counted(failures, lines):
    assert not notify("l", fail)
    assert notify("l", lambda: None)

    assert failures.counts == {"l": 1}
    (line,) = lines
    assert (line["duty"], line["kind"]) == ("l", "RecursionError")
    assert "test_containment.py" in line["at"]
    assert SECRET not in json.dumps(lines)


def test_repeated_errors_of_a_listener_are_counted_and_logged_once(
    failures, lines
):
    for _ in range(1000):
        notify("l", fail)

    assert failures.counts == {"l": 1000}
    assert len(lines) == 1


async def test_short_task_returns_its_result_or_none(failures):
    async def work(number):
        return number

    assert await run_contained("t", work, 7) == 7
    assert await run_contained("t", fail_later) is None
    assert failures.counts == {"t": 1}


async def test_error_of_a_task_leaves_the_others_in_its_pool(failures):
    pool = TaskPool("p")
    ended = anyio.Event()

    async def work():
        await anyio.wait_all_tasks_blocked()
        ended.set()

    assert not pool.start_soon(work)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.duty.run)
        await anyio.wait_all_tasks_blocked()
        assert pool.start_soon(work)
        assert pool.start_soon(fail_later)
        with anyio.fail_after(5):
            await ended.wait()
        tasks.cancel_scope.cancel()

    assert failures.counts == {"p": 1}
    assert not pool.is_running


class Listener:
    def __init__(self, errors=0):
        self.errors = errors
        self.heard = []
        self.has_heard = anyio.Event()

    def __call__(self, change):
        if self.errors:
            self.errors -= 1
            raise KeyError
        self.heard.append(change)
        self.has_heard.set()


async def test_error_of_a_listener_hides_no_change_from_the_others(failures):
    listeners = Listeners("l")
    heard = [Listener(), Listener(errors=1), Listener()]
    for listener in heard:
        listeners.add(listener)

    listeners.notify(4)

    assert [listener.heard for listener in heard] == [[4], [], [4]]


async def test_listener_that_failed_is_called_again_with_the_newest_change(
    failures, monkeypatch
):
    monkeypatch.setattr(listeners_module, "INITIAL_RETRY_PAUSE_S", 0.0)
    listeners = Listeners("l")
    steady, faulty = Listener(), Listener(errors=3)
    listeners.add(steady)
    listeners.add(faulty)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(listeners.retries.run)
        listeners.notify(4)
        listeners.notify(5)
        with anyio.fail_after(5):
            await faulty.has_heard.wait()
        tasks.cancel_scope.cancel()

    assert faulty.heard == [5]
    assert steady.heard == [4, 5]
    assert failures.counts == {"l": 3}


async def test_error_of_a_stop_step_cuts_no_other(failures):
    steps = StopSteps()
    ran = []

    async def run():
        ran.append("run")

    steps.call("first", fail)
    steps.call("second", ran.append, "call")
    await steps.run("third", fail_later)
    await steps.run("fourth", run)

    assert ran == ["call", "run"]
    assert isinstance(steps.first_error, RecursionError)
    assert failures.counts == {"stop.first": 1, "stop.third": 1}


async def test_error_of_a_callback_is_a_log_line_without_arguments(
    failures, lines, capfd
):
    loop = asyncio.get_running_loop()
    handle_loop_errors(loop)

    loop.call_soon(fail, SECRET)
    await anyio.sleep(0.01)
    loop.call_exception_handler({"message": f"Odd (of {SECRET})"})

    loop.set_exception_handler(None)
    assert failures.counts == {"event_loop": 2}
    assert lines[0]["kind"] == "RecursionError"
    assert SECRET not in json.dumps(lines)
    assert capfd.readouterr().err == ""


async def wait_for_what_is_cancelled():
    future = asyncio.get_running_loop().create_future()
    future.cancel()
    await future


async def test_cancellation_of_what_a_short_task_waits_for_is_contained(
    failures,
):
    assert await run_contained("t", wait_for_what_is_cancelled) is None
    assert failures.counts == {"t": 1}


async def test_task_whose_wait_is_cancelled_cancels_no_other_of_its_pool(
    failures,
):
    pool = TaskPool("p")
    ended = anyio.Event()

    async def work():
        await anyio.lowlevel.checkpoint()
        ended.set()

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pool.duty.run)
        while not pool.is_running:
            await anyio.lowlevel.checkpoint()
        pool.start_soon(wait_for_what_is_cancelled)
        pool.start_soon(work)
        with anyio.fail_after(5):
            await ended.wait()
        assert pool.is_running
        tasks.cancel_scope.cancel()
    assert failures.counts == {"p": 1}


async def test_contained_task_that_is_cancelled_ends(failures):
    with anyio.move_on_after(0) as scope:
        await run_contained("t", anyio.sleep_forever)

    assert scope.cancelled_caught
    assert failures.counts == {}
