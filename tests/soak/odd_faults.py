"""Faults of other writers: odd records, messages, settings and answers."""

import asyncio
import random
import signal
import socket
import time

import aiohttp

from radishwind.http.types import Address
from radishwind.platform.header_fields import HEARTBEAT_PATH
from radishwind.platform.header_fields import READY_PATH
from radishwind.standins.odd_answers import OddAnswer
from radishwind.standins.odd_entries import make_platform_entries
from radishwind.standins.odd_messages import CONTROL_PATHS
from radishwind.standins.odd_messages import make_odd_bodies
from radishwind.standins.odd_messages import make_odd_datagrams
from radishwind.standins.odd_records import make_odd_heartbeats
from radishwind.standins.odd_records import make_odd_response_fields
from radishwind.standins.odd_records import make_odd_settings
from radishwind.standins.odd_records import nested_arrays
from radishwind.standins.odd_records import nested_objects
from radishwind.standins.odd_records import with_unknown_field
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_server import ServerFaults
from radishwind.standins.store_faults import StoreFaults
from tests.soak.deployment import Deployment
from tests.soak.reservation import inject_exclusively

_DOMAINS = ("a", "b")
_SERVICES = ("library", "sessions")

#: Timeout of a call to a node that may have been stopped (s).
_CALL_TIMEOUT_S = 1.0


async def write_odd_records(deployment: Deployment, rng: random.Random) -> str:
    """Writes odd records among the good ones; at times a node starts beside."""
    now_ms = int(time.time() * 1000)
    every_entry = make_platform_entries(rng, _DOMAINS, _SERVICES, now_ms)
    entries = rng.sample(every_entry, 4)
    for entry in entries:
        deployment.odd_items.write(entry)
        deployment.injected["odd records"] += 1
    await asyncio.sleep(0.5 * rng.random())
    if rng.random() < 0.7:
        await inject_exclusively(
            deployment,
            rng,
            lambda i: deployment.restart_node(
                i, rng.choice((signal.SIGTERM, signal.SIGKILL))
            ),
        )
    await asyncio.sleep(1 + 2 * rng.random())
    for entry in entries:
        deployment.odd_items.remove(entry)
    return ", ".join(entry.name for entry in entries)


async def write_odd_config(deployment: Deployment, rng: random.Random) -> str:
    """Adds an unknown field that nests deep to a sound configuration."""
    levels = rng.choice((1_000, 100_000))
    raw = rng.choice((nested_arrays, nested_objects))(levels)
    in_route = rng.random() < 0.5

    def rewrite(config: bytes) -> bytes:
        deployment.injected["odd configuration"] += 1
        if not in_route:
            return with_unknown_field(config, raw)
        head, routes, rest = config.partition(b'"routes": [')
        return head + routes + with_unknown_field(rest, raw)

    deployment.fleet.rewrite_config = rewrite
    deployment.configure()
    await asyncio.sleep(1 + 2 * rng.random())
    if deployment.fleet.rewrite_config is rewrite:
        deployment.fleet.rewrite_config = bytes
    if rng.random() < 0.5:
        deployment.configure()
    return f"{levels} in {'a route' if in_route else 'the whole'}"


async def send_odd_datagrams(deployment: Deployment, rng: random.Random) -> str:
    """Sends odd datagrams of all channels to the peer ports."""
    datagrams = make_odd_datagrams(
        rng, rng.choice(_SERVICES), rng.choice(_DOMAINS)
    )
    sent = rng.sample(datagrams, 12)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in sent:
            instance = rng.choice(deployment.instances())
            sender.sendto(datagram.data, tuple(instance.peer_address))
            deployment.injected["odd datagrams"] += 1
            await asyncio.sleep(0.05 * rng.random())
    return ", ".join(datagram.name for datagram in sent)


