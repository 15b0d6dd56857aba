"""Nodes as processes that sign their messages to each other.

Guards against forged requests and datagrams that take effect, a secret that
leaks into logs or metrics, and nodes that stop serving without the store or
while the secret is created or rotated.
"""

import asyncio
import json
import signal
import socket

import aiohttp
import msgspec
import pytest

from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import Push
from radishwind.membership.records import MemberRecord
from radishwind.peers.attempts import ATTEMPT_FIELD
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.peer_socket import Channel
from radishwind.sidecar.secret_manager import KEY
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.store_faults import StoreFaults

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.9.31", "a", "library"),
    Place("a-2", "127.0.9.32", "a", "sessions"),
    Place("b-1", "127.0.9.33", "b", "library"),
]
ROUTES = [
    route("library", "safe"),
    route("sessions", "unsafe"),
    route("sessions", "unsafe", name="p", prefix="/open/", public=True),
]
ACCOUNTS = [{"name": "ward-7", "api-keys": ["k-7"]}]
WAIT_TIMEOUT_S = 20.0

MEMBERS_METRIC = "radishwind_members{"


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES, tenants=ACCOUNTS)
        await running.start(7, spell_s=0.0)
        for path in ("/library/x", "/sessions/x"):
            for instance in running.instances.values():
                await wait_for(
                    lambda i=instance, p=path: is_served(running, i, p)
                )
        for instance in running.instances.values():
            await wait_for(lambda i=instance: requires_signatures(i))
        yield running


async def is_served(fleet, instance, path, key="Token k-7"):
    answer = await fleet.ask(instance, path, headers={"Authorization": key})
    return answer.status == 200


async def fetch_metrics(instance):
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        return (await got.text()).splitlines()


async def requires_signatures(instance):
    line = 'radishwind_peer_signatures{state="required"} 1'
    return line in await fetch_metrics(instance)


async def count_refused(instance):
    """Returns the number of messages that the node refused."""
    name = "radishwind_peer_messages_refused_total{"
    lines = [x for x in await fetch_metrics(instance) if x.startswith(name)]
    return sum(float(x.rpartition(" ")[2]) for x in lines)


async def wait_for(check):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def count_runs(fleet):
    return sum(sum(i.server.runs.values()) for i in fleet.instances.values())


async def test_secret_is_created_and_never_logged(fleet):
    record = json.loads(fleet.store.value(KEY))

    for instance in fleet.instances.values():
        assert record["secret"] not in instance.log_path.read_text()
        assert record["secret"] not in "\n".join(await fetch_metrics(instance))


async def test_forged_forward_runs_nothing_and_is_counted(fleet):
    target = fleet.instances["a-2"]
    info = AttemptInfo("x", "a-2", "sessions", False, 900, 2**52, "c", 0)
    info = msgspec.structs.replace(info, account="ward-7")
    headers = {
        "Host": HOST,
        "Attempt-Id": "0123456789abcdef",
        "Tenant": "ward-7",
        ATTEMPT_FIELD: msgspec.json.encode(info).decode(),
    }
    before, ran = await count_refused(target), count_runs(fleet)

    url = f"http://{target.peer_address}/sessions/x"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as answer,
    ):
        assert answer.status == 401

    assert count_runs(fleet) == ran
    assert await count_refused(target) == before + 1


async def test_forged_datagram_changes_nothing_and_is_counted(fleet):
    target = fleet.instances["a-1"]
    fact = MemberRecord("z-9", "library", "b", "127.0.9.99:1", 9)
    push = Envelope(0, False, Push("b-1", 0, (fact,)))
    before = await count_refused(target)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
        data = bytes((Channel.GOSSIP,)) + encode_envelope(push)
        forger.sendto(data, tuple(target.peer_address))

        async def is_counted():
            return await count_refused(target) == before + 1

        await wait_for(is_counted)

    # In whatever states: a slow node may be suspected.
    counts = [
        x for x in await fetch_metrics(target) if x.startswith(MEMBERS_METRIC)
    ]
    assert sum(float(line.rpartition(" ")[2]) for line in counts) == 3
    assert "z-9" not in target.log_path.read_text()


async def test_running_nodes_need_no_store(fleet):
    fleet.store.faults = StoreFaults(down="silent")

    for instance in fleet.instances.values():
        for path in ("/library/x", "/sessions/x"):
            assert await is_served(fleet, instance, path)


async def test_node_started_without_the_store_serves_its_peers(fleet):
    fleet.store.faults = StoreFaults(down="silent")
    restarted = fleet.instances["a-2"]
    restarted.signal_node(signal.SIGKILL)
    await restarted.node_ended()
    await restarted.start_node()

    # It accepts the others' signed messages without verifying them.
    await wait_for(
        lambda: is_served(fleet, fleet.instances["a-1"], "/sessions/x")
    )
    await wait_for(
        lambda: is_served(fleet, fleet.instances["b-1"], "/open/x", "")
    )

    fleet.store.faults = StoreFaults()
    await wait_for(lambda: requires_signatures(restarted))
    await wait_for(lambda: is_served(fleet, restarted, "/library/x"))


async def test_secret_is_rotated_by_removing_it_and_restarting_a_node(fleet):
    before = fleet.store.value(KEY)
    fleet.store.remove(KEY)
    restarted = fleet.instances["b-1"]
    restarted.signal_node(signal.SIGTERM)
    await restarted.node_ended()
    await restarted.start_node()

    async def is_created():
        return fleet.store.value(KEY) not in (None, before)

    await wait_for(is_created)
    for instance in fleet.instances.values():
        for path in ("/library/x", "/sessions/x"):
            await wait_for(lambda i=instance, p=path: is_served(fleet, i, p))


async def test_accounts_can_be_added_while_nodes_run(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        nodes = running.instances.values()
        for path in ("/library/x", "/sessions/x"):
            for i in nodes:
                await wait_for(lambda i=i, p=path: is_served(running, i, p, ""))
        assert running.store.value(KEY) is None

        running.configure(ROUTES, tenants=ACCOUNTS)

        for path in ("/library/x", "/sessions/x"):
            for i in nodes:
                await wait_for(lambda i=i, p=path: is_served(running, i, p))
        for i in nodes:
            await wait_for(lambda i=i: requires_signatures(i))
            assert await is_served(running, i, "/sessions/x")
