"""Nodes as processes that sign what they send to each other."""

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
from radishwind.standins.platform_store import StoreFaults

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
WITHIN_S = 20.0

_MEMBERS = "radishwind_members{"


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
                await until(lambda i=instance, p=path: served(running, i, p))
        for instance in running.instances.values():
            await until(lambda i=instance: requires(i))
        yield running


async def served(fleet, instance, path, key="Token k-7"):
    answer = await fleet.ask(instance, path, headers={"Authorization": key})
    return answer.status == 200


async def metrics(instance):
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        return (await got.text()).splitlines()


async def requires(instance):
    line = 'radishwind_peer_signatures{state="required"} 1'
    return line in await metrics(instance)


async def refused(instance):
    """Returns how many messages the node refused."""
    name = "radishwind_peer_messages_refused_total{"
    lines = [x for x in await metrics(instance) if x.startswith(name)]
    return sum(float(x.rpartition(" ")[2]) for x in lines)


async def until(check):
    async with asyncio.timeout(WITHIN_S):
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def runs(fleet):
    return sum(sum(i.server.runs.values()) for i in fleet.instances.values())


async def test_one_secret_is_made_and_stays_in_the_store(fleet):
    record = json.loads(fleet.store.value(KEY))

    for instance in fleet.instances.values():
        assert record["secret"] not in instance.log_path.read_text()
        assert record["secret"] not in "\n".join(await metrics(instance))


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
    before, ran = await refused(target), runs(fleet)

    url = f"http://{target.peer_address}/sessions/x"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, headers=headers) as answer,
    ):
        assert answer.status == 401

    assert runs(fleet) == ran
    assert await refused(target) == before + 1


async def test_forged_datagram_changes_nothing_and_is_counted(fleet):
    target = fleet.instances["a-1"]
    fact = MemberRecord("z-9", "library", "b", "127.0.9.99:1", 9)
    push = Envelope(0, False, Push("b-1", 0, (fact,)))
    before = await refused(target)

    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as forger:
        data = bytes((Channel.GOSSIP,)) + encode_envelope(push)
        forger.sendto(data, tuple(target.peer_address))

        async def is_counted():
            return await refused(target) == before + 1

        await until(is_counted)

    # Whatever is believed of them: a node that is slow may be suspected.
    told = [x for x in await metrics(target) if x.startswith(_MEMBERS)]
    assert sum(float(line.rpartition(" ")[2]) for line in told) == 3
    assert "z-9" not in target.log_path.read_text()


async def test_nodes_that_run_need_no_store(fleet):
    fleet.store.faults = StoreFaults(down="silent")

    for instance in fleet.instances.values():
        for path in ("/library/x", "/sessions/x"):
            assert await served(fleet, instance, path)


async def test_node_that_began_without_the_store_serves_for_the_others(fleet):
    fleet.store.faults = StoreFaults(down="silent")
    begins = fleet.instances["a-2"]
    begins.signal_node(signal.SIGKILL)
    await begins.node_ended()
    await begins.start_node()

    # It takes what the others sign, though it can't check that.
    await until(lambda: served(fleet, fleet.instances["a-1"], "/sessions/x"))
    await until(lambda: served(fleet, fleet.instances["b-1"], "/open/x", ""))

    fleet.store.faults = StoreFaults()
    await until(lambda: requires(begins))
    await until(lambda: served(fleet, begins, "/library/x"))


async def test_rotation_is_a_removed_record_and_a_start(fleet):
    before = fleet.store.value(KEY)
    fleet.store.remove(KEY)
    begins = fleet.instances["b-1"]
    begins.signal_node(signal.SIGTERM)
    await begins.node_ended()
    await begins.start_node()

    async def is_made():
        return fleet.store.value(KEY) not in (None, before)

    await until(is_made)
    for instance in fleet.instances.values():
        for path in ("/library/x", "/sessions/x"):
            await until(lambda i=instance, p=path: served(fleet, i, p))


async def test_accounts_may_come_into_force_while_nodes_run(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        nodes = running.instances.values()
        for path in ("/library/x", "/sessions/x"):
            for i in nodes:
                await until(lambda i=i, p=path: served(running, i, p, ""))
        assert running.store.value(KEY) is None

        running.configure(ROUTES, tenants=ACCOUNTS)

        for path in ("/library/x", "/sessions/x"):
            for i in nodes:
                await until(lambda i=i, p=path: served(running, i, p))
        for i in nodes:
            await until(lambda i=i: requires(i))
            assert await served(running, i, "/sessions/x")
