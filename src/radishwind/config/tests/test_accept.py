"""Accepting changes: races, lost answers, what is kept."""

import anyio
import pytest
from tests.support.configs import Desk
from tests.support.configs import inventory
from tests.support.configs import STORE
from tests.support.direct import Fault

from radishwind.config import records
from radishwind.config.accept import Settlement
from radishwind.config.checking import FileInvalidError
from radishwind.config.errors import ChangeConflictError
from radishwind.config.errors import ChangeUnsettledError
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.model import Rules
from radishwind.config.model import ServiceRules
from radishwind.config.parts import Snapshot
from radishwind.config.tidy import sweep
from radishwind.http import ExchangeBrokenError
from radishwind.standins.store import StoreFaults
from radishwind.store import Delete
from radishwind.store import Put
from radishwind.store import StoreUnavailableError

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_what_is_accepted_is_read_back_the_same():
    desk = Desk()
    record = await desk.apply(inventory(services=12))
    snapshot = await desk.loaded()
    assert (record.revision, snapshot.change_id) == (1, record.change_id)
    assert set(snapshot.cfg.inventory.targets) == set(inventory(12).targets)
    assert record.lines[0].startswith("+ ")


async def test_a_change_of_one_target_writes_one_part_and_says_what_changed():
    desk = Desk()
    await desk.apply(inventory())
    record = await desk.apply(inventory(slots=4), "ben")
    assert [ref.name for ref in record.changed] == ["service/svc-0000"]
    assert record.lines == ("target svc-0000-0: slots 9 -> 4",)
    assert await desk.apply(inventory(slots=4)) is None


async def test_of_racing_operators_one_wins_and_the_others_see_what_changed():
    desk = Desk()
    await desk.apply(inventory())
    results = {}

    async def race(operator, slots):
        try:
            results[operator] = await desk.apply(
                inventory(slots=slots), operator
            )
        except ChangeConflictError as exc:
            results[operator] = exc

    async with anyio.create_task_group() as tasks:
        for number in range(5):
            tasks.start_soon(race, f"op-{number}", number + 1)
    lost = [r for r in results.values() if isinstance(r, ChangeConflictError)]
    won = [r for r in results.values() if r not in lost]
    assert (len(won), len(lost)) == (1, 4)
    assert won[0].operator in str(lost[0])
    assert won[0].lines[0] in str(lost[0])
    assert (await desk.loaded()).change_id == won[0].change_id
    named = {*(r for r in desk.keys(records.PARTS_PREFIX))}
    assert len(named) == 4 + 1


async def test_a_base_that_is_not_the_newest_is_refused_with_what_changed():
    desk = Desk()
    await desk.apply(inventory())
    await desk.apply(inventory(slots=5), "ben")
    with pytest.raises(ChangeConflictError, match="slots 9 -> 5"):
        await desk.apply(inventory(slots=6), base=1)
    assert (await desk.apply(inventory(slots=6), base=2)).revision == 3


async def test_rules_and_inventory_are_checked_against_each_other():
    desk = Desk()
    await desk.apply(inventory(services=2))
    with pytest.raises(FileInvalidError):
        await desk.apply(Rules(services={"svc-0002": ServiceRules()}))
    await desk.apply(Rules(services={"svc-0001": ServiceRules()}))
    with pytest.raises(FileInvalidError, match="svc-0001"):
        await desk.apply(inventory(services=1))
    assert (await desk.loaded()).revision == 2


@pytest.mark.parametrize("unreadable", [0, 1])
async def test_a_lost_answer_is_settled_by_reading(unreadable):
    desk = Desk(settle_s=5.0)
    lost = [None, None, Fault.ANSWER_LOST]
    desk.sender.next_faults = lost + [Fault.REFUSED] * unreadable
    record = await desk.apply(inventory())
    assert (await desk.loaded()).change_id == record.change_id
    assert desk.paths().count("/v3/kv/txn") == 2


async def test_a_lost_answer_of_a_change_that_lost_is_a_conflict():
    desk, other = Desk(), Desk(seed=2)
    other.sender.handlers[STORE] = desk.standin.handle
    await desk.apply(inventory())

    async def overtake(request):
        await other.apply(inventory(slots=3), "ben")
        await desk.standin.handle(request)
        raise ExchangeBrokenError("answer lost")

    desk.on_swap = overtake
    with pytest.raises(ChangeConflictError, match="slots 9 -> 3"):
        await desk.apply(inventory(slots=4))


async def test_a_store_that_stays_away_leaves_the_change_to_be_settled_later():
    desk = Desk()
    desk.sender.next_faults = [None, None, Fault.ANSWER_LOST, Fault.REFUSED]
    with pytest.raises(ChangeUnsettledError, match="changes show 1-") as info:
        await desk.apply(inventory())
    change_id = str(info.value).split()[2].rstrip(":")
    assert await desk.acceptor.settle(change_id) is Settlement.ACCEPTED


