"""Records that hold a configuration in the store, and their keys.

The root key holds a small record of the newest accepted change, and is replaced
by compare-and-swap. The record lists the parts that were changed; a manifest
lists all parts with their versions. Each version of a part has its own key; it
is written before the root and never modified.
"""

from collections.abc import Mapping
import datetime
from typing import Annotated

import msgspec
import xxhash

from radishwind.config.errors import RevisionRefusedError
from radishwind.decoding import JsonDecoder
from radishwind.decoding.numbers import NonNegativeInt

PREFIX = "/radishwind/config/"
ROOT_KEY = PREFIX + "root"
CHANGES_PREFIX = PREFIX + "changes/"
MANIFESTS_PREFIX = PREFIX + "manifests/"
PARTS_PREFIX = PREFIX + "parts/"

#: Number of revisions for which replaced parts and manifests are kept, for
#: nodes that are still reading them.
KEPT_PART_REVISIONS = 16
#: Number of accepted changes that are kept for `changes show`.
KEPT_CHANGES = 1000

#: The largest record or manifest that is read (bytes); etcd accepts 1.5 MB.
MAX_RECORD_BYTES = 2 << 20

_REVISION_DIGITS = 12

ChangeId = Annotated[
    str, msgspec.Meta(pattern=r"^[1-9][0-9]{0,11}-[0-9a-f]{16}\Z")
]


class PartRef(msgspec.Struct, frozen=True, array_like=True):
    """Reference to one version of a part.

    Attributes:
      name: `common` or `service/NAME`.
      version: ID of the change that wrote it.
    """

    name: str
    version: ChangeId


class ChangeRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An accepted change.

    Attributes:
      revision: revision of the configuration that the change produced.
      change_id: unique ID; starts with the revision.
      base_change_id: ID of the change it is based on; empty for the first.
      operator: the operator who made the change.
      at: time of the change by the operator's clock (UTC).
      what: `inventory`, `rules`, or `inventory and rules`.
      lines: descriptions of the differences; only the first if there are many.
      more_lines: number of lines that were left out.
      changed: parts that the change wrote.
      replaced: parts of the base that are no longer in force.
      digest: digest of the manifest.
    """

    revision: Annotated[int, msgspec.Meta(ge=1, lt=10**_REVISION_DIGITS)]
    change_id: ChangeId
    base_change_id: str
    operator: str
    at: datetime.datetime
    what: str
    lines: tuple[str, ...]
    more_lines: NonNegativeInt
    changed: tuple[PartRef, ...]
    replaced: tuple[PartRef, ...]
    digest: str


class Root(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The value of the root key.

    Attributes:
      record: record of the newest accepted change.
      parts: the parts that the change wrote, if they are small, so that a watch
        event carries the whole change even if the store fails right after.
    """

    record: ChangeRecord
    parts: dict[str, msgspec.Raw] = {}


_root_decoder = JsonDecoder[Root](
    Root, "a root", MAX_RECORD_BYTES, RevisionRefusedError
)
_record_decoder = JsonDecoder[ChangeRecord](
    ChangeRecord, "a record of a change", MAX_RECORD_BYTES, RevisionRefusedError
)
_manifest_decoder = JsonDecoder[tuple[PartRef, ...]](
    tuple[PartRef, ...], "a manifest", MAX_RECORD_BYTES, RevisionRefusedError
)


def make_change_id(revision: int, random_bits: int) -> str:
    """Returns the ID of a change that would produce `revision`."""
    return f"{revision}-{random_bits:016x}"


def parse_revision(version: str) -> int:
    """Returns the revision with which a change ID starts.

    Raises:
      ValueError: `version` is not a change ID.
    """
    revision, dash, rest = version.partition("-")
    if not (revision.isascii() and revision.isdigit() and dash and rest):
        raise ValueError(f"expected REVISION-HEX, got {version[:40]!r}")
    return int(revision)


def change_key(revision: int) -> str:
    """Returns the key of the change that produced `revision`."""
    return f"{CHANGES_PREFIX}{revision:0{_REVISION_DIGITS}d}"


def part_key(ref: PartRef) -> str:
    """Returns the key of a part version."""
    return f"{PARTS_PREFIX}{ref.name}/{ref.version}"


def parse_part_key(key: str) -> PartRef:
    """Returns the part version that is stored under `key`."""
    name, _, version = key.removeprefix(PARTS_PREFIX).rpartition("/")
    return PartRef(name, version)


def encode_record(record: ChangeRecord) -> bytes:
    """Returns `record` encoded as JSON."""
    return msgspec.json.encode(record)


def decode_record(content: bytes) -> ChangeRecord:
    """Returns the record encoded in `content`.

    Raises:
      RevisionRefusedError: `content` is not a valid record.
    """
    return check_change_id(_record_decoder.decode(content))


def decode_root(content: bytes) -> Root:
    """Returns the root value encoded in `content`.

    Raises:
      RevisionRefusedError: `content` is not a valid root.
    """
    root = _root_decoder.decode(content)
    check_change_id(root.record)
    return root


def check_change_id(record: ChangeRecord) -> ChangeRecord:
    """Returns `record` after checking that its ID matches its revision.

    Raises:
      RevisionRefusedError: they don't match.
    """
    if parse_revision(record.change_id) == record.revision:
        return record
    raise RevisionRefusedError(
        f"expected a change ID of revision {record.revision}, "
        f"got {record.change_id}"
    )


def encode_manifest(refs: Mapping[str, str]) -> bytes:
    """Returns the manifest for the part versions `refs`, sorted by name."""
    return msgspec.json.encode(sorted(refs.items()))


def decode_manifest(content: bytes) -> dict[str, str]:
    """Returns the version of each part, by name.

    Raises:
      RevisionRefusedError: `content` is not a valid manifest.
    """
    refs = _manifest_decoder.decode(content)
    return {ref.name: ref.version for ref in refs}


def manifest_digest(refs: Mapping[str, str]) -> str:
    """Returns the digest of the manifest for the part versions `refs`."""
    return xxhash.xxh3_128_hexdigest(encode_manifest(refs))


def apply_change(
    refs: Mapping[str, str], record: ChangeRecord
) -> dict[str, str]:
    """Returns the part versions after a change.

    Args:
      refs: part versions before the change, by name.
      record: the change.
    """
    after = dict(refs)
    for ref in record.replaced:
        after.pop(ref.name, None)
    for ref in record.changed:
        after[ref.name] = ref.version
    return after
