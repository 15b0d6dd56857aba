"""Reads configurations and their change history from the store."""

from collections.abc import Mapping

from radishwind.config import records
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import assemble
from radishwind.config.parts import decode_part
from radishwind.config.parts import Part
from radishwind.config.parts import Snapshot
from radishwind.config.records import ChangeRecord
from radishwind.config.records import PartRef
from radishwind.config.records import Root
from radishwind.store import Store

#: If more parts than this are missing, all parts are listed in pages instead of
#: being read one by one.
_MAX_SINGLE_READS = 8


class ConfigRepository:
    """Read access to the configuration in the store."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read_newest(self) -> tuple[Root | None, int]:
        """Returns the root and its store revision; 0 if there is none."""
        entry = await self._store.get(records.ROOT_KEY)
        if entry is None:
            return None, 0
        return records.decode_root(entry.value), entry.mod_revision

    async def load(self, root: Root, held: Snapshot) -> Snapshot:
        """Returns the configuration of `root`, reading the parts `held` lacks.

        Args:
          root: the root read before.
          held: a configuration whose parts are already known.

        Raises:
          RevisionRefusedError: it is incomplete or invalid.
          StoreError: the store failed.
        """
        record = root.record
        refs = await self._refs(record, held)
        parts = {
            name: held.parts[name]
            for name, version in refs.items()
            if held.refs.get(name) == version
        }
        for name, raw in root.parts.items():
            parts[name] = decode_part(name, bytes(raw))
        missing = [PartRef(n, v) for n, v in refs.items() if n not in parts]
        parts.update(await self._read_parts(missing))
        return assemble(record, refs, parts)

    async def read_change(self, revision: int) -> ChangeRecord | None:
        """Returns the accepted change that produced `revision`, if kept."""
        entry = await self._store.get(records.change_key(revision))
        return None if entry is None else records.decode_record(entry.value)

    async def read_changes_after(
        self, revision: int, newest: ChangeRecord, limit: int
    ) -> tuple[ChangeRecord, ...]:
        """Returns the last changes after `revision`, the newest first.

        Args:
          revision: the revision after which changes are wanted.
          newest: the newest accepted change.
          limit: maximum number of changes.
        """
        changes = [newest] if newest.revision > revision else []
        oldest = max(revision, newest.revision - limit)
        for number in range(newest.revision - 1, oldest, -1):
            record = await self.read_change(number)
            if record is not None:
                changes.append(record)
        return tuple(changes)

    async def _refs(
        self, record: ChangeRecord, held: Snapshot
    ) -> Mapping[str, str]:
        if held.change_id and held.change_id == record.base_change_id:
            return records.apply_change(held.refs, record)
        key = records.MANIFESTS_PREFIX + record.change_id
        entry = await self._store.get(key)
        if entry is None:
            raise RevisionRefusedError(
                f"revision {record.revision}: its manifest is missing"
            )
        return records.decode_manifest(entry.value)

    async def _read_parts(self, refs: list[PartRef]) -> dict[str, Part]:
        """Returns the parts that exist; `assemble` detects missing ones."""
        wanted = {records.part_key(ref): ref.name for ref in refs}
        if len(refs) > _MAX_SINGLE_READS:
            entries = await self._store.list(records.PARTS_PREFIX)
        else:
            found = [await self._store.get(key) for key in wanted]
            entries = tuple(entry for entry in found if entry is not None)
        return {
            wanted[entry.key]: decode_part(wanted[entry.key], entry.value)
            for entry in entries
            if entry.key in wanted
        }
