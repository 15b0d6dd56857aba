"""Tests for accepting changes: races, lost responses, retention."""

import anyio
import pytest
from tests.support.configs import ConfigTestbed
from tests.support.configs import inventory
from tests.support.configs import STORE
from tests.support.in_process_sender import Fault

from radishwind.config import records
from radishwind.config.change_acceptor import ChangeStatus
from radishwind.config.cleanup import delete_orphans
from radishwind.config.errors import ChangeConflictError
from radishwind.config.errors import ChangeUnsettledError
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.model import Rules
from radishwind.config.model import ServiceRules
from radishwind.config.parts import Snapshot
from radishwind.config.validation import FileInvalidError
from radishwind.http import ExchangeBrokenError
from radishwind.standins.store import StoreFaults
from radishwind.store import Delete
from radishwind.store import Put
from radishwind.store import StoreUnavailableError

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend():
    return "asyncio"


async def test_accepted_configuration_is_read_back_unchanged():
    testbed = ConfigTestbed()
    record = await testbed.apply(inventory(services=12))
    snapshot = await testbed.load_newest()
    assert (record.revision, snapshot.change_id) == (1, record.change_id)
    assert set(snapshot.cfg.inventory.targets) == set(inventory(12).targets)
    assert record.lines[0].startswith("+ ")


async def test_change_of_one_target_writes_and_describes_one_part():
    testbed = ConfigTestbed()
    await testbed.apply(inventory())
    record = await testbed.apply(inventory(slots=4), "ben")
    assert [ref.name for ref in record.changed] == ["service/svc-0000"]
    assert record.lines == ("target svc-0000-0: slots 9 -> 4",)
    assert await testbed.apply(inventory(slots=4)) is None


async def test_one_of_several_racing_changes_is_accepted():
    testbed = ConfigTestbed()
    await testbed.apply(inventory())
    results = {}

    async def race(operator, slots):
        try:
            results[operator] = await testbed.apply(
                inventory(slots=slots), operator
            )
        except ChangeConflictError as exc:
            results[operator] = exc

    async with anyio.create_task_group() as tasks:
        for number in range(5):
            tasks.start_soon(race, f"op-{number}", number + 1)
    conflicts = [
        r for r in results.values() if isinstance(r, ChangeConflictError)
    ]
    accepted = [r for r in results.values() if r not in conflicts]
    assert (len(accepted), len(conflicts)) == (1, 4)
    assert accepted[0].operator in str(conflicts[0])
    assert accepted[0].lines[0] in str(conflicts[0])
    assert (await testbed.load_newest()).change_id == accepted[0].change_id
    part_keys = {*(r for r in testbed.keys(records.PARTS_PREFIX))}
    assert len(part_keys) == 4 + 1


async def test_outdated_base_is_refused_with_the_changes_since():
    testbed = ConfigTestbed()
    await testbed.apply(inventory())
    await testbed.apply(inventory(slots=5), "ben")
    with pytest.raises(ChangeConflictError, match="slots 9 -> 5"):
        await testbed.apply(inventory(slots=6), base=1)
    assert (await testbed.apply(inventory(slots=6), base=2)).revision == 3


async def test_inconsistent_rules_and_inventory_are_refused():
    testbed = ConfigTestbed()
    await testbed.apply(inventory(services=2))
    with pytest.raises(FileInvalidError):
        await testbed.apply(Rules(services={"svc-0002": ServiceRules()}))
    await testbed.apply(Rules(services={"svc-0001": ServiceRules()}))
    with pytest.raises(FileInvalidError, match="svc-0001"):
        await testbed.apply(inventory(services=1))
    assert (await testbed.load_newest()).revision == 2


@pytest.mark.parametrize("unreadable", [0, 1])
async def test_status_is_read_after_a_lost_response(unreadable):
    testbed = ConfigTestbed(decision_wait_s=5.0)
    faults = [None, None, Fault.RESPONSE_LOST]
    testbed.sender.next_faults = faults + [Fault.REFUSED] * unreadable
    record = await testbed.apply(inventory())
    assert (await testbed.load_newest()).change_id == record.change_id
    assert testbed.paths().count("/v3/kv/txn") == 2


async def test_lost_response_of_a_superseded_change_is_a_conflict():
    testbed, other = ConfigTestbed(), ConfigTestbed(seed=2)
    other.sender.handlers[STORE] = testbed.standin.handle
    await testbed.apply(inventory())

    async def overtake(request):
        await other.apply(inventory(slots=3), "ben")
        await testbed.standin.handle(request)
        raise ExchangeBrokenError("response lost")

    testbed.on_swap = overtake
    with pytest.raises(ChangeConflictError, match="slots 9 -> 3"):
        await testbed.apply(inventory(slots=4))


async def test_status_is_unknown_while_the_store_stays_unavailable():
    testbed = ConfigTestbed()
    testbed.sender.next_faults = [
        None,
        None,
        Fault.RESPONSE_LOST,
        Fault.REFUSED,
    ]
    with pytest.raises(ChangeUnsettledError, match="changes show 1-") as info:
        await testbed.apply(inventory())
    change_id = str(info.value).split()[2].rstrip(":")
    assert (
        await testbed.acceptor.read_status(change_id) is ChangeStatus.ACCEPTED
    )


