"""Configuration changes through the real acceptor, adopter and messages.

Guards against a node that goes back to an older revision, and against racing
operators whose changes overwrite each other, while the store fails, nodes
freeze or restart, or responses are delayed.
"""

import random
from unittest import mock

import anyio
import msgspec
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from radishwind.config.adopter import Adopter
from radishwind.config.errors import ChangeConflictError
from radishwind.config.errors import ChangeUnsettledError
from radishwind.config.parts import Snapshot
from radishwind.config.pull import decode_pull
from radishwind.config.pull import decode_reply
from radishwind.config.pull import Pull
from radishwind.config.pull import PullResponder
from radishwind.config.pull import SnapshotBuilder
from radishwind.http import ExchangeBrokenError
from radishwind.standins.store import StoreFaults
from radishwind.standins.store_state import StoreState
from radishwind.store import StoreError
from tests.support.configs import ConfigTestbed
from tests.support.configs import inventory
from tests.support.configs import STORE

scenarios("configuration.feature")

NODES = 12
ROUNDS = 6


class AcceptsAnyRevision(Adopter):
    """Weak: adopts any snapshot without comparing revisions."""

    def adopt(self, snapshot: Snapshot) -> bool:
        self.snapshot = snapshot
        return True


class SimulatedFleet:
    """Nodes that pull in an order drawn from a seed, and two operators.

    Attributes:
      frozen: nodes that don't pull.
      delayed: snapshots still on their way, with their nodes.
      accepted: revision and change id of each accepted change.
      results: result of each operator's change.
      reverted: whether a node went back to an older revision.
    """

    def __init__(self, adopter: type[Adopter]) -> None:
        self.rng = random.Random(7)
        self.testbed, other = (
            ConfigTestbed(decision_wait_s=0.0),
            ConfigTestbed(seed=2),
        )
        other.sender.handlers[STORE] = self.testbed._handle
        self.operators = {"ada": self.testbed, "ben": other}
        self._adopter = adopter
        self.nodes = [adopter() for _ in range(NODES)]
        self.frozen: set[int] = set()
        self.failures: tuple[str, str] = ("", "")
        self.delayed: list[tuple[int, Snapshot]] = []
        self.accepted: list[tuple[int, str]] = []
        self.results: list[str] = []
        self.lines: list[str] = []
        self.reverted = False

    def fails(self, text: str) -> bool:
        return any(text in failure for failure in self.failures)

    async def run(self) -> None:
        await self.testbed.apply(inventory())
        for number in range(ROUNDS):
            self.record("both operators", "change revision " + self._newest())
            await self._race(number)
            if self.fails("store is down"):
                self.testbed.standin.set_faults(StoreFaults(down="refuse"))
            if self.fails("nodes freeze"):
                third = range(NODES // 3)
                self.frozen = set(third) if number % 2 else set()
            for _ in range(3 * NODES):
                await self._sync_node(self.rng.randrange(NODES))
            self._deliver_delayed()
            if self.fails("are new"):
                start = number * 4 % NODES
                for index in range(start, start + 4):
                    self.nodes[index] = self._adopter()
            self.testbed.standin.set_faults(StoreFaults())
        self.frozen.clear()
        for _ in range(4):
            for number in range(NODES):
                await self._sync_node(number)
        self._deliver_delayed()

    def record(self, who: str, text: str) -> None:
        self.lines.append(f"{who:15} {text}")

    def _newest(self) -> str:
        return str(self.accepted[-1][0] if self.accepted else 1)

    async def _race(self, number: int) -> None:
        if self.fails("write is lost"):
            self.testbed.on_swap = self._lose_answer
        in_turn = sorted(self.operators, reverse=bool(number % 2))
        async with anyio.create_task_group() as tasks:
            for operator in in_turn:
                tasks.start_soon(self._change, operator, number)
        root, _ = await self.testbed.repository.read_newest()
        newest = (root.record.revision, root.record.change_id)
        if newest not in self.accepted:
            self.accepted.append(newest)

    async def _lose_answer(self, request):
        await self.testbed.standin.handle(request)
        self.record("store", "swaps or refuses, and its answer is lost")
        raise ExchangeBrokenError("answer lost")

    async def _change(self, operator: str, number: int) -> None:
        slots = 10 + 2 * number + (operator == "ben")
        testbed = self.operators[operator]
        try:
            record = await testbed.apply(inventory(slots=slots), operator)
        except ChangeConflictError:
            result = "refused: the other came first"
        except ChangeUnsettledError:
            result = "to be settled by reading"
        except StoreError:
            result = "not accepted"
        else:
            result = f"accepted as revision {record.revision}"
        self.results.append(result)
        self.record(operator, result)

    async def _sync_node(self, number: int) -> None:
        if number in self.frozen:
            return
        held = self.nodes[number].snapshot
        snapshot = await self._fetch_newer(held)
        if snapshot is None:
            return
        if self.fails("arrive late") and self.rng.random() < 0.5:
            self.delayed.append((number, snapshot))
            return
        self._adopt(number, snapshot)

    async def _fetch_newer(self, held: Snapshot) -> Snapshot | None:
        """Returns a newer snapshot from the store or a peer, if any."""
        if self.rng.random() < 0.3:
            try:
                root, _ = await self.testbed.repository.read_newest()
                if root.record.revision <= held.revision:
                    return None
                return await self.testbed.repository.load(root, held)
            except StoreError:
                return None
        responder = PullResponder(self.rng.choice(self.nodes))
        pull = Pull(held.revision, held.change_id)
        pull = decode_pull(msgspec.json.encode(pull))
        reply = decode_reply(msgspec.json.encode(responder.respond(pull)))
        if reply.record is None or reply.revision <= held.revision:
            return None
        return SnapshotBuilder(held, reply).build()

    def _deliver_delayed(self) -> None:
        self.rng.shuffle(self.delayed)
        while self.delayed:
            self._adopt(*self.delayed.pop())

    def _adopt(self, number: int, snapshot: Snapshot) -> None:
        node = self.nodes[number]
        before = node.snapshot.revision
        if node.adopt(snapshot):
            self.record(f"node {number}", f"has revision {snapshot.revision}")
        self.reverted |= node.snapshot.revision < before


@given(
    "12 nodes that learn from a store and from each other",
    target_fixture="fleet",
)
def learning():
    return SimulatedFleet(Adopter)


@given(
    "12 nodes that adopt whatever they are told last", target_fixture="fleet"
)
def adopting_anything():
    return SimulatedFleet(AcceptsAnyRevision)


@given("a store whose conditions always hold", target_fixture="store_patch")
def no_conditions(request):
    patch = mock.patch.object(StoreState, "_condition_holds", return_value=True)
    patch.start()
    request.addfinalizer(patch.stop)


@when(
    parsers.parse("two operators race six times while {first} and {second}"),
)
def race(scenario_state, fleet, first, second):
    fleet.failures = (first, second)
    anyio.run(fleet.run)
    scenario_state.name = f"operators race while {first}"
    scenario_state.lines = fleet.lines


@then("one of the two is accepted each time, or is told that it is not")
def one_accepted(fleet):
    rounds = [fleet.results[n : n + 2] for n in range(0, 2 * ROUNDS, 2)]
    for results in rounds:
        accepted = [text for text in results if text.startswith("accepted")]
        assert len(accepted) <= 1
        assert len(accepted) == 1 or any("settled" in t for t in results)
    assert [revision for revision, _ in fleet.accepted] == list(
        range(2, ROUNDS + 2)
    )


@then("no node ever went back to an older revision")
def never_back(fleet):
    assert not fleet.reverted


@then("each node has the newest accepted configuration in force")
def in_force(fleet):
    newest = fleet.accepted[-1]
    held = {(n.snapshot.revision, n.snapshot.change_id) for n in fleet.nodes}
    assert held == {newest}


@then("some node went back to an older revision")
def went_back(fleet):
    assert fleet.reverted


@then("both of the two were accepted at some time")
def both_accepted(fleet):
    rounds = [fleet.results[n : n + 2] for n in range(0, 2 * ROUNDS, 2)]
    assert any(
        all(text.startswith("accepted") for text in results)
        for results in rounds
    )
