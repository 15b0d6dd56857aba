"""Accepts changes: writes the parts, then replaces the root atomically."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
import random

import anyio
import msgspec

from radishwind.config import records
from radishwind.config.cleanup import delete_keys
from radishwind.config.cleanup import delete_replaced
from radishwind.config.diff import describe_differences
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
from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.store import Compare
from radishwind.store import Put
from radishwind.store import Store
from radishwind.store import StoreAnswerLostError
from radishwind.store import StoreError
from radishwind.store import StoreUnavailableError

#: Limits of one transaction; the store allows 128 operations and 1 MB.
MAX_PUTS = 100
MAX_PUT_BYTES = 512 * 1024

#: Maximum size of a part; the store accepts values of up to 1 MB.
MAX_PART_BYTES = 1_000_000

#: Number of description lines that are stored with a change.
MAX_KEPT_LINES = 50
#: Changed parts of up to this total size are included in the root itself.
MAX_INLINE_BYTES = 64 * 1024

_MAX_LISTED_CHANGES = 20

#: Bounds of the pause between reads of the status of a change (s).
_INITIAL_PAUSE_S = 0.1
_MAX_PAUSE_S = 1.0


class ChangeStatus(enum.Enum):
    """Whether a change was accepted."""

    ACCEPTED = "accepted"
    REJECTED = "not accepted, and never will be"
    UNDECIDED = "not seen so far; the store may still carry it out"
    EXPIRED = "older than the history that is kept"


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator requests.

    Attributes:
      content: the new inventory, the new rules, or both at once.
      operator: name of the operator.
      base: revision on which the change is based; `None` for the newest.
      above: revision that the new one must exceed as well; for a store that
        was restored from an old copy.
    """

    content: Inventory | Rules | Configuration
    operator: str
    base: int | None = None
    above: int = 0


