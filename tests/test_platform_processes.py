"""Nodes as processes on stand-ins of the platform.

Guards against faults that only appear end to end: spoiled responses that reach
a caller, unsafe requests that run twice, requests to draining servers, requests
lost in a planned stop, and nodes that stop serving without the store.
"""

import asyncio
import json
import pathlib
import signal

import aiohttp
import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import ServerFaults
from radishwind.standins.store_faults import StoreFaults

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.9.11", "a", "library"),
    Place("a-2", "127.0.9.12", "a", "sessions"),
    Place("b-1", "127.0.9.13", "b", "library"),
]
ROUTES = [route("library", "safe"), route("sessions", "unsafe")]
WAIT_TIMEOUT_S = 20.0
ROOT = pathlib.Path(__file__).parents[1]


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        for path in ("/library/x", "/sessions/x"):
            for instance in running.instances.values():
                await wait_for(
                    lambda i=instance, p=path: is_served(running, i, p)
                )
        for instance in running.instances.values():
            await wait_for(lambda i=instance: sees_all_alive(i))
        yield running


async def sees_all_alive(instance):
    """Returns whether the node sees every node as alive."""
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        text = await got.text()
    alive = 'radishwind_members{state="alive"} '
    counts = [x for x in text.splitlines() if x.startswith(alive)]
    return bool(counts) and float(counts[0].removeprefix(alive)) == len(PLACES)


async def is_served(fleet, instance, path, method="GET"):
    return (await fleet.ask(instance, path, method)).status == 200


async def wait_for(check):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def count_runs(fleet, name):
    return sum(i.server.runs[name] for i in fleet.instances.values())


def log_lines(instance):
    return [json.loads(x) for x in instance.log_path.read_text().splitlines()]


async def test_any_node_serves_any_service_and_returns_the_servers_response(
    fleet,
):
    for instance in fleet.instances.values():
        for path in ("/library/1", "/sessions/1"):
            answer = await fleet.ask(instance, path, request_id="9c41")
            assert answer.status == 200
            assert answer.body == b"done 9c41"
            assert answer.headers["Attempt-Id"] == "9c41"
            assert answer.headers["Response-Signature"].endswith(".9c41")
            assert "Server-Load" not in answer.headers


async def test_every_metric_is_exported_and_documented(fleet):
    instance = fleet.instances["a-1"]
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        text = await got.text()

    names = {
        line.split()[2]
        for line in text.splitlines()
        if line.startswith("# TYPE")
    }
    page = (ROOT / "docs" / "sidecar.md").read_text()
    assert len(names) >= 14
    assert [name for name in sorted(names) if f"`{name}`" not in page] == []
    assert 'service="library",outcome="Done",code="200"' in text


async def test_path_without_a_route_is_not_found(fleet):
    instance = fleet.instances["a-1"]

    assert (await fleet.ask(instance, "/nothing/x")).status == 404


async def test_a_new_version_is_in_force_everywhere_and_drops_routes(fleet):
    fleet.configure([route("library", "safe", name="n", prefix="/new/")])

    async def everywhere():
        for instance in fleet.instances.values():
            if not await is_served(fleet, instance, "/new/x"):
                return False
            if (await fleet.ask(instance, "/library/x")).status != 404:
                return False
        return True

    await wait_for(everywhere)


@pytest.mark.parametrize(
    "how", ["other", "unsigned", "encoded", "cut", "unframed-reset", "lost"]
)
async def test_spoiled_response_is_not_passed_on_and_unsafe_runs_once(
    fleet, how
):
    fleet.instances["a-2"].server.faults = ServerFaults(answer=how)

    answer = await fleet.ask(
        fleet.instances["b-1"], "/sessions/x", "POST", request_id="once"
    )

    assert answer.status in (502, 504)
    assert count_runs(fleet, "once") == 1


async def test_an_idempotent_request_goes_on_to_another_server(fleet):
    fleet.instances["a-1"].server.faults = ServerFaults(answer="cut")

    for _ in range(6):
        assert await is_served(fleet, fleet.instances["a-1"], "/library/x")


async def test_a_draining_server_gets_nothing_new_also_after_a_restart(fleet):
    leaving = fleet.instances["a-2"]
    server = leaving.server
    server.draining = True
    async with aiohttp.ClientSession() as session:
        await wait_for(lambda: server.send_heartbeat(session))
        before = server.runs.total()
        assert (await fleet.ask(leaving, "/sessions/x")).status == 503
        leaving.signal_node(signal.SIGKILL)
        await leaving.node_ended()
        await leaving.start_node()
        await fleet.until_ready(leaving)
        for _ in range(10):
            answer = await fleet.ask(leaving, "/sessions/x")
            assert answer.status == 503
            assert float(answer.headers["Retry-After"]) < 1
    assert server.runs.total() == before


