"""At most one holder has a lease, and writes of a former holder are fenced."""

import anyio
import pytest
from tests.support.in_process_sender import Fault
from tests.support.in_process_sender import InProcessSender

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.leases import LeaseHolder
from radishwind.leases import LeaseLostError
from radishwind.leases import SharedLease
from radishwind.standins.store import StoreStandin
from radishwind.store import EtcdStore
from radishwind.store import Put

STORE = Address("10.0.0.1", 2379)
KEY = "/radishwind/leases/contact"
WRITE = (Put("/effect", b"made"),)
TTL_S = 10


class LeaseFixture:
    """Two holders of a lease in one store.

    The store has a clock of its own. Advancing only that one simulates holders
    whose clock stands still.
    """

    def __init__(self) -> None:
        self.store_clock = ManualClock()
        self.clock = ManualClock()
        self.sender = InProcessSender()
        self.sender.handlers[STORE] = StoreStandin(self.store_clock).handle
        self.store = EtcdStore(self.sender, STORE)
        self.first = self._holder("first")
        self.second = self._holder("second")

    def _holder(self, name: str) -> LeaseHolder:
        return LeaseHolder(self.store, self.clock, KEY, name, TTL_S)

    def advance_clocks(self, seconds: float) -> None:
        self.store_clock.advance(seconds)
        self.clock.advance(seconds)


@pytest.fixture
def setup() -> LeaseFixture:
    return LeaseFixture()


pytestmark = pytest.mark.anyio


async def test_only_one_holder_has_the_lease_until_it_releases_it(setup):
    assert await setup.first.acquire()
    assert not await setup.second.acquire()

    await setup.first.release()

    assert await setup.second.acquire()


async def test_renewed_lease_outlives_its_first_term(setup):
    await setup.first.acquire()
    epoch = setup.first.epoch

    for _ in range(5):
        setup.advance_clocks(TTL_S / 2)
        assert await setup.first.renew()

    assert setup.first.epoch == epoch
    assert not await setup.second.acquire()


async def test_holder_whose_clock_shows_expiry_sends_nothing(setup):
    await setup.first.acquire()
    setup.advance_clocks(TTL_S)
    sent = len(setup.sender.sent)

    with pytest.raises(LeaseLostError):
        await setup.first.transact((), WRITE)

    assert len(setup.sender.sent) == sent


async def test_write_of_a_holder_whose_clock_stood_still_is_fenced(setup):
    await setup.first.acquire()
    setup.store_clock.advance(TTL_S + 1)
    assert await setup.second.acquire()
    assert setup.first.epoch is not None  # The lease is valid by its clock.

    result = await setup.first.transact((), WRITE)

    assert not result.succeeded
    assert await setup.store.get("/effect") is None
    assert (await setup.second.transact((), WRITE)).succeeded


async def test_write_after_expiry_without_a_new_holder_is_fenced(setup):
    await setup.first.acquire()
    setup.store_clock.advance(TTL_S + 1)

    assert not (await setup.first.transact((), WRITE)).succeeded


async def test_holder_that_acquires_an_expired_lease_again_has_a_new_epoch(
    setup,
):
    await setup.first.acquire()
    old_fence = setup.first.fence()
    setup.advance_clocks(TTL_S + 1)

    assert not await setup.first.renew()
    assert await setup.first.acquire()

    assert not (await setup.store.transact((old_fence,), WRITE)).succeeded
    assert (await setup.first.transact((), WRITE)).succeeded


async def test_failed_renewal_keeps_the_lease_until_its_term_ends(setup):
    await setup.first.acquire()
    setup.sender.faults[STORE] = Fault.REFUSED
    setup.advance_clocks(TTL_S * 0.8)

    assert await setup.first.renew()

    setup.advance_clocks(TTL_S * 0.15)
    assert not await setup.first.renew()


async def test_lost_answer_to_the_creation_is_resolved_by_a_read(setup):
    setup.sender.next_faults = [None, Fault.RESPONSE_LOST]

    assert await setup.first.acquire()

    assert (await setup.first.transact((), WRITE)).succeeded


async def test_renewal_ends_once_the_lease_is_lost(setup):
    holder = LeaseHolder(setup.store, setup.clock, KEY, "brief", 1)
    await holder.acquire()
    setup.store_clock.advance(2)

    with anyio.fail_after(20):
        await holder.renew_until_lost()

    assert holder.epoch is None


async def test_shared_lease_is_granted_once_per_bucket(setup):
    lease = SharedLease(setup.store, setup.clock, bucket_s=600)

    first = await lease.get_lease_id(3600)
    setup.advance_clocks(599)
    assert await lease.get_lease_id(3600) == first
    setup.advance_clocks(2)

    assert await lease.get_lease_id(3600) != first
    assert await setup.store.keep_alive(first) > 3600
