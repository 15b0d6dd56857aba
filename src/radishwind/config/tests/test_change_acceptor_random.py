"""Randomized test of racing operators on a store with faults."""

import random

import anyio
import pytest
from tests.support.configs import ConfigTestbed
from tests.support.configs import inventory
from tests.support.configs import STORE
from tests.support.in_process_sender import Fault

from radishwind.config.change_acceptor import ChangeStatus
from radishwind.config.errors import ChangeConflictError
from radishwind.config.errors import ChangeUnsettledError
from radishwind.store import StoreUnavailableError

pytestmark = pytest.mark.anyio

FAULTS = (Fault.RESPONSE_LOST, Fault.REQUEST_LOST, Fault.REFUSED)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.mark.parametrize("seed", range(20))
async def test_each_accepted_change_has_one_revision_and_is_kept(seed):
    rng = random.Random(seed)
    shared = ConfigTestbed()
    await shared.apply(inventory())
    accepted, undecided, slots = [], [], iter(range(10, 1000))

    async def operate(name):
        testbed = ConfigTestbed(seed=rng.getrandbits(32))
        handle = shared.sender.handlers[STORE]
        testbed.sender.handlers[STORE] = handle
        for _ in range(6):
            testbed.sender.next_faults = [
                rng.choice(FAULTS) if rng.random() < 0.15 else None
                for _ in range(12)
            ]
            try:
                accepted.append(
                    await testbed.apply(inventory(slots=next(slots)), name)
                )
            except ChangeUnsettledError as exc:
                undecided.append(str(exc).split()[2].rstrip(":"))
            except (ChangeConflictError, StoreUnavailableError):
                continue

    async with anyio.create_task_group() as tasks:
        for number in range(4):
            tasks.start_soon(operate, f"op-{number}")
    newest = await shared.load_newest()
    history = [
        await shared.repository.read_change(r + 1)
        for r in range(newest.revision)
    ]
    kept = {record.change_id for record in history}
    assert [r.revision for r in history] == list(range(1, newest.revision + 1))
    bases = [r.base_change_id for r in history]
    assert bases == ["", *(r.change_id for r in history[:-1])]
    assert {r.change_id for r in accepted} <= kept
    for change_id in undecided:
        status = await shared.acceptor.read_status(change_id)
        assert (status is ChangeStatus.ACCEPTED) is (change_id in kept)
    assert newest.cfg.inventory.targets[0].slots != 9 or newest.revision == 1
