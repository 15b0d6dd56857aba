"""A server that states a request limit gets no more than that."""

import math

import pytest
from tests.support.local_server import LocalServer

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.membership.rumor_bus import RumorBus

pytestmark = pytest.mark.anyio

#: A limit is binding this long after it was first stated (s), in windows of
#: this length (s).
GRACE_S = 3.0
WINDOW_S = 4.0


def limit_field(per_s):
    return (("Server-Limit", str(per_s)),)


def allowed(per_s):
    """Returns how many requests are allowed in a window."""
    return 1.5 * per_s * WINDOW_S + 5


def densest(times, *, since):
    """Returns the most times in a window that ends at `since` or later."""
    return max(
        (
            sum(end - WINDOW_S < at <= end for at in times)
            for end in times
            if end >= since
        ),
        default=0,
    )


@pytest.mark.parametrize("per_s", [0.0, 0.1, 0.4, 2.0, 5.6, 30.0, 150.0])
@pytest.mark.parametrize("offered_per_s", [20, 60, 300])
async def test_server_does_not_exceed_the_limit_that_its_responses_state(
    per_s, offered_per_s
):
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    await server.offer(offered_per_s, 5.0)
    server.fields = limit_field(per_s)
    await server.offer(offered_per_s, 1 / offered_per_s)
    stated_at = server.clock.monotonic()

    await server.offer(offered_per_s, 12.0)

    arrivals = [
        at for at in server.sent_at + server.checked_at if at > stated_at
    ]
    assert densest(arrivals, since=stated_at + GRACE_S) <= allowed(per_s)
    served = sum(at > stated_at + GRACE_S for at in server.sent_at)
    assert served >= math.floor(0.6 * min(per_s, offered_per_s) * 9)


class SharedRumorBus(RumorBus):
    """Hands each rumor to the nodes that subscribe later."""

    def __init__(self):
        self._rumors = {}

    def publish(self, topic, key, version, value, ttl_s):
        self._rumors[topic, key] = value

    def subscribe(self, topic, handler):
        for (rumor_topic, key), value in self._rumors.items():
            if rumor_topic == topic:
                handler(key, value)


async def test_limit_holds_across_a_restart_of_the_node_beside_the_server():
    rumor_bus = SharedRumorBus()
    clock = ManualClock()
    first = LocalServer(per_s=None, clock=clock, rumor_bus=rumor_bus)
    first.send_heartbeat()
    first.fields = limit_field(2.0)
    await first.offer(20, 5.0)

    restarted = LocalServer(per_s=None, clock=clock, rumor_bus=rumor_bus)
    restarted.send_heartbeat(order=9)
    restarted.fields = limit_field(2.0)
    await restarted.offer(20, 5.0)

    arrivals = [
        *first.sent_at[1:],
        *first.checked_at,
        *restarted.sent_at,
        *restarted.checked_at,
    ]
    assert densest(arrivals, since=0.0) <= allowed(2.0)
    assert len(restarted.sent_at) >= 6


async def test_restored_limit_ends_if_the_server_does_not_state_it_any_more():
    rumor_bus = SharedRumorBus()
    first = LocalServer(per_s=None, rumor_bus=rumor_bus)
    first.send_heartbeat()
    first.fields = limit_field(2.0)
    await first.run()

    restarted = LocalServer(per_s=None, rumor_bus=rumor_bus)
    restarted.send_heartbeat(order=9)
    assert await restarted.run() is ResultCode.SERVER_LIMITED
    await restarted.offer(20, 3.0)

    assert await restarted.burst(50) == [None] * 50


async def test_limit_of_an_earlier_process_does_not_hold_for_the_next():
    rumor_bus = SharedRumorBus()
    server = LocalServer(per_s=None, rumor_bus=rumor_bus)
    server.send_heartbeat()
    server.fields = limit_field(0.0)
    await server.run()
    server.fields = ()

    server.send_heartbeat(incarnation="i-2")
    restarted = LocalServer(per_s=None, rumor_bus=rumor_bus)
    restarted.send_heartbeat(incarnation="i-2")

    assert await server.burst(9) == [None] * 9
    assert await restarted.burst(9) == [None] * 9


async def test_change_of_the_limit_applies_to_the_next_request():
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    server.fields = limit_field(10.0)
    await server.offer(30, 5.0)
    server.fields = limit_field(1.0)
    await server.offer(30, 3.0)
    changed_at = server.clock.monotonic()

    await server.offer(30, 8.0)

    assert sum(at > changed_at for at in server.sent_at) <= 9


async def test_requests_flow_again_once_the_limit_ended():
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    server.fields = server.health_fields = limit_field(0.5)
    await server.offer(20, 6.0)
    server.fields = server.health_fields = ()

    await server.offer(20, 2.0)

    assert await server.burst(20) == [None] * 20


async def test_highest_priority_gets_the_places_of_a_limited_server():
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    server.fields = limit_field(5.0)
    await server.run()
    codes = {0: [], 1: []}
    for step in range(400):
        server.clock.advance(0.05)
        priority = 0 if step % 5 == 0 else 1
        codes[priority].append(await server.run(priority))

    assert codes[0].count(None) >= 0.85 * len(codes[0])
    assert codes[1].count(None) >= 4


async def test_refusal_by_the_limit_states_when_to_retry():
    server = LocalServer(per_s=None)
    server.send_heartbeat()
    server.fields = limit_field(0.5)
    assert await server.run() is None

    outcome = await server.attempt()

    assert outcome.code is ResultCode.SERVER_LIMITED
    assert outcome.retry_after_s == pytest.approx(2.0)
