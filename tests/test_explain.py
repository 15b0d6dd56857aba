"""The explain command finds the cause of a failed request in the logs.

Each test makes a request fail in another way (refused, unknown, late) and
checks that the log lines found by its id name the cause.
"""

import asyncio
import json
import signal

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_server import ServerFaults
from radishwind.telemetry.explain import explain_request
from tests.support.processes import command
from tests.test_platform_processes import is_served
from tests.test_platform_processes import PLACES
from tests.test_platform_processes import ROUTES
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            for path in ("/library/x", "/sessions/x"):
                await wait_for(
                    lambda i=instance, p=path: is_served(running, i, p)
                )
        yield running


def log_paths(fleet):
    return [i.log_path for i in fleet.instances.values()]


async def wait_until_explained(fleet, request_id):
    """Waits until the request is logged; returns its line and related ones."""
    lines = []

    async def is_logged():
        lines[:] = explain_request(request_id, log_paths(fleet))
        return bool(lines)

    await wait_for(is_logged)
    return lines


def find_request_line(lines, request_id):
    return next(x for x in lines if x.fields.get("request") == request_id)


async def test_refused_since_no_server_takes_work(fleet):
    stopped = fleet.instances["a-2"]
    await stopped.crash_server()

    async def refused():
        answer = await fleet.ask(
            fleet.instances["b-1"], "/sessions/x", "POST", request_id="ref-1"
        )
        return answer.status == 503

    await wait_for(refused)
    lines = await wait_until_explained(fleet, "ref-1")

    assert find_request_line(lines, "ref-1").fields["code"] in range(3000, 4000)
    assert any("accepts no connections" in x.text for x in lines) or any(
        "a-2 is draining" in x.text for x in lines
    )


async def test_unknown_after_an_answer_was_cut(fleet):
    fleet.instances["a-2"].server.faults = ServerFaults(answer="cut")

    answer = await fleet.ask(
        fleet.instances["b-1"], "/sessions/x", "POST", request_id="cut-1"
    )

    assert answer.status == 502
    own = find_request_line(await wait_until_explained(fleet, "cut-1"), "cut-1")
    assert own.fields["code"] == 4001
    assert own.fields["steps"].startswith("a-2 (")
    assert own.fields["steps"].endswith("RW-4001")


async def test_late_through_a_slowed_server(fleet):
    fleet.instances["a-2"].server.faults = ServerFaults(slow=30.0)

    async def late():
        """Returns the lines of late requests that list the server's pace."""
        await fleet.ask(
            fleet.instances["b-1"], "/sessions/x", request_id="late-1"
        )
        return [
            line
            for line in explain_request("late-1", log_paths(fleet))
            if line.fields.get("aim_left_ms", 1) < 0
            and "pace=30" in line.fields["steps"]
        ]

    await wait_for(late)
    assert (await late())[-1].fields["code"] == 200


async def test_command_prints_rows_and_json(fleet):
    fleet.instances["a-2"].server.faults = ServerFaults(answer="unsigned")
    await fleet.ask(
        fleet.instances["a-1"], "/sessions/x", "POST", request_id="cmd-1"
    )
    await wait_until_explained(fleet, "cmd-1")
    paths = [str(path) for path in log_paths(fleet)]

    code, rows, _ = await asyncio.to_thread(command, "explain", "cmd-1", *paths)
    assert code == 0
    assert "request=cmd-1" in rows
    _, output, _ = await asyncio.to_thread(
        command, "explain", "cmd-1", *paths, "--json"
    )
    assert any(
        x["fields"].get("request") == "cmd-1" for x in json.loads(output)
    )
    code, _, err = await asyncio.to_thread(command, "explain", "none", *paths)
    assert code == 65
    assert "got none" in err


async def test_start_and_stop_are_logged(fleet):
    stopped = fleet.instances["b-1"]
    stopped.signal_node(signal.SIGTERM)
    await stopped.node_ended()

    lines = [json.loads(x) for x in stopped.log_path.read_text().splitlines()]
    texts = [line["text"] for line in lines]
    assert "node: Started." in texts
    assert texts[-2:] == ["node: Stopped.", "process: Ended."]
    assert (lines[-1]["status"], lines[-1]["cause"]) == (0, "SIGTERM")