async def test_change_that_never_arrived_is_undecided_until_superseded():
    testbed = ConfigTestbed()
    await testbed.apply(inventory())

    async def lose_request(request):
        raise ExchangeBrokenError("request lost")

    testbed.on_swap = lose_request
    with pytest.raises(ChangeUnsettledError) as info:
        await testbed.apply(inventory(slots=4))
    change_id = str(info.value).split()[2].rstrip(":")
    assert (
        await testbed.acceptor.read_status(change_id) is ChangeStatus.UNDECIDED
    )
    testbed.on_swap = testbed.standin.handle
    record = await testbed.apply(inventory(slots=5), "ben")
    assert record.revision == records.parse_revision(change_id)
    assert (
        await testbed.acceptor.read_status(change_id) is ChangeStatus.REJECTED
    )


async def test_lost_response_of_a_part_means_not_accepted():
    testbed = ConfigTestbed()
    testbed.sender.next_faults = [None, Fault.RESPONSE_LOST]
    with pytest.raises(StoreUnavailableError, match="not accepted"):
        await testbed.apply(inventory())
    assert (await testbed.repository.read_newest()) == (None, 0)


@pytest.mark.parametrize("down", ["refuse", "hang"])
async def test_nothing_is_accepted_while_the_store_is_down(down):
    testbed = ConfigTestbed()
    testbed.standin.set_faults(StoreFaults(down=down))
    with pytest.raises(StoreUnavailableError):
        await testbed.apply(inventory())


async def test_replaced_parts_and_manifests_are_deleted():
    testbed = ConfigTestbed()
    for slots in range(1, 60):
        await testbed.apply(inventory(slots=slots))
    kept = records.KEPT_PART_REVISIONS + 2
    assert len(testbed.keys(records.PARTS_PREFIX)) <= 4 + kept
    assert len(testbed.keys(records.MANIFESTS_PREFIX)) <= kept
    assert len(testbed.keys(records.CHANGES_PREFIX)) == 59
    assert (await testbed.load_newest()).revision == 59


async def test_sweep_deletes_what_failed_changes_left_behind():
    testbed = ConfigTestbed()
    orphan = records.PartRef("service/svc-0000", "1-00000000000000aa")
    ahead = records.PartRef("service/svc-0000", "21-00000000000000aa")
    for slots in range(1, 21):
        await testbed.apply(inventory(slots=slots))
    for ref in (orphan, ahead):
        put = Put(records.part_key(ref), b"{}")
        await testbed.store.transact((), (put,))
    snapshot = await testbed.load_newest()
    await delete_orphans(testbed.store, snapshot.revision, snapshot.refs)
    keys = testbed.keys(records.PARTS_PREFIX)
    assert records.part_key(orphan) not in keys
    assert records.part_key(ahead) in keys
    assert (await testbed.load_newest()).cfg == snapshot.cfg


async def test_change_after_a_restore_can_exceed_all_earlier_revisions():
    testbed = ConfigTestbed()
    await testbed.apply(inventory())
    record = await testbed.apply(inventory(slots=4), above=120)
    assert (record.revision, record.change_id[:4]) == (121, "121-")
    assert (await testbed.load_newest()).revision == 121


async def test_inventory_and_rules_can_be_restored_in_one_change():
    testbed, old = ConfigTestbed(), ConfigTestbed(seed=2)
    await old.apply(inventory())
    await old.apply(inventory(slots=4))
    await old.apply(Rules(services={"svc-0002": ServiceRules(deadline_ms=7)}))
    in_force = (await old.load_newest()).cfg
    await testbed.apply(inventory(services=2))
    record = await testbed.apply(in_force, above=in_force.revision)
    assert record.revision == 4
    restored = (await testbed.load_newest()).cfg
    assert restored.inventory == in_force.inventory
    assert restored.rules == in_force.rules
    assert (await testbed.apply(in_force, above=9)).revision == 10


async def test_part_too_large_for_one_value_is_refused():
    testbed = ConfigTestbed()
    with pytest.raises(FileInvalidError, match="service/svc-0000: expected"):
        await testbed.apply(inventory(services=1, targets=12_000))
    assert testbed.standin.calls == {"range": 1}


@pytest.mark.parametrize("damage", ["missing", "truncated", "different"])
async def test_incomplete_configuration_is_not_loaded(damage):
    testbed = ConfigTestbed()
    record = await testbed.apply(inventory())
    key = records.part_key(record.changed[1])
    operation = {
        "missing": Delete(key),
        "truncated": Put(key, b'{"service": {"na'),
        "different": Put(
            key,
            (
                await testbed.store.get(records.part_key(record.changed[2]))
            ).value,
        ),
    }[damage]
    await testbed.store.transact((), (operation,))
    with pytest.raises(RevisionRefusedError):
        await testbed.repository.load(records.Root(record), Snapshot())
