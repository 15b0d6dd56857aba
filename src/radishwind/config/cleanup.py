"""Removes from the store what no node will read any more.

Nothing here matters for correctness: a part removed too early is read anew in
its newer version, one left behind is removed by a later sweep.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import contextlib

from radishwind.config import records
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.records import ChangeRecord
from radishwind.config.repository import ConfigRepository
from radishwind.store import Delete
from radishwind.store import Store
from radishwind.store import StoreError

#: Accepted changes from one sweep to the next.
SWEEP_EVERY = 256

_MAX_DELETES = 100


async def tidy(
    store: Store, record: ChangeRecord, refs: Mapping[str, str]
) -> None:
    """Removes what fell out of use by the accepted change `record`.

    Args:
      store: the store.
      record: the change just accepted.
      refs: the version of each part in force since.
    """
    with contextlib.suppress(StoreError, RevisionRefusedError):
        old = await ConfigRepository(store).read_change(
            record.revision - records.KEPT_PART_REVISIONS
        )
        keys = []
        if record.revision > records.KEPT_CHANGES:
            forgotten = record.revision - records.KEPT_CHANGES
            keys.append(records.change_key(forgotten))
        if old is not None:
            keys += [records.part_key(ref) for ref in old.replaced]
            keys.append(records.MANIFESTS_PREFIX + old.base_change_id)
        await delete_keys(store, keys)
        if record.revision % SWEEP_EVERY == 0:
            await sweep(store, record.revision, refs)


async def sweep(store: Store, revision: int, refs: Mapping[str, str]) -> None:
    """Removes parts and manifests that failed changes left behind.

    Args:
      store: the store.
      revision: the newest revision.
      refs: the version of each part in it.
    """
    keys = []
    for entry in await store.list(records.PARTS_PREFIX):
        ref = records.parse_part_key(entry.key)
        if refs.get(ref.name) != ref.version:
            keys.append((ref.version, entry.key))
    for entry in await store.list(records.MANIFESTS_PREFIX):
        version = entry.key.removeprefix(records.MANIFESTS_PREFIX)
        keys.append((version, entry.key))
    limit = revision - records.KEPT_PART_REVISIONS
    await delete_keys(store, [key for v, key in keys if _at_most(v, limit)])


async def delete_keys(store: Store, keys: Sequence[str]) -> None:
    """Removes `keys`; leaves the rest to a later sweep if the store fails."""
    with contextlib.suppress(StoreError):
        for start in range(0, len(keys), _MAX_DELETES):
            batch = keys[start : start + _MAX_DELETES]
            await store.transact((), [Delete(key) for key in batch])


def _at_most(version: str, revision: int) -> bool:
    """Returns whether `version` is a change id up to `revision`."""
    try:
        return records.parse_revision(version) <= revision
    except ValueError:
        return False
