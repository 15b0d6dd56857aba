"""An error that is no duty's ends a node by the graceful stop.

Guards against requests in progress that are cut, steps of the stop that are
skipped, and an end whose cause isn't in the last log lines.
"""

import asyncio
import json
import signal
import socket

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from tests.support import processes
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for
from tests.test_supervision_processes import python_with_faulty_step

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [Place("a-1", "127.0.34.1", "a", "s")]

#: Run time of the request in progress (s).
RUN_S = 0.8

#: Steps of the stop of the platform's node that fail.
STOP_STEPS = {
    "stop.rerouting": (
        "sidecar.graceful_shutdown:"
        "GracefulShutdown._wait_until_callers_rerouted"
    ),
    "stop.leaving": "sidecar.app:SidecarNode._advertise_leaving",
    "stop.target": "target.pipeline:TargetPipeline.refuse_new_work",
    "stop.left": "node.membership_tasks:MembershipTasks.advertise_left",
}


def parse(text):
    """Returns the log lines; the traceback of the error stands among them."""
    return [json.loads(x) for x in text.splitlines() if x.startswith("{")]


def log_lines(instance):
    return parse(instance.log_path.read_text())


async def start(fleet, step, file):
    (instance,) = fleet.instances.values()
    instance.python = python_with_faulty_step(step, file)
    fleet.configure([route("s", "safe")])
    await fleet.start(7, spell_s=0.0, work_s=RUN_S)
    await wait_for(lambda: is_served(fleet, instance, "/s/x"))
    return instance


@pytest.mark.parametrize("name", STOP_STEPS)
async def test_failing_step_of_a_stop_cuts_no_other(tmp_path, name):
    async with Fleet(PLACES, tmp_path) as fleet:
        instance = await start(fleet, STOP_STEPS[name], tmp_path / "fail")
        in_progress = asyncio.create_task(fleet.ask(instance, "/s/y"))
        await wait_for(lambda: is_running(instance))
        (tmp_path / "fail").touch()

        instance.signal_node(signal.SIGTERM)

        assert (await in_progress).status == 200
        assert await instance.node_ended() not in (0, -signal.SIGKILL)
        texts = [line["text"] for line in log_lines(instance)]
        assert f"supervision: An error in {name} was contained." in texts
        assert "stop: All requests are finished." in texts
        end = next(
            line
            for line in log_lines(instance)
            if line["text"] == "node: Stopped after an error."
        )
        assert end["kind"] == "InjectedError"
        assert texts[-1] == "process: Ended."


async def is_running(instance):
    return instance.server.runs.total() > 1


async def test_error_out_of_the_start_answers_what_is_in_progress(tmp_path):
    step = "supervision.supervisor:Supervisor.start"
    (tmp_path / "fail").touch()
    async with Fleet(PLACES, tmp_path) as fleet:
        (instance,) = fleet.instances.values()
        instance.python = python_with_faulty_step(step, tmp_path / "fail")
        await instance.start_node()

        assert await instance.node_ended() not in (0, -signal.SIGKILL)

    lines = log_lines(instance)
    assert "stop: All requests are finished." in [x["text"] for x in lines]
    assert lines[-1]["cause"] == "InjectedError"


async def test_taken_address_is_the_cause_in_the_last_line(tmp_path):
    async with Fleet(PLACES, tmp_path) as fleet:
        (instance,) = fleet.instances.values()
        address = instance.caller_address
        with socket.create_server((address.host, address.port)):
            await instance.start_node()
            assert await instance.node_ended() not in (0, -signal.SIGKILL)

    assert log_lines(instance)[-1]["cause"] == "OSError"


def test_failing_step_of_the_stop_of_a_library_node_cuts_no_other(tmp_path):
    file = tmp_path / "fail"
    step = "target.pipeline:TargetPipeline.refuse_new_work"
    with processes.Fleet() as fleet:
        python = python_with_faulty_step(step, file)
        fleet.start_node("t-1", "s", "a", python=python)
        process = fleet.processes["node t-1"]
        processes.wait_until(
            lambda: fleet.status("t-1")["target"] == "t-1", "the node"
        )
        file.touch()
        process.send(signal.SIGTERM)

        assert process.wait() > 0
        lines = parse(process.log())
        texts = [line["text"] for line in lines]
        assert "supervision: An error in stop.target was contained." in texts
        assert "node: Stopped after an error." in texts
