"""What is kept in the store for a configuration, and its keys.

A small record of the newest accepted change is swapped by compare-and-swap. It
names what it changed; a manifest names every part with its version. A part is
written before under a key of its own version and never changed.
"""

from collections.abc import Mapping
import datetime
from typing import Annotated

import msgspec
import xxhash

from radishwind.config.errors import RevisionRefusedError

PREFIX = "/radishwind/config/"
ROOT_KEY = PREFIX + "root"
CHANGES_PREFIX = PREFIX + "changes/"
MANIFESTS_PREFIX = PREFIX + "manifests/"
PARTS_PREFIX = PREFIX + "parts/"

#: Revisions for which replaced parts and manifests stay readable, for nodes
#: that are in the middle of reading them.
KEPT_PART_REVISIONS = 16
#: Accepted changes that `changes show` can tell of.
KEPT_CHANGES = 1000

_REVISION_DIGITS = 12

ChangeId = Annotated[
    str, msgspec.Meta(pattern=r"^[1-9][0-9]{0,11}-[0-9a-f]{16}\Z")
]


class PartRef(msgspec.Struct, frozen=True, array_like=True):
    """One version of one part.

    Attributes:
      name: `common` or `service/NAME`.
      version: the id of the change that wrote it.
    """

    name: str
    version: ChangeId


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted change.

    Attributes:
      revision: the configuration's revision that it made.
      change_id: unique; starts with the revision.
      base_change_id: the change it was made on; empty for the first.
      operator: who made it.
      at: when it was made by the operator's clock, UTC.
      what: `inventory`, `rules`, or `inventory and rules`.
      lines: what it changed, a line each, the first ones of many.
      more_lines: how many lines were left out.
      changed: the parts it wrote.
      replaced: the parts that were in force before it and no longer are.
      digest: of the manifest.
    """

    revision: Annotated[int, msgspec.Meta(ge=1, lt=10**_REVISION_DIGITS)]
    change_id: ChangeId
    base_change_id: str
    operator: str
    at: datetime.datetime
    what: str
    lines: tuple[str, ...]
    more_lines: int
    changed: tuple[PartRef, ...]
    replaced: tuple[PartRef, ...]
    digest: str


class Root(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of the root key.

    Attributes:
      record: the newest accepted change.
      parts: the parts it wrote, where they are small: a watch then tells all
        that is new, also if the store fails right after.
    """

    record: ChangeRecord
    parts: dict[str, msgspec.Raw] = {}


_root_decoder = msgspec.json.Decoder(Root)
_record_decoder = msgspec.json.Decoder(ChangeRecord)
_manifest_decoder = msgspec.json.Decoder(tuple[PartRef, ...])


def change_id(revision: int, random_bits: int) -> str:
    """Returns the id of a change that would make `revision`."""
    return f"{revision}-{random_bits:016x}"


def parse_revision(version: str) -> int:
    """Returns the revision that a change id starts with.

    Raises:
      ValueError: it is no change id.
    """
    revision, dash, rest = version.partition("-")
    if not (revision.isascii() and revision.isdigit() and dash and rest):
        raise ValueError(f"expected REVISION-HEX, got {version[:40]!r}")
    return int(revision)


def change_key(revision: int) -> str:
    """Returns the key under which the change of `revision` is kept."""
    return f"{CHANGES_PREFIX}{revision:0{_REVISION_DIGITS}d}"


def part_key(ref: PartRef) -> str:
    """Returns the key of a version of a part."""
    return f"{PARTS_PREFIX}{ref.name}/{ref.version}"


def parse_part_key(key: str) -> PartRef:
    """Returns the version of a part that `key` is of."""
    name, _, version = key.removeprefix(PARTS_PREFIX).rpartition("/")
    return PartRef(name, version)


def encode_record(record: ChangeRecord) -> bytes:
    """Returns a record as kept and sent."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> ChangeRecord:
    """Returns the record in `content`.

    Raises:
      RevisionRefusedError: it is none.
    """
    try:
        return checked(_record_decoder.decode(content))
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise RevisionRefusedError(f"malformed record: {exc}") from exc


def decode_root(content: bytes) -> Root:
    """Returns the value of the root key in `content`.

    Raises:
      RevisionRefusedError: it is none.
    """
    try:
        root = _root_decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise RevisionRefusedError(f"malformed root: {exc}") from exc
    checked(root.record)
    return root


def checked(record: ChangeRecord) -> ChangeRecord:
    """Returns `record` if its change id is of its revision.

    Raises:
      RevisionRefusedError: it is not.
    """
    if parse_revision(record.change_id) == record.revision:
        return record
    raise RevisionRefusedError(
        f"expected a change id of revision {record.revision}, "
        f"got {record.change_id}"
    )


def encode_manifest(refs: Mapping[str, str]) -> bytes:
    """Returns the versions of all parts as kept, in order of name."""
    return msgspec.json.encode(sorted(refs.items()))


def decode_manifest(content: bytes) -> dict[str, str]:
    """Returns the version of each part by its name.

    Raises:
      RevisionRefusedError: it is no manifest.
    """
    try:
        refs = _manifest_decoder.decode(content)
    except msgspec.MsgspecError as exc:
        raise RevisionRefusedError(f"malformed manifest: {exc}") from exc
    return {ref.name: ref.version for ref in refs}


def digest(refs: Mapping[str, str]) -> str:
    """Returns a digest of the versions of all parts."""
    return xxhash.xxh3_128_hexdigest(encode_manifest(refs))


def advanced(refs: Mapping[str, str], record: ChangeRecord) -> dict[str, str]:
    """Returns the versions of all parts after one change.

    Args:
      refs: the versions before it.
      record: the change.
    """
    after = dict(refs)
    for ref in record.replaced:
        after.pop(ref.name, None)
    for ref in record.changed:
        after[ref.name] = ref.version
    return after
