"""Leaving and the planned stop, over gossip, directory and pipelines."""

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
from tests.proofs.stage import quiet
from tests.proofs.stage import Stage
from tests.support.gossip_simulation import GossipSimulation
from tests.support.gossip_simulation import member_record

scenarios("leaving.feature", "planned_stop.feature")

SIZE = 30
THIRDS = (range(1, 11), range(11, 21))


@given("30 nodes that know each other", target_fixture="net")
def nodes():
    net = GossipSimulation()
    net.start_known_nodes(SIZE)
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
    facts = [member_record(number) for number in range(SIZE)]
    targets = tuple(
        Target(f.name, f.service, f.failure_domain, 9) for f in facts
    )
    index = ConfigIndex(Configuration(1, "c", Inventory(targets=targets)))
    reached = [
        node
        for number, node in net.nodes.items()
        if number not in net.paused and not net.partitions.get(number)
    ]
    assert len(reached) >= SIZE // 3
    for node in reached:
        directory = GossipDirectory(
            node, InventoryAllowlist(lambda: index), ManualClock(), 10.0
        )
        given_work = {
            m.name for m in directory.eligible_members(facts[0].service)
        }
        assert facts[0].name not in given_work
        assert given_work


@given("two entry nodes, two targets and a store", target_fixture="stage")
def stage():
    return Stage()


@when(parsers.re(r"(?P<target>prenota-\d) (?P<how>.*) while (?P<failure>.*)"))
def target_leaves(story, stage, target, how, failure):
    number = int(target[-1])
    pipeline = stage.cluster.targets[number - 1]

    async def main() -> None:
        async with stage.open():
            stage.note(target, how)
            if how == "leaves":
                pipeline.refuse_new_work()
            if "drains" in how:
                address = f"10.0.1.{number}:80"
                told = Announcement(target, address, ServerState.DRAINING)
                pipeline._server.accept_announcement(told, 0.0)
            for n in range(6):
                entry = ("entry-a", "entry-b")[n % 2]
                body = b"tavola %d" % n
                key = f"k{n}" if n < 3 else ""
                send = functools.partial(stage.send, entry, key, body)
                await FAILURES[failure](stage, entry, send)
                stage.cluster.clock.advance(10.0)

    anyio.run(main)
    story.name = f"{target} {how} while {failure}"
    story.lines, story.broken = stage.lines, stage.broken
    stage.leaving = f"server {target}"


def _ran_at(stage, name: str) -> int:
    return sum(f"{name} gets" in line for line in stage.lines)


@then("new work runs at the other target only")
def at_the_other(story, stage):
    assert not story.broken
    assert _ran_at(stage, stage.leaving) == 0
    expected = 3 if "store is down" in story.name else 6
    assert stage.done == expected


@then("new work still runs there")
def still_there(stage):
    assert _ran_at(stage, stage.leaving) > 0


class Stop:
    """One request in progress at prenota-1, whose node is to stop."""

    def __init__(self, failure: str) -> None:
        self.failure = failure
        self.stage = Stage()
        self.release = anyio.Event()

    async def hold(self, wire, request):
        """Runs the request and answers once released."""
        wire.note("runs it")
        await self.release.wait()
        return await wire.deliver(request)

    async def run(self, draining: bool) -> None:
        stage = self.stage
        pipeline = stage.cluster.targets[0]
        # The entry nodes know of this target only.
        stage.cluster.directory._members = stage.cluster.directory._members[:1]
        async with stage.open():
            stage.servers[0].steps = [self.hold]
            async with anyio.create_task_group() as requests:
                requests.start_soon(stage.send, "entry-a", "k", b"tavola")
                await quiet()
                await self._fail(requests)
                stage.note("node prenota-1", "stops")
                if draining:
                    pipeline.refuse_new_work()
                    requests.start_soon(self._ends, pipeline)
                else:
                    stage.servers[0].always = None
                    self.cut()
                await quiet()
                await stage.send("entry-b", "k2", b"altra")
                self.release.set()

    def cut(self) -> None:
        """Ends the node at once: what runs there is cut."""

        async def broken(request):
            raise ExchangeBrokenError("the node has ended")

        stage = self.stage
        stage.note("node prenota-1", "ends at once")
        stage.servers[0].inner = broken

    async def _fail(self, requests) -> None:
        stage = self.stage
        if self.failure == "the store is down":
            stage.cluster.store.is_down = True
        if self.failure == "the server drains":
            told = Announcement("prenota-1", "10.0.1.1:80", "draining")
            stage.cluster.targets[0]._server.accept_announcement(told, 0.0)
        if self.failure == "a second request is cut":
            failure = FAILURES["the server's connection is cut"]
            send = functools.partial(stage.send, "entry-b", "c", b"cut")
            await failure(stage, "entry-b", send)

    async def _ends(self, pipeline) -> None:
        await pipeline.wait_drained()
        self.stage.note("node prenota-1", "ends")


@given(
    parsers.parse("a request in progress at prenota-1 and {failure}"),
    target_fixture="stop",
)
def in_progress(failure):
    return Stop(failure)


@when(parsers.re(r"its node stops (?P<how>as planned|without draining)"))
def stops(story, stop, how):
    anyio.run(stop.run, how == "as planned")
    story.name = f"planned stop while {stop.failure}"
    story.lines = stop.stage.lines


def _line(lines: list[str], text: str) -> int:
    found = [n for n, line in enumerate(lines) if text in line]
    assert found, f"expected a line with {text!r}"
    return found[0]


@then("the request is answered whole")
def answered(stop):
    assert not stop.stage.broken
    _line(stop.stage.lines, "entry-a          answers 200: booked tavola")


@then("the node ends after that")
def ends_after(stop):
    lines = stop.stage.lines
    ended = _line(lines, "node prenota-1   ends")
    assert ended > _line(lines, "server prenota-1 answers 200: booked tavola")


@then("the request is cut")
def request_cut(stop):
    _line(stop.stage.lines, "entry-a          answers 502, unknown 4001")
