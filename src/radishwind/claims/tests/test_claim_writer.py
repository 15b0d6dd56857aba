import anyio
import pytest
from tests.support.in_process_sender import InProcessSender

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


class WriterSetup:
    """A writer whose store does not respond until `proceed` is set.

    Writes beyond the maximum number of concurrent transactions are thus
    batched.
    """

    def __init__(self) -> None:
        self.sender = InProcessSender()
        self.sender.handlers[STORE] = self._handle
        self.standin = StoreStandin(ManualClock())
        self.store = EtcdStore(self.sender, STORE)
        self.writer = BatchClaimWriter(self.store)
        self.proceed = anyio.Event()
        # Whether each write succeeded, by key; `None` if the store failed.
        self.results: dict[str, bool | None] = {}
        self.is_down = False

    async def _handle(self, request):
        await self.proceed.wait()
        if self.is_down:
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

    async def run(self, keys: list[str], cancelled_count: int = 0) -> int:
        """Writes `keys` concurrently; returns the number of calls sent.

        Args:
          keys: the keys to write.
          cancelled_count: number of further writes, which are cancelled while
            they wait.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.writer.run)
            async with anyio.create_task_group() as writes:
                for key in keys:
                    writes.start_soon(self.write, key)
                for number in range(cancelled_count):
                    writes.start_soon(self._cancel_write, number)
                await anyio.wait_all_tasks_blocked()
                self.proceed.set()
            tasks.cancel_scope.cancel()
        return len(self.sender.sent)

    async def _cancel_write(self, number: int) -> None:
        with anyio.move_on_after(0):
            await self.write(f"given-up-{number}")


@pytest.fixture
def setup() -> WriterSetup:
    return WriterSetup()


def _keys(count: int) -> list[str]:
    return [f"k{number}" for number in range(count)]


async def test_pending_claims_are_written_in_one_batch(setup):
    calls = await setup.run(_keys(MAX_IN_FLIGHT + 20))

    assert calls == MAX_IN_FLIGHT + 1
    assert all(setup.results[key] for key in _keys(MAX_IN_FLIGHT + 20))


async def test_existing_claim_fails_no_other_claim_of_its_batch(setup):
    setup.proceed.set()
    await setup.write("k9")
    setup.proceed = anyio.Event()

    await setup.run(_keys(MAX_IN_FLIGHT + 20))

    failed = [key for key, result in setup.results.items() if not result]
    assert failed == ["k9"]


async def test_one_of_several_concurrent_writes_of_a_key_succeeds(setup):
    await setup.run(_keys(MAX_IN_FLIGHT))
    results: list[bool] = []

    async def write() -> None:
        result = await setup.writer.write(
            Compare("same", mod_revision=0), Put("same", b"claim")
        )
        results.append(result.succeeded)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(setup.writer.run)
        async with anyio.create_task_group() as writes:
            for _ in range(MAX_IN_FLIGHT + 5):
                writes.start_soon(write)
        tasks.cancel_scope.cancel()

    assert results.count(True) == 1


async def test_claim_cancelled_while_it_is_pending_is_never_written(setup):
    await setup.run(_keys(MAX_IN_FLIGHT + 3), cancelled_count=2)

    assert await setup.store.list("given-up") == ()
    assert len(setup.results) == MAX_IN_FLIGHT + 3


async def test_failure_of_a_batch_fails_each_of_its_claims(setup):
    setup.is_down = True

    await setup.run(_keys(MAX_IN_FLIGHT + 3))

    assert list(setup.results.values()) == [None] * (MAX_IN_FLIGHT + 3)