async def test_a_change_that_never_arrived_is_open_until_another_is_accepted():
    desk = Desk()
    await desk.apply(inventory())

    async def cut(request):
        raise ExchangeBrokenError("cut before it was handled")

    desk.on_swap = cut
    with pytest.raises(ChangeUnsettledError) as info:
        await desk.apply(inventory(slots=4))
    change_id = str(info.value).split()[2].rstrip(":")
    assert await desk.acceptor.settle(change_id) is Settlement.OPEN
    desk.on_swap = desk.standin.handle
    record = await desk.apply(inventory(slots=5), "ben")
    assert record.revision == records.revision_of(change_id)
    assert await desk.acceptor.settle(change_id) is Settlement.LOST


async def test_a_lost_answer_of_a_part_means_not_accepted():
    desk = Desk()
    desk.sender.next_faults = [None, Fault.ANSWER_LOST]
    with pytest.raises(StoreUnavailableError, match="not accepted"):
        await desk.apply(inventory())
    assert (await desk.repository.newest()) == (None, 0)


@pytest.mark.parametrize("down", ["refuse", "hang"])
async def test_nothing_is_accepted_while_the_store_is_down(down):
    desk = Desk()
    desk.standin.set_faults(StoreFaults(down=down))
    with pytest.raises(StoreUnavailableError):
        await desk.apply(inventory())


async def test_parts_and_manifests_out_of_use_are_removed():
    desk = Desk()
    for slots in range(1, 60):
        await desk.apply(inventory(slots=slots))
    kept = records.KEPT_PARTS + 2
    assert len(desk.keys(records.PARTS_PREFIX)) <= 4 + kept
    assert len(desk.keys(records.MANIFESTS_PREFIX)) <= kept
    assert len(desk.keys(records.CHANGES_PREFIX)) == 59
    assert (await desk.loaded()).revision == 59


async def test_a_sweep_removes_what_failed_changes_left_behind():
    desk = Desk()
    stray = records.PartRef("service/svc-0000", "1-00000000000000aa")
    ahead = records.PartRef("service/svc-0000", "21-00000000000000aa")
    for slots in range(1, 21):
        await desk.apply(inventory(slots=slots))
    for ref in (stray, ahead):
        put = Put(records.part_key(ref), b"{}")
        await desk.store.transact((), (put,))
    snapshot = await desk.loaded()
    await sweep(desk.store, snapshot.revision, snapshot.refs)
    keys = desk.keys(records.PARTS_PREFIX)
    assert records.part_key(stray) not in keys
    assert records.part_key(ahead) in keys
    assert (await desk.loaded()).cfg == snapshot.cfg


async def test_after_a_restore_a_change_can_be_made_higher_than_all_before():
    desk = Desk()
    await desk.apply(inventory())
    record = await desk.apply(inventory(slots=4), above=120)
    assert (record.revision, record.change_id[:4]) == (121, "121-")
    assert (await desk.loaded()).revision == 121


async def test_inventory_and_rules_are_restored_in_one_change():
    desk, lost = Desk(), Desk(seed=2)
    await lost.apply(inventory())
    await lost.apply(inventory(slots=4))
    await lost.apply(Rules(services={"svc-0002": ServiceRules(deadline_ms=7)}))
    in_force = (await lost.loaded()).cfg
    await desk.apply(inventory(services=2))
    record = await desk.apply(in_force, above=in_force.revision)
    assert record.revision == 4
    restored = (await desk.loaded()).cfg
    assert restored.inventory == in_force.inventory
    assert restored.rules == in_force.rules
    assert (await desk.apply(in_force, above=9)).revision == 10


async def test_a_service_too_large_for_one_value_is_refused():
    desk = Desk()
    with pytest.raises(FileInvalidError, match="service/svc-0000: expected"):
        await desk.apply(inventory(services=1, targets=12_000))
    assert desk.standin.calls == {"range": 1}


@pytest.mark.parametrize("damage", ["gone", "cut", "another"])
async def test_a_configuration_that_is_not_whole_is_not_loaded(damage):
    desk = Desk()
    record = await desk.apply(inventory())
    key = records.part_key(record.changed[1])
    operation = {
        "gone": Delete(key),
        "cut": Put(key, b'{"service": {"na'),
        "another": Put(
            key,
            (await desk.store.get(records.part_key(record.changed[2]))).value,
        ),
    }[damage]
    await desk.store.transact((), (operation,))
    with pytest.raises(RevisionRefusedError):
        await desk.repository.load(records.Root(record), Snapshot())
