"""Nodes as processes beside servers that send responses a second time, late."""

import asyncio
import collections
import itertools
import random

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import ServerFaults
from tests.test_platform_processes import is_served
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.19.11", "a", "orders"),
    Place("b-1", "127.0.19.12", "b", "orders"),
    Place("c-1", "127.0.19.13", "c", "orders"),
]
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
CALLERS = 40

#: Requests sent at least, and how many of them must be served: a slow machine
#: refuses more, and then sends more.
REQUESTS = 2500
SERVED = REQUESTS // 4

LOAD_TIMEOUT_S = 120.0


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure([route("orders", "unsafe")])
        await running.start(7, spell_s=0.0, work_s=0.05)
        for instance in running.instances.values():
            await wait_for(
                lambda i=instance: is_served(running, i, "/orders/x")
            )
        yield running


async def send_load(fleet, seed):
    """Returns the status of each request by its ID."""
    statuses = {}
    instances = list(fleet.instances.values())
    rng = random.Random(seed)
    numbers = itertools.count()

    async def call():
        while len(statuses) < REQUESTS or count_served(statuses) < SERVED:
            name = f"o{next(numbers):05d}"
            instance = rng.choice(instances)
            response = await fleet.ask(
                instance, "/orders/x", "POST", 1500, name
            )
            statuses[name] = response.status

    async with asyncio.timeout(LOAD_TIMEOUT_S), asyncio.TaskGroup() as tasks:
        for _ in range(CALLERS):
            tasks.create_task(call())
    return statuses


def count_served(statuses):
    return sum(status == 200 for status in statuses.values())


async def test_late_copy_is_not_taken_for_the_refusal_of_another_request(fleet):
    servers = [i.server for i in fleet.instances.values()]
    for server in servers:
        server.faults = ServerFaults(shed=0.4, shed_s=0.01, late_copies=0.05)

    statuses = await send_load(fleet, 11)
    await asyncio.sleep(1.0)

    runs = collections.Counter()
    for server in servers:
        runs.update(server.runs)
    assert sum(s.late_copies_sent for s in servers) > REQUESTS / 100
    assert sum(s.shed_count for s in servers) > REQUESTS / 10
    assert [n for n in runs if statuses.get(n) in NOT_RUN_STATUSES] == []
    assert [n for n in statuses if runs[n] > 1] == []