async def call_oddly(deployment: Deployment, rng: random.Random) -> str:
    """Sends odd calls to the listeners that are not for callers."""
    names = []
    async with aiohttp.ClientSession() as session:
        for _ in range(8):
            instance = rng.choice(deployment.instances())
            body = rng.choice(make_odd_bodies(rng))
            address, path = rng.choice(
                (
                    *((instance.peer_address, path) for path in CONTROL_PATHS),
                    (instance.ready_address, READY_PATH),
                    (instance.control_address, HEARTBEAT_PATH),
                    (instance.metrics_address, "/metrics"),
                )
            )
            status = await _post(session, address, path, body.data)
            deployment.injected["odd calls"] += status != 0
            names.append(f"{path} {body.name} {status}")
    return ", ".join(names)


async def send_odd_heartbeats(
    deployment: Deployment, rng: random.Random
) -> str:
    """Sends odd heartbeats of a live server, which must be refused."""
    instance = rng.choice(deployment.instances())
    server = instance.server
    if server is None or server.leaving:
        return "nothing"
    variants = rng.sample(make_odd_heartbeats(rng, server.make_heartbeat()), 6)
    async with aiohttp.ClientSession() as session:
        for variant in variants:
            if server.leaving:
                break
            status = await _post(
                session,
                instance.control_address,
                HEARTBEAT_PATH + server.incarnation,
                variant.data,
            )
            deployment.injected["odd heartbeats"] += status != 0
            if status == 500 or (status == 200 and not variant.is_sound):
                deployment.odd_violations.append(
                    f"{instance.place.name}: heartbeat {variant.name} answered "
                    f"with {status}"
                )
    return ", ".join(variant.name for variant in variants)


async def _post(
    session: aiohttp.ClientSession, address: Address, path: str, body: bytes
) -> int:
    """Returns the status of the answer; 0 if there was none."""
    timeout = aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S)
    try:
        async with session.post(
            f"http://{address}{path}", data=body, timeout=timeout
        ) as response:
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def spoil_settings(deployment: Deployment, rng: random.Random) -> str:
    """Replaces the settings file of a running node for a while."""
    names = []

    async def spoil(instance: Instance) -> None:
        if not instance.has_logged_since_start:
            return
        good = instance.settings_path.read_bytes()
        odd = rng.choice(make_odd_settings(rng, good))
        names.append(odd.name)
        try:
            instance.settings_path.write_bytes(odd.data)
            deployment.injected["odd settings"] += 1
            for _ in range(3):
                if rng.random() < 0.7:
                    instance.signal_node(signal.SIGHUP)
                await asyncio.sleep(0.5 * rng.random())
        finally:
            instance.settings_path.write_bytes(good)
        instance.signal_node(signal.SIGHUP)

    name = await inject_exclusively(deployment, rng, spoil)
    return f"{name} {names}"


async def state_odd_fields(deployment: Deployment, rng: random.Random) -> str:
    """Lets a server state odd header fields of itself in all responses."""
    server = rng.choice(deployment.instances()).server
    fields = rng.choice(make_odd_response_fields())
    faults = ServerFaults(odd_fields=fields)
    if server is None:
        return "nothing"
    server.faults = faults
    await asyncio.sleep(0.5 + 2 * rng.random())
    if server.faults is faults:
        server.faults = ServerFaults()
    return str(fields)[:80]


async def answer_oddly(deployment: Deployment, rng: random.Random) -> str:
    """Lets the store answer oddly for a while, with a change meanwhile."""
    store, checks = deployment.fleet.store, deployment.config_checks
    faults = StoreFaults(odd_answer=rng.choice(list(OddAnswer)))
    loop = asyncio.get_running_loop()
    checks.begin_store_disturbance(loop.time())
    store.faults = faults
    deployment.configure()
    await asyncio.sleep(0.5 + 1.5 * rng.random())
    if store.faults is faults:
        store.faults = StoreFaults()
    checks.end_store_disturbance(loop.time())
    return faults.odd_answer


ODD_FAULTS = (
    write_odd_records,
    write_odd_records,
    write_odd_config,
    send_odd_datagrams,
    call_oddly,
    send_odd_heartbeats,
    spoil_settings,
    state_odd_fields,
    answer_oddly,
)
