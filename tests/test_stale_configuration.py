"""Nodes adopt each change although a way to learn of it fails in silence.

Guards against nodes that keep an older configuration in force since the store
does not answer their watch, or answers none of the nodes that watch.
"""

import asyncio
import signal

import pytest

from radishwind.membership.ranking import ranks_among_first
from radishwind.routes.feed_peers import WATCHERS_PER_DOMAIN
from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.store_faults import StoreFaults

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

DOMAINS = {"a": "127.0.31", "b": "127.0.32", "c": "127.0.33"}
NUMBERS = (1, 2, 3)


def watches_by_rank(domain, number):
    names = [f"{domain}-{n}" for n in NUMBERS]
    return ranks_among_first(f"{domain}-{number}", names, WATCHERS_PER_DOMAIN)


# The servers of `library` are beside the nodes that don't watch, so that it is
# served while all others are paused.
PLACES = [
    Place(
        f"{domain}-{number}",
        f"{network}.{number}",
        domain,
        "sessions" if watches_by_rank(domain, number) else "library",
    )
    for domain, network in DOMAINS.items()
    for number in NUMBERS
]
WATCHERS = [place for place in PLACES if place.service == "sessions"]
ROUTES = [route("library", "safe"), route("sessions", "safe")]

#: Far below the time after which a watch ends by itself (29 s), and far above
#: the bound of a change (2 s), so that a busy machine changes no verdict.
ADOPTED_WITHIN_S = 12.0
STORE_SILENCE_S = 4.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        running.configure(ROUTES)
        await running.start(7, spell_s=0.0)
        # Each node has learned of a change, so the watches are open.
        await change_routes(running, "first")
        yield running


async def change_routes(fleet, name, skipped=()):
    """Adds a route, and waits until all nodes but the skipped ones serve it."""
    added = route("library", "safe", name=name, prefix=f"/{name}/")
    fleet.configure([*ROUTES, added])
    async with asyncio.timeout(ADOPTED_WITHIN_S):
        for instance in fleet.instances.values():
            if instance.place.name in skipped:
                continue
            answer = await fleet.ask(instance, f"/{name}/x")
            while answer.status != 200:
                await asyncio.sleep(0.05)
                answer = await fleet.ask(instance, f"/{name}/x")


async def test_change_after_a_silence_of_the_store_is_adopted(fleet):
    fleet.store.faults = StoreFaults(down="silent", cut=True)
    await asyncio.sleep(STORE_SILENCE_S)
    assert fleet.store.injected_count("silent") > 0
    fleet.store.faults = StoreFaults()

    await change_routes(fleet, "second")


async def test_change_whose_watch_answers_are_lost_is_adopted(fleet):
    fleet.store.faults = StoreFaults(lose_watch_answers=len(WATCHERS))

    await change_routes(fleet, "second")

    assert fleet.store.injected_count("lost watch answer") > 0


async def test_change_while_open_watches_are_silent_is_adopted(fleet):
    fleet.store.faults = StoreFaults(mute=True)

    await change_routes(fleet, "second")

    assert fleet.store.injected_count("mute") >= len(WATCHERS)


@pytest.mark.parametrize("how", ["silent", "busy", "reset"])
async def test_change_while_the_store_refuses_all_watchers_is_adopted(
    fleet, how
):
    hosts = tuple(place.host for place in WATCHERS)
    fleet.store.faults = StoreFaults(down=how, only=hosts, cut=True)

    await change_routes(fleet, "second")

    refused = {host for fault, host in fleet.store.injected if fault == how}
    assert refused
    assert refused <= set(hosts)


async def test_change_while_all_watchers_are_paused_is_adopted(fleet):
    names = {place.name for place in WATCHERS}
    for name in names:
        fleet.instances[name].signal_node(signal.SIGSTOP)

    try:
        await change_routes(fleet, "second", skipped=names)
    finally:
        for name in names:
            fleet.instances[name].signal_node(signal.SIGCONT)
    await change_routes(fleet, "third")


async def test_unknown_route_is_not_denied_for_good_without_the_store(fleet):
    async def statuses():
        answers = [
            await fleet.ask(instance, "/unknown/x")
            for instance in fleet.instances.values()
        ]
        return {(a.status, a.headers.get("Radishwind-Code")) for a in answers}

    async def until_all_answer(expected):
        async with asyncio.timeout(ADOPTED_WITHIN_S):
            while await statuses() != {expected}:  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    await until_all_answer((404, "2003"))
    fleet.store.faults = StoreFaults(down="busy")
    await until_all_answer((503, "3019"))
    instance = fleet.instances["a-1"]
    answer = await fleet.ask(instance, "/unknown/x")
    assert float(answer.headers["Retry-After"]) >= 0.1
    assert (await fleet.ask(instance, "/library/x")).status == 200
    fleet.store.faults = StoreFaults()
    await until_all_answer((404, "2003"))
