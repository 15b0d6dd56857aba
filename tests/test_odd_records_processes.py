"""An odd record of another writer ends no node and hides no other record."""

import json
import signal
import socket

import aiohttp
import pytest

from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import Push
from radishwind.membership.records import MemberRecord
from radishwind.peers.peer_socket import Channel
from radishwind.sidecar.secret_manager import decode_record
from radishwind.sidecar.secret_manager import KEY
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place(f"{domain}-{number}", f"127.0.32.{10 * index + number}", domain, "s")
    for index, domain in enumerate("ab", 1)
    for number in (1, 2)
]

#: A JSON value with more levels than any parser accepts, and a record with it.
NESTED = "[" * 100_000 + "]" * 100_000
NESTED_FIELD = f'{{"unknown":{NESTED}}}'

ACCOUNTS = [{"name": "ward-7", "api-keys": ["k-7"]}]


def contact(address):
    return json.dumps({"contacts": [[address, 1]]})


#: Records of another writer: name, key, value.
ODD_RECORDS = [
    ("contacts-nested", "/radishwind/contacts/a", NESTED_FIELD),
    (
        "contacts-nested-unknown",
        "/radishwind/contacts/c",
        f'{{"contacts":[],"more":{NESTED}}}',
    ),
    ("contact-empty-label", "/radishwind/contacts/c", contact("a..b:7600")),
    (
        "contact-long-label",
        "/radishwind/contacts/c",
        contact("x" * 300 + ":7600"),
    ),
    ("contact-port", "/radishwind/contacts/c", contact("127.0.0.1:99999")),
    (
        "contact-number",
        "/radishwind/contacts/c",
        '{"contacts":[["127.0.0.1:9",1' + "0" * 400 + "]]}",
    ),
    ("profile-nested", "radishwind/habits/s", NESTED_FIELD),
    ("leaving-number", "radishwind/leaving/i-1@" + "9" * 100, "1"),
]


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure([route("s", "safe")])
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            await wait_for(lambda i=instance: is_served(running, i, "/s/x"))
        yield running


async def stop_and_start(instance):
    instance.signal_node(signal.SIGTERM)
    assert await instance.node_ended() == 0
    await instance.start_node()


async def restart_first_of_each_domain(fleet):
    for name in ("a-1", "b-1"):
        await stop_and_start(fleet.instances[name])
    for name in ("a-1", "b-1"):
        await fleet.until_ready(fleet.instances[name])


async def serves_everywhere(fleet, path):
    for instance in fleet.instances.values():
        assert instance.exit_status is None, f"{instance.place.name} ended"
        if not await is_served(fleet, instance, path):
            return False
    return True


async def adopt_route_everywhere(fleet, prefix, **more):
    new = route("s", "safe", name="new", prefix=f"/{prefix}/", **more)
    fleet.configure([route("s", "safe"), new])
    await wait_for(lambda: serves_everywhere(fleet, f"/{prefix}/x"))


@pytest.mark.parametrize(
    ("key", "value"),
    [record[1:] for record in ODD_RECORDS],
    ids=[record[0] for record in ODD_RECORDS],
)
async def test_odd_record_in_the_store_ends_no_node(fleet, key, value):
    fleet.store.put(key, value.encode())
    await restart_first_of_each_domain(fleet)

    await adopt_route_everywhere(fleet, "new")


async def test_nested_record_of_the_secret_is_replaced_and_ends_no_node(
    tmp_path,
):
    async with Fleet(PLACES, tmp_path) as fleet:
        fleet.configure([route("s", "safe", public=True)], tenants=ACCOUNTS)
        await fleet.start(7, spell_s=0.0)
        for instance in fleet.instances.values():
            await wait_for(lambda i=instance: requires_signatures(i))
        fleet.store.put(KEY, NESTED_FIELD.encode())
        await restart_first_of_each_domain(fleet)
        for instance in fleet.instances.values():
            await wait_for(lambda i=instance: requires_signatures(i))

        await wait_for(lambda: serves_everywhere(fleet, "/s/x"))
        assert decode_record(fleet.store.value(KEY)) is not None