class ChangeAcceptor:
    """Accepts the changes of operators.

    All parts are written first. A change is accepted when the compare-and-swap
    of the root succeeds; without it, the parts have no effect.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        rng: random.Random,
        decision_wait_s: float = 10.0,
    ) -> None:
        """Creates the acceptor.

        Args:
          store: the store.
          clock: the clock.
          rng: random source of change IDs and pauses.
          decision_wait_s: time for which the status of a change is read
            after the response to its compare-and-swap was lost (s).
        """
        self._store = store
        self._repository = ConfigRepository(store)
        self._clock = clock
        self._rng = rng
        self._decision_wait_s = decision_wait_s

    async def accept(self, change: Change) -> ChangeRecord | None:
        """Makes `change` the newest configuration.

        Returns:
          The accepted change; `None` if nothing differs.

        Raises:
          FileInvalidError: inventory and rules are not consistent, or a part
            is too large.
          ChangeConflictError: another change was accepted first.
          ChangeUnsettledError: it is not known whether it was accepted.
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
        await delete_replaced(self._store, record, snapshot.refs)
        return record

    async def read_status(self, change_id: str) -> ChangeStatus:
        """Reads from the store whether a change was accepted.

        Raises:
          ValueError: `change_id` is not a change ID.
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
        """Returns the record and the new configuration.

        The record is `None` if nothing differs from `base`.
        """
        inventory, rules, what = _merge(base.cfg, change.content)
        check_together(inventory, rules, what)
        lines = describe_differences(
            (base.cfg.inventory, base.cfg.rules), (inventory, rules)
        )
        is_high_enough = (
            base.record is not None and base.revision >= change.above
        )
        if not lines and is_high_enough:
            return None, base
        revision = max(base.revision, change.above) + 1
        change_id = records.make_change_id(revision, self._rng.getrandbits(64))
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
            lines=lines[:MAX_KEPT_LINES],
            more_lines=max(0, len(lines) - MAX_KEPT_LINES),
            changed=tuple(PartRef(name, change_id) for name in changed),
            replaced=_replaced_parts(base, refs),
            digest=records.manifest_digest(refs),
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
            # The root is unchanged, so nothing is accepted, whether or not
            # these keys were written; no other change can refer to them.
            raise StoreUnavailableError(f"change not accepted: {exc}") from exc

    async def _swap(self, root: Root, base: Snapshot, stored_at: int) -> None:
        record = root.record
        history_put = Put(
            records.change_key(record.revision), records.encode_record(record)
        )
        try:
            result = await self._store.transact(
                (Compare(records.ROOT_KEY, stored_at),),
                (Put(records.ROOT_KEY, msgspec.json.encode(root)), history_put),
            )
        except StoreAnswerLostError as exc:
            accepted = await self._resolve_lost_response(record, exc)
        else:
            accepted = result.succeeded
        if accepted:
            return
        keys = [records.part_key(ref) for ref in record.changed]
        await delete_keys(self._store, [*keys, _manifest_key(record)])
        raise await self._conflict(base.revision)

    async def _resolve_lost_response(
        self, record: ChangeRecord, cause: StoreAnswerLostError
    ) -> bool:
        """Reads until the change is found accepted or superseded; never writes.

        Returns:
          Whether the change was accepted.

        Raises:
          ChangeUnsettledError: it is still unknown after `decision_wait_s`.
        """
        backoff = Backoff(self._rng, _INITIAL_PAUSE_S, _MAX_PAUSE_S)
        deadline = self._clock.monotonic() + self._decision_wait_s
        while True:
            try:
                status = await self.read_status(record.change_id)
            except StoreError:
                status = ChangeStatus.UNDECIDED
            if status is not ChangeStatus.UNDECIDED:
                return status is ChangeStatus.ACCEPTED
            pause_s = backoff.record_failure()
            if self._clock.monotonic() + pause_s > deadline:
                raise ChangeUnsettledError(
                    f"change {record.change_id}: {cause}. Settle it later by "
                    f"`radishwind changes show {record.change_id}`"
                ) from cause
            await anyio.sleep(pause_s)

    async def _conflict(self, base: int) -> ChangeConflictError:
        """Returns the conflict, with the changes since `base` if readable."""
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
            base, newest, _MAX_LISTED_CHANGES
        )
        text = "\n".join(describe_change(r) for r in since) or "  none kept"
        return ChangeConflictError(
            f"expected revision {base} to be the newest, got "
            f"{newest.revision}. Changed since:\n{text}"
        )


def describe_change(record: ChangeRecord) -> str:
    """Returns a description of a change for operators, in several lines."""
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
    """Returns the parts of `base` that `refs` lacks or has in a new version."""
    return tuple(
        PartRef(name, version)
        for name, version in base.refs.items()
        if refs.get(name) != version
    )


def _merge(
    cfg: Configuration, content: Inventory | Rules | Configuration
) -> tuple[Inventory, Rules, str]:
    """Returns the resulting inventory and rules, and which of them changed."""
    if isinstance(content, Configuration):
        return content.inventory, content.rules, "inventory and rules"
    if isinstance(content, Inventory):
        return content, cfg.rules, "inventory"
    return cfg.inventory, content, "rules"


def _check_sizes(parts: Mapping[str, Part]) -> None:
    faults = [
        FileFault(
            name,
            f"expected at most {MAX_PART_BYTES} bytes as stored, got {size}",
        )
        for name, size in ((n, len(encode_part(p))) for n, p in parts.items())
        if size > MAX_PART_BYTES
    ]
    if faults:
        raise FileInvalidError(faults)


def _root(record: ChangeRecord, snapshot: Snapshot) -> Root:
    """Returns the root value, which includes the changed parts if small."""
    encoded = {
        ref.name: msgspec.Raw(encode_part(snapshot.parts[ref.name]))
        for ref in record.changed
    }
    if sum(len(bytes(raw)) for raw in encoded.values()) > MAX_INLINE_BYTES:
        return Root(record)
    return Root(record, encoded)


def _manifest_key(record: ChangeRecord) -> str:
    return records.MANIFESTS_PREFIX + record.change_id


def _batches(puts: Sequence[Put]) -> list[list[Put]]:
    """Groups `puts` into as few transactions as the limits allow."""
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
