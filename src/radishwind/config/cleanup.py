"""Deletes keys from the store that no node will read any more.

Correctness does not depend on it: a node that misses a part deleted too early
reads the newer version, and a key left behind is deleted by a later sweep.
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

#: Number of accepted changes between sweeps.
SWEEP_INTERVAL_CHANGES = 256

_MAX_DELETES_PER_BATCH = 100


async def delete_replaced(
    store: Store, record: ChangeRecord, refs: Mapping[str, str]
) -> None:
    """Deletes keys whose retention ends with the accepted change `record`.

    Args:
      store: the store.
      record: the change just accepted.
      refs: version of each part after the change.
    """
    with contextlib.suppress(StoreError, RevisionRefusedError):
        old = await ConfigRepository(store).read_change(
            record.revision - records.KEPT_PART_REVISIONS
        )
        keys = []
        if record.revision > records.KEPT_CHANGES:
            expired = record.revision - records.KEPT_CHANGES
            keys.append(records.change_key(expired))
        if old is not None:
            keys += [records.part_key(ref) for ref in old.replaced]
            keys.append(records.MANIFESTS_PREFIX + old.base_change_id)
        await delete_keys(store, keys)
        if record.revision % SWEEP_INTERVAL_CHANGES == 0:
            await delete_orphans(store, record.revision, refs)


async def delete_orphans(
    store: Store, revision: int, refs: Mapping[str, str]
) -> None:
    """Deletes parts and manifests that failed changes left behind.

    Args:
      store: the store.
      revision: the newest revision.
      refs: version of each part in it.
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
    await delete_keys(store, [key for v, key in keys if _is_at_most(v, limit)])


async def delete_keys(store: Store, keys: Sequence[str]) -> None:
    """Deletes `keys`; if the store fails, a later sweep deletes the rest."""
    with contextlib.suppress(StoreError):
        for start in range(0, len(keys), _MAX_DELETES_PER_BATCH):
            batch = keys[start : start + _MAX_DELETES_PER_BATCH]
            await store.transact((), [Delete(key) for key in batch])


def _is_at_most(version: str, revision: int) -> bool:
    """Returns whether `version` is a change ID of at most `revision`."""
    try:
        return records.parse_revision(version) <= revision
    except ValueError:
        return False