async def requires_signatures(instance):
    assert instance.exit_status is None, f"{instance.place.name} ended"
    line = 'radishwind_peer_signatures{state="required"} 1'
    return line in await metric_lines(instance)


@pytest.mark.parametrize("where", ["whole", "route"])
async def test_configuration_with_a_nested_unknown_field_is_adopted(
    fleet, where
):
    cfg = json.loads(fleet.store.value("op/config"))
    cfg["version"] += 2
    cfg["routes"].append(route("s", "safe", name="new", prefix="/new/"))
    (cfg if where == "whole" else cfg["routes"][0])["unknown"] = "@"
    text = json.dumps(cfg).replace('"@"', NESTED)
    fleet.store.put("op/config", text.encode())

    await wait_for(lambda: serves_everywhere(fleet, "/new/x"))
    await restart_first_of_each_domain(fleet)
    assert await serves_everywhere(fleet, "/new/x")


@pytest.mark.parametrize("version", [2**53 + 2, 2**62])
async def test_configuration_of_a_high_version_is_adopted(fleet, version):
    cfg = json.loads(fleet.store.value("op/config"))
    cfg["version"] = version
    cfg["routes"].append(route("s", "safe", name="new", prefix="/new/"))
    fleet.store.put("op/config", json.dumps(cfg).encode())

    await wait_for(lambda: serves_everywhere(fleet, "/new/x"))
    await restart_first_of_each_domain(fleet)
    assert await serves_everywhere(fleet, "/new/x")


@pytest.mark.parametrize("address", ["node.example:7600", "[::1]:7600"])
async def test_member_whose_address_is_no_ipv4_address_ends_no_node(
    fleet, address
):
    receiver = fleet.instances["a-1"]
    record = MemberRecord("odd", "s", "a", address, 1_000)
    push = Push("odd", 0, (record,))
    datagram = bytes((Channel.GOSSIP,)) + encode_envelope(
        Envelope(0, False, push)
    )
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(datagram, tuple(receiver.peer_address))

    await wait_for(lambda: knows_members(receiver, len(PLACES) + 1))
    # The failure detector probes the member until it counts it as dead.
    await wait_for(lambda: counts_dead(receiver, 1))
    assert await serves_everywhere(fleet, "/s/x")
    await adopt_route_everywhere(fleet, "new")


async def metric_lines(instance):
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        return (await got.text()).splitlines()


async def member_counts(instance):
    """Returns the number of members by state, as the node sees them."""
    prefix = 'radishwind_members{state="'
    lines = await metric_lines(instance)
    texts = [x.removeprefix(prefix) for x in lines if x.startswith(prefix)]
    return {x.split('"')[0]: float(x.split()[-1]) for x in texts}


async def knows_members(instance, count):
    return sum((await member_counts(instance)).values()) >= count


async def counts_dead(instance, count):
    return (await member_counts(instance)).get("dead", 0) >= count


@pytest.mark.parametrize("signals", [True, False], ids=["signal", "silent"])
@pytest.mark.parametrize(
    "text",
    [
        "x = " + "[" * 5_000 + "]" * 5_000,
        "x = " + "{a=" * 5_000 + "1" + "}" * 5_000,
    ],
    ids=["arrays", "tables"],
)
async def test_nested_settings_file_leaves_the_settings_in_force(
    fleet, text, signals
):
    instance = fleet.instances["a-1"]
    good = instance.settings_path.read_text()
    instance.settings_path.write_text(f"{text}\n{good}")
    if signals:
        instance.signal_node(signal.SIGHUP)

    await wait_for(lambda: logs(instance, "The settings file is invalid"))
    instance.settings_path.write_text(good)
    assert await serves_everywhere(fleet, "/s/x")


async def logs(instance, sentence):
    assert instance.exit_status is None, "the node ended"
    return sentence in instance.log_path.read_text()
