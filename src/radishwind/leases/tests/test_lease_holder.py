import anyio
import pytest
from tests.support.direct import DirectSender
from tests.support.direct import Fault

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
EFFECT = (Put("/effect", b"made"),)
TTL_S = 10


class Setting:
    """Two holders; `paused` is the store's clock, which runs on."""

    def __init__(self) -> None:
        self.store_clock = ManualClock()
        self.clock = ManualClock()
        self.sender = DirectSender()
        self.sender.handlers[STORE] = StoreStandin(self.store_clock).handle
        self.store = EtcdStore(self.sender, STORE)
        self.first = self._holder("first")
        self.second = self._holder("second")

    def _holder(self, name: str) -> LeaseHolder:
        return LeaseHolder(self.store, self.clock, KEY, name, TTL_S)

    def pass_time(self, seconds: float) -> None:
        self.store_clock.advance(seconds)
        self.clock.advance(seconds)


@pytest.fixture
def at() -> Setting:
    return Setting()


pytestmark = pytest.mark.anyio


async def test_one_of_two_holds_until_it_releases(at):
    assert await at.first.acquire()
    assert not await at.second.acquire()

    await at.first.release()

    assert await at.second.acquire()


async def test_renewed_lease_outlives_its_first_term(at):
    await at.first.acquire()
    epoch = at.first.epoch

    for _ in range(5):
        at.pass_time(TTL_S / 2)
        assert await at.first.renew()

    assert at.first.epoch == epoch
    assert not await at.second.acquire()


async def test_holder_that_sees_the_time_passed_sends_nothing(at):
    await at.first.acquire()
    at.pass_time(TTL_S)
    sent = len(at.sender.sent)

    with pytest.raises(LeaseLostError):
        await at.first.transact((), EFFECT)

    assert len(at.sender.sent) == sent


async def test_effect_of_a_holder_whose_clock_stood_still_is_fenced(at):
    await at.first.acquire()
    at.store_clock.advance(TTL_S + 1)
    assert await at.second.acquire()
    assert at.first.epoch is not None  # It still believes in its lease.

    result = await at.first.transact((), EFFECT)

    assert not result.succeeded
    assert await at.store.get("/effect") is None
    assert (await at.second.transact((), EFFECT)).succeeded


async def test_effect_after_a_lapse_without_successor_is_fenced(at):
    await at.first.acquire()
    at.store_clock.advance(TTL_S + 1)

    assert not (await at.first.transact((), EFFECT)).succeeded


async def test_lapsed_holder_that_acquires_again_has_a_new_epoch(at):
    await at.first.acquire()
    old_fence = at.first.fence()
    at.pass_time(TTL_S + 1)

    assert not await at.first.renew()
    assert await at.first.acquire()

    assert not (await at.store.transact((old_fence,), EFFECT)).succeeded
    assert (await at.first.transact((), EFFECT)).succeeded


async def test_failed_renewal_keeps_the_lease_until_its_term_ends(at):
    await at.first.acquire()
    at.sender.faults[STORE] = Fault.REFUSED
    at.pass_time(TTL_S * 0.8)

    assert await at.first.renew()

    at.pass_time(TTL_S * 0.15)
    assert not await at.first.renew()


async def test_lost_answer_is_settled_by_reading(at):
    at.sender.next_faults = [None, Fault.ANSWER_LOST]

    assert await at.first.acquire()

    assert (await at.first.transact((), EFFECT)).succeeded


async def test_hold_returns_once_the_lease_is_lost(at):
    holder = LeaseHolder(at.store, at.clock, KEY, "brief", 1)
    await holder.acquire()
    at.store_clock.advance(2)

    with anyio.fail_after(20):
        await holder.renew_until_lost()

    assert holder.epoch is None


async def test_shared_lease_is_granted_once_per_bucket(at):
    lease = SharedLease(at.store, at.clock, bucket_s=600)

    first = await lease.get_lease_id(3600)
    at.pass_time(599)
    assert await lease.get_lease_id(3600) == first
    at.pass_time(2)

    assert await lease.get_lease_id(3600) != first
    assert await at.store.keep_alive(first) > 3600
