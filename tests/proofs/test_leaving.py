"""Leaving and planned stop, through gossip, directory and pipelines.

Guards against new work at a target that has advertised that it leaves, and
against a planned stop that cuts a request in progress.
"""

import functools

import anyio
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Target
from radishwind.core import ManualClock
from radishwind.http import ExchangeBrokenError
from radishwind.membership import AdvertisedState
from radishwind.membership import GossipDirectory
from radishwind.membership.allowlist import InventoryAllowlist
from radishwind.target.backend_server import Announcement
from radishwind.target.backend_server import ServerState
from tests.proofs.failures import FAILURES
from tests.proofs.session_testbed import run_until_idle
from tests.proofs.session_testbed import SessionTestbed
from tests.support.gossip_simulation import GossipSimulation
from tests.support.gossip_simulation import member_record

scenarios("leaving.feature", "planned_stop.feature")

NODE_COUNT = 30
THIRDS = (range(1, 11), range(11, 21))


@given("30 nodes that know each other", target_fixture="net")
def nodes():
    net = GossipSimulation()
    net.start_known_nodes(NODE_COUNT)
    net.run_for(5.0)
    return net


@when(parsers.parse("one of them tells that it leaves while {failure}"))
def leaves(net, failure):
    first, second = THIRDS
    if "frozen" in failure:
        for number in first:
            net.pause(number)
    if "cut off" in failure:
        net.partitions = dict.fromkeys(first, 1)
    if "killed" in failure:
        for number in second:
            net.crash(number)
    net.send(0, net.nodes[0].advertise(AdvertisedState.LEAVING, net.now))
    net.run_for(5.0)


@then("5 s later no node that it can reach gives it new work")
def no_new_work(net):
    records = [member_record(number) for number in range(NODE_COUNT)]
    targets = tuple(
        Target(r.name, r.service, r.failure_domain, 9) for r in records
    )
    index = ConfigIndex(Configuration(1, "c", Inventory(targets=targets)))
    reachable = [
        node
        for number, node in net.nodes.items()
        if number not in net.paused and not net.partitions.get(number)
    ]
    assert len(reachable) >= NODE_COUNT // 3
    for node in reachable:
        directory = GossipDirectory(
            node, InventoryAllowlist(lambda: index), ManualClock(), 10.0
        )
        eligible = {
            m.name for m in directory.eligible_members(records[0].service)
        }
        assert records[0].name not in eligible
        assert eligible


@given("two entry nodes, two targets and a store", target_fixture="testbed")
def make_testbed():
    return SessionTestbed()


@when(parsers.re(r"(?P<target>prenota-\d) (?P<how>.*) while (?P<failure>.*)"))
def target_leaves(scenario_state, testbed, target, how, failure):
    number = int(target[-1])
    pipeline = testbed.cluster.targets[number - 1]

    async def main() -> None:
        async with testbed.open():
            testbed.record(target, how)
            if how == "leaves":
                pipeline.refuse_new_work()
            if "drains" in how:
                address = f"10.0.1.{number}:80"
                announcement = Announcement(
                    target, address, ServerState.DRAINING
                )
                pipeline._server.accept_announcement(announcement, 0.0)
            for n in range(6):
                entry = ("entry-a", "entry-b")[n % 2]
                body = b"tavola %d" % n
                key = f"k{n}" if n < 3 else ""
                send = functools.partial(testbed.send, entry, key, body)
                await FAILURES[failure](testbed, entry, send)
                testbed.cluster.clock.advance(10.0)

    anyio.run(main)
    scenario_state.name = f"{target} {how} while {failure}"
    scenario_state.lines, scenario_state.violations = (
        testbed.lines,
        testbed.violations,
    )
    testbed.leaving = f"server {target}"


def _ran_at(testbed, name: str) -> int:
    return sum(f"{name} gets" in line for line in testbed.lines)


@then("new work runs at the other target only")
def at_the_other(scenario_state, testbed):
    assert not scenario_state.violations
    assert _ran_at(testbed, testbed.leaving) == 0
    expected = 3 if "store is down" in scenario_state.name else 6
    assert testbed.answered_count == expected


@then("new work still runs there")
def still_there(testbed):
    assert _ran_at(testbed, testbed.leaving) > 0


class StopScenario:
    """One request in progress at prenota-1 while its node stops."""

    def __init__(self, failure: str) -> None:
        self.failure = failure
        self.testbed = SessionTestbed()
        self.release = anyio.Event()

    async def hold(self, channel, request):
        """Runs the request and responds once `release` is set."""
        channel.record("runs it")
        await self.release.wait()
        return await channel.forward(request)

    async def run(self, draining: bool) -> None:
        testbed = self.testbed
        pipeline = testbed.cluster.targets[0]
        # The entry nodes know only this target.
        testbed.cluster.directory._members = testbed.cluster.directory._members[
            :1
        ]
        async with testbed.open():
            testbed.servers[0].steps = [self.hold]
            async with anyio.create_task_group() as requests:
                requests.start_soon(testbed.send, "entry-a", "k", b"tavola")
                await run_until_idle()
                await self._fail(requests)
                testbed.record("node prenota-1", "stops")
                if draining:
                    pipeline.refuse_new_work()
                    requests.start_soon(self._ends, pipeline)
                else:
                    testbed.servers[0].default_step = None
                    self.cut()
                await run_until_idle()
                await testbed.send("entry-b", "k2", b"altra")
                self.release.set()

    def cut(self) -> None:
        """Ends the node at once, which cuts its requests in progress."""

        async def broken(request):
            raise ExchangeBrokenError("the node has ended")

        testbed = self.testbed
        testbed.record("node prenota-1", "ends at once")
        testbed.servers[0].next_handler = broken

    async def _fail(self, requests) -> None:
        testbed = self.testbed
        if self.failure == "the store is down":
            testbed.cluster.store.is_down = True
        if self.failure == "the server drains":
            announcement = Announcement("prenota-1", "10.0.1.1:80", "draining")
            testbed.cluster.targets[0]._server.accept_announcement(
                announcement, 0.0
            )
        if self.failure == "a second request is cut":
            failure = FAILURES["the server's connection is cut"]
            send = functools.partial(testbed.send, "entry-b", "c", b"cut")
            await failure(testbed, "entry-b", send)

    async def _ends(self, pipeline) -> None:
        await pipeline.wait_drained()
        self.testbed.record("node prenota-1", "ends")


@given(
    parsers.parse("a request in progress at prenota-1 and {failure}"),
    target_fixture="stop",
)
def in_progress(failure):
    return StopScenario(failure)


@when(parsers.re(r"its node stops (?P<how>as planned|without draining)"))
def stops(scenario_state, stop, how):
    anyio.run(stop.run, how == "as planned")
    scenario_state.name = f"planned stop while {stop.failure}"
    scenario_state.lines = stop.testbed.lines


def _line(lines: list[str], text: str) -> int:
    matches = [n for n, line in enumerate(lines) if text in line]
    assert matches, f"expected a line with {text!r}"
    return matches[0]


@then("the request is answered whole")
def answered(stop):
    assert not stop.testbed.violations
    _line(stop.testbed.lines, "entry-a          answers 200: booked tavola")


@then("the node ends after that")
def ends_after(stop):
    lines = stop.testbed.lines
    ended = _line(lines, "node prenota-1   ends")
    assert ended > _line(lines, "server prenota-1 answers 200: booked tavola")


@then("the request is cut")
def request_cut(stop):
    _line(stop.testbed.lines, "entry-a          answers 502, unknown 4001")
