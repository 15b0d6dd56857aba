import anyio
import pytest
from tests.support.direct import DirectSender

from radishwind.claims.claim_writer import BatchClaimWriter
from radishwind.claims.claim_writer import MAX_IN_FLIGHT
from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.http import ConnectFailedError
from radishwind.standins.store import StoreStandin
from radishwind.store import Compare
from radishwind.store import EtcdStore
from radishwind.store import Put
from radishwind.store import StoreError

STORE = Address("10.0.0.1", 2379)

pytestmark = pytest.mark.anyio


class Load:
    """Claims held back until `go`, so that all but the first wait."""

    def __init__(self) -> None:
        self.sender = DirectSender()
        self.sender.handlers[STORE] = self._handle
        self.standin = StoreStandin(ManualClock())
        self.store = EtcdStore(self.sender, STORE)
        self.writer = BatchClaimWriter(self.store)
        self.go = anyio.Event()
        self.results: dict[str, bool | None] = {}
        self.down = False

    async def _handle(self, request):
        await self.go.wait()
        if self.down:
            raise ConnectFailedError("down")
        return await self.standin.handle(request)

    async def write(self, key: str) -> None:
        try:
            result = await self.writer.write(
                Compare(key, mod_revision=0), Put(key, b"claim")
            )
        except StoreError:
            self.results[key] = None
        else:
            self.results[key] = result.succeeded

    async def run(self, keys: list[str], given_up: int = 0) -> int:
        """Writes `keys` at once; returns how many calls that took."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            async with anyio.create_task_group() as writes:
                for key in keys:
                    writes.start_soon(self.write, key)
                for number in range(given_up):
                    writes.start_soon(self._give_up, number)
                await anyio.wait_all_tasks_blocked()
                self.go.set()
            tasks.cancel_scope.cancel()
        return len(self.sender.sent)

    async def _give_up(self, number: int) -> None:
        with anyio.move_on_after(0):
            await self.write(f"given-up-{number}")


@pytest.fixture
def load() -> Load:
    return Load()


def _keys(count: int) -> list[str]:
    return [f"k{number}" for number in range(count)]


async def test_claims_that_wait_go_together(load):
    calls = await load.run(_keys(MAX_IN_FLIGHT + 20))

    assert calls == MAX_IN_FLIGHT + 1
    assert all(load.results[key] for key in _keys(MAX_IN_FLIGHT + 20))


async def test_claim_that_exists_is_told_and_fails_no_other(load):
    load.go.set()
    await load.write("k9")
    load.go = anyio.Event()

    await load.run(_keys(MAX_IN_FLIGHT + 20))

    refused = [key for key, result in load.results.items() if not result]
    assert refused == ["k9"]


async def test_same_key_twice_is_won_once(load):
    await load.run(_keys(MAX_IN_FLIGHT))
    won: list[bool] = []

    async def write() -> None:
        result = await load.writer.write(
            Compare("same", mod_revision=0), Put("same", b"claim")
        )
        won.append(result.succeeded)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(load.writer.run)
        async with anyio.create_task_group() as writes:
            for _ in range(MAX_IN_FLIGHT + 5):
                writes.start_soon(write)
        tasks.cancel_scope.cancel()

    assert won.count(True) == 1


async def test_claim_given_up_while_it_waits_is_never_written(load):
    await load.run(_keys(MAX_IN_FLIGHT + 3), given_up=2)

    assert await load.store.list("given-up") == ()
    assert len(load.results) == MAX_IN_FLIGHT + 3


async def test_failed_group_fails_each_of_its_claims(load):
    load.down = True

    await load.run(_keys(MAX_IN_FLIGHT + 3))

    assert list(load.results.values()) == [None] * (MAX_IN_FLIGHT + 3)
