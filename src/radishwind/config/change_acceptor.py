"""Accepting a change: parts first, then one compare-and-swap of the root."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import random

import anyio
import msgspec

from radishwind.config import records
from radishwind.config.cleanup import delete_keys
from radishwind.config.cleanup import tidy
from radishwind.config.diff import differences
from radishwind.config.errors import ChangeConflictError
from radishwind.config.errors import ChangeUnsettledError
from radishwind.config.files import check_together
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Rules
from radishwind.config.parts import encode_part
from radishwind.config.parts import Part
from radishwind.config.parts import Snapshot
from radishwind.config.parts import split_into_parts
from radishwind.config.records import ChangeRecord
from radishwind.config.records import PartRef
from radishwind.config.records import Root
from radishwind.config.repository import ConfigRepository
from radishwind.config.validation import FileFault
from radishwind.config.validation import FileInvalidError
from radishwind.core.clock import Clock
from radishwind.store import Backoff
from radishwind.store import Compare
from radishwind.store import Put
from radishwind.store import Store
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreError
from radishwind.store import StoreUnavailableError

#: Bounds of one transaction: the store's own are 128 operations and 1 MB.
MAX_PUTS = 100
MAX_PUT_BYTES = 512 * 1024

#: A part must stay below the 1 MB that the store takes for a value.
MAX_PART_BYTES = 1_000_000

#: Lines of a change kept with it.
KEPT_LINES = 50
#: Parts up to this sum (bytes) are told with the record itself.
INLINE_BYTES = 64 * 1024

_SHOWN_CHANGES = 20

_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 1.0


class ChangeStatus(enum.Enum):
    """What became of a change."""

    ACCEPTED = "accepted"
    REJECTED = "not accepted, and never will be"
    UNDECIDED = "not seen so far; the store may still carry it out"
    EXPIRED = "older than the history that is kept"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """What an operator wants.

    Attributes:
      content: the new inventory, the new rules, or both at once.
      operator: who wants it.
      base: the revision it was made on; `None` for the newest.
      above: the new revision shall be higher than this one too; for a store
        that was restored from an old copy.
    """

    content: Inventory | Rules | Configuration
    operator: str
    base: int | None = None
    above: int = 0


class ChangeAcceptor:
    """Accepts changes for operators."""

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        decision_wait_s: float = 10.0,
    ) -> None:
        self._store = store
        self._repository = ConfigRepository(store)
        self._clock = clock
        self._rng = rng
        self._decision_wait_s = decision_wait_s

    async def accept(self, change: Change) -> ChangeRecord | None:
        """Makes `change` the newest configuration.

        Returns:
          The accepted change; `None` where nothing differs.

        Raises:
          FileInvalidError: inventory and rules don't fit each other.
          ChangeConflictError: another change came first.
          ChangeUnsettledError: it can't be told whether it was accepted.
          StoreError: the store failed; the change had no effect.
        """
        base, stored_at = await self._read_base()
        if change.base is not None and change.base != base.revision:
            raise await self._conflict(change.base)
        record, snapshot = self._prepare(change, base)
        if record is None:
            return None
        await self._write_parts(record, snapshot)
        await self._swap(_root(record, snapshot), base, stored_at)
        await tidy(self._store, record, snapshot.refs)
        return record

    async def read_status(self, change_id: str) -> ChangeStatus:
        """Tells by reading whether a change was accepted.

        Raises:
          ValueError: `change_id` is none.
          StoreError: the store failed.
        """
        revision = records.parse_revision(change_id)
        root, _ = await self._repository.read_newest()
        if root is None or root.record.revision < revision:
            return ChangeStatus.UNDECIDED
        newest = root.record
        if newest.change_id == change_id:
            return ChangeStatus.ACCEPTED
        if newest.revision - revision >= records.KEPT_CHANGES:
            return ChangeStatus.EXPIRED
        kept = await self._repository.read_change(revision)
        if kept is not None and kept.change_id == change_id:
            return ChangeStatus.ACCEPTED
        return ChangeStatus.REJECTED

    async def _read_base(self) -> tuple[Snapshot, int]:
        try:
            root, stored_at = await self._repository.read_newest()
            if root is None:
                return Snapshot(), stored_at
            base = await self._repository.load(root, Snapshot())
        except StoreAnswerLostError as exc:
            raise StoreUnavailableError(f"change not accepted: {exc}") from exc
        return base, stored_at

    def _prepare(
        self, change: Change, base: Snapshot
    ) -> tuple[ChangeRecord | None, Snapshot]:
        """Returns the record and the new configuration; `None` if the same."""
        inventory, rules, what = _merged(base.cfg, change.content)
        check_together(inventory, rules, what)
        lines = differences(
            (base.cfg.inventory, base.cfg.rules), (inventory, rules)
        )
        level = base.record is not None and base.revision >= change.above
        if not lines and level:
            return None, base
        revision = max(base.revision, change.above) + 1
        change_id = records.change_id(revision, self._rng.getrandbits(64))
        parts = split_into_parts(inventory, rules)
        _check_sizes(parts)
        changed = [n for n, p in parts.items() if base.parts.get(n) != p]
        refs = {name: base.refs.get(name, change_id) for name in parts}
        refs |= dict.fromkeys(changed, change_id)
        record = ChangeRecord(
            revision=revision,
            change_id=change_id,
            base_change_id=base.change_id,
            operator=change.operator,
            at=self._clock.now(),
            what=what,
            lines=lines[:KEPT_LINES],
            more_lines=max(0, len(lines) - KEPT_LINES),
            changed=tuple(PartRef(name, change_id) for name in changed),
            replaced=_replaced_parts(base, refs),
            digest=records.digest(refs),
        )
        cfg = Configuration(revision, change_id, inventory, rules)
        return record, Snapshot(record, refs, parts, cfg)

    async def _write_parts(
        self, record: ChangeRecord, snapshot: Snapshot
    ) -> None:
        puts = [
            Put(records.part_key(ref), encode_part(snapshot.parts[ref.name]))
            for ref in record.changed
        ]
        manifest = records.encode_manifest(snapshot.refs)
        puts.append(Put(_manifest_key(record), manifest))
        try:
            for batch in _batches(puts):
                await self._store.transact((), batch)
        except StoreAnswerLostError as exc:
            # The root was not touched, so nothing is accepted, whatever
            # became of these keys, which no other change can name.
            raise StoreUnavailableError(f"change not accepted: {exc}") from exc

    async def _swap(self, root: Root, base: Snapshot, stored_at: int) -> None:
        record = root.record
        kept = Put(
            records.change_key(record.revision), records.encode_record(record)
        )
        try:
            result = await self._store.transact(
                (Compare(records.ROOT_KEY, stored_at),),
                (Put(records.ROOT_KEY, msgspec.json.encode(root)), kept),
            )
        except StoreAnswerLostError as exc:
            accepted = await self._settle_lost(record, exc)
        else:
            accepted = result.succeeded
        if accepted:
            return
        keys = [records.part_key(ref) for ref in record.changed]
        await delete_keys(self._store, [*keys, _manifest_key(record)])
        raise await self._conflict(base.revision)

    async def _settle_lost(
        self, record: ChangeRecord, cause: StoreAnswerLostError
    ) -> bool:
        """Reads until the change is seen or superseded; never writes."""
        backoff = Backoff(self._rng, _FIRST_PAUSE_S, _LONGEST_PAUSE_S)
        until = self._clock.monotonic() + self._decision_wait_s
        while True:
            try:
                settlement = await self.read_status(record.change_id)
            except StoreError:
                settlement = ChangeStatus.UNDECIDED
            if settlement is not ChangeStatus.UNDECIDED:
                return settlement is ChangeStatus.ACCEPTED
            pause_s = backoff.record_failure()
            if self._clock.monotonic() + pause_s > until:
                raise ChangeUnsettledError(
                    f"change {record.change_id}: {cause}. Settle it later by "
                    f"`radishwind changes show {record.change_id}`"
                ) from cause
            await anyio.sleep(pause_s)

    async def _conflict(self, base: int) -> ChangeConflictError:
        """Returns the conflict, with what changed since `base` if readable."""
        try:
            return await self._conflict_with_changes(base)
        except StoreError as exc:
            return ChangeConflictError(
                f"expected revision {base} to be the newest, got another; "
                f"what changed could not be read: {exc}"
            )

    async def _conflict_with_changes(self, base: int) -> ChangeConflictError:
        root, _ = await self._repository.read_newest()
        if root is None:
            return ChangeConflictError(f"base {base}: the store has none")
        newest = root.record
        since = await self._repository.read_changes_after(
            base, newest, _SHOWN_CHANGES
        )
        text = "\n".join(describe_change(r) for r in since) or "  none kept"
        return ChangeConflictError(
            f"expected revision {base} to be the newest, got "
            f"{newest.revision}. Changed since:\n{text}"
        )


def describe_change(record: ChangeRecord) -> str:
    """Returns a change as text for operators, several lines."""
    head = (
        f"revision {record.revision}, change {record.change_id}, "
        f"{record.what} by {record.operator} "
        f"at {record.at:%Y-%m-%d %H:%M:%S} UTC"
    )
    lines = [head, *(f"  {line}" for line in record.lines)]
    if record.more_lines:
        lines.append(f"  and {record.more_lines} more")
    return "\n".join(lines)


def _replaced_parts(
    base: Snapshot, refs: Mapping[str, str]
) -> tuple[PartRef, ...]:
    """Returns the parts of `base` that `refs` lacks or has anew."""
    return tuple(
        PartRef(name, version)
        for name, version in base.refs.items()
        if refs.get(name) != version
    )


def _merged(
    cfg: Configuration, content: Inventory | Rules | Configuration
) -> tuple[Inventory, Rules, str]:
    """Returns the new inventory and rules, and which of them are new."""
    if isinstance(content, Configuration):
        return content.inventory, content.rules, "inventory and rules"
    if isinstance(content, Inventory):
        return content, cfg.rules, "inventory"
    return cfg.inventory, content, "rules"


def _check_sizes(parts: Mapping[str, Part]) -> None:
    faults = [
        FileFault(
            name,
            f"expected at most {MAX_PART_BYTES} bytes as kept in the store, "
            f"got {size}",
        )
        for name, size in ((n, len(encode_part(p))) for n, p in parts.items())
        if size > MAX_PART_BYTES
    ]
    if faults:
        raise FileInvalidError(faults)


def _root(record: ChangeRecord, snapshot: Snapshot) -> Root:
    """Returns the root value; it carries the parts if they are small."""
    encoded = {
        ref.name: msgspec.Raw(encode_part(snapshot.parts[ref.name]))
        for ref in record.changed
    }
    if sum(len(bytes(raw)) for raw in encoded.values()) > INLINE_BYTES:
        return Root(record)
    return Root(record, encoded)


def _manifest_key(record: ChangeRecord) -> str:
    return records.MANIFESTS_PREFIX + record.change_id


def _batches(puts: Sequence[Put]) -> list[list[Put]]:
    """Returns `puts` in as few transactions as the bounds allow."""
    batches: list[list[Put]] = [[]]
    size = 0
    for put in puts:
        size += len(put.value)
        if batches[-1] and (
            len(batches[-1]) == MAX_PUTS or size > MAX_PUT_BYTES
        ):
            batches.append([])
            size = len(put.value)
        batches[-1].append(put)
    return batches