async def test_a_server_that_left_comes_back_under_the_same_name(fleet):
    instance = fleet.instances["a-2"]
    first = instance.server
    first.draining = True
    async with aiohttp.ClientSession() as session:
        await wait_for(lambda: first.send_heartbeat(session))
    assert (await fleet.ask(instance, "/sessions/x")).status == 503

    await instance.restart_server()

    assert instance.server.incarnation == first.incarnation
    await wait_for(lambda: is_served(fleet, instance, "/sessions/x"))


async def test_malformed_heartbeat_changes_nothing(fleet):
    instance = fleet.instances["a-2"]
    name = instance.server.incarnation
    url = f"http://{instance.control_address}/-/Instances.Heartbeat/{name}"
    async with aiohttp.ClientSession() as session:
        for body in (b"", b"\xff", b"[]", b'{"state":"draining","seq":9}'):
            async with session.post(url, data=body) as answer:
                assert answer.status >= 400

    assert await is_served(fleet, instance, "/sessions/x")
    messages = [x for x in log_lines(instance) if "left out" in x["text"]]
    assert len(messages) >= 1


async def test_pipelined_reads_and_a_stop_leave_no_request_without_answer(
    fleet,
):
    stopped = fleet.instances["a-1"]
    for instance in fleet.instances.values():
        instance.server.faults = ServerFaults(slow=20.0)
    head = "GET /library/x HTTP/1.1\r\nHost: {}\r\nAttempt-Id: p{}\r\n\r\n"
    reader, writer = await asyncio.open_connection(
        stopped.caller_address.host, stopped.caller_address.port
    )
    for number in range(3):
        writer.write(head.format(HOST, number).encode())

    async def has_started():
        return all(count_runs(fleet, f"p{i}") for i in range(3))

    await wait_for(has_started)
    stopped.signal_node(signal.SIGTERM)
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        got = await reader.read()

    assert [got.count(b"done p%d" % i) for i in range(3)] == [1, 1, 1]
    assert got.count(b"HTTP/1.1 200") == 3
    assert got.count(b"Connection: close") == 1
    assert await stopped.node_ended() == 0
    writer.close()


async def test_a_planned_stop_finishes_what_runs(fleet):
    stopped, asker = fleet.instances["a-2"], fleet.instances["b-1"]
    # A loose latency objective, so that no node refuses requests to a slow
    # server.
    patient = route("sessions", "unsafe", name="p", prefix="/patient/")
    fleet.configure([*ROUTES, {**patient, "aim-ms": 1500}])
    await wait_for(lambda: is_served(fleet, asker, "/patient/x"))
    stopped.server.faults = ServerFaults(slow=30.0)
    asked = asyncio.create_task(
        fleet.ask(asker, "/patient/x", request_id="last")
    )

    async def has_started():
        return bool(stopped.server.runs["last"])

    await wait_for(has_started)
    stopped.signal_node(signal.SIGTERM)

    assert (await asked).status == 200
    assert await stopped.node_ended() == 0
    stopped_line, last_line = log_lines(stopped)[-2:]
    assert stopped_line["text"] == "node: Stopped."
    assert last_line["text"] == "process: Ended."
    assert (last_line["status"], last_line["cause"]) == (0, "SIGTERM")


async def test_nodes_serve_during_a_long_store_outage(fleet):
    fleet.store.faults = StoreFaults(down="silent")

    for instance in fleet.instances.values():
        assert await is_served(fleet, instance, "/library/x")
    fleet.instances["b-1"].signal_node(signal.SIGKILL)
    await fleet.instances["b-1"].node_ended()
    await fleet.instances["b-1"].start_node()

    # Peers are discovered through the store, so a node that starts now waits
    # for it.
    for _ in range(5):
        assert await is_served(fleet, fleet.instances["a-1"], "/library/x")
    fleet.store.faults = StoreFaults()
    await fleet.until_ready(fleet.instances["b-1"])


async def test_watch_reads_again_after_compaction(fleet):
    fleet.store.compact_history()
    fleet.configure([route("library", "safe", name="n", prefix="/later/")])

    for instance in fleet.instances.values():
        await wait_for(lambda i=instance: is_served(fleet, i, "/later/x"))


async def test_node_without_routes_answers_unavailable(tmp_path):
    async with Fleet(PLACES[:1], tmp_path) as fleet:
        instance = fleet.instances["a-1"]
        await instance.start_node()

        async def refused():
            return (await fleet.ask(instance, "/library/x")).status == 503

        await wait_for(refused)


async def test_a_faulty_reload_keeps_the_old_settings(fleet):
    instance = fleet.instances["a-1"]
    good = instance.settings_path.read_text()
    instance.settings_path.write_text(good.replace("app-addr", "app"))
    instance.signal_node(signal.SIGHUP)

    async def is_logged():
        return any(
            "old settings stay" in x["text"] for x in log_lines(instance)
        )

    await wait_for(is_logged)
    assert await is_served(fleet, instance, "/library/x")
    instance.settings_path.write_text(good)
