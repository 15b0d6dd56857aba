"""Messages by which nodes pull the newest configuration from each other.

A node that lacks a configuration sends a `Pull` to a peer. The `PullReply` has
the record, the versions of the parts that changed since the node's revision,
and as many of those parts as fit; the node pulls the others by version.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from radishwind.config import records
from radishwind.config.adopter import Adopter
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import assemble
from radishwind.config.parts import decode_part
from radishwind.config.parts import encode_part
from radishwind.config.parts import Part
from radishwind.config.parts import Snapshot
from radishwind.config.records import ChangeRecord
from radishwind.config.records import PartRef
from radishwind.decoding import JsonDecoder
from radishwind.decoding.numbers import NonNegativeInt

#: Maximum total size of the parts in a reply (bytes of JSON), unless a single
#: part is larger.
MAX_REPLY_PARTS_BYTES = 192 * 1024

#: Longer messages are refused; a part has at most 1 MB.
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class Pull(msgspec.Struct, frozen=True, omit_defaults=True):
    """Requests what is newer than the configuration of the sender.

    Attributes:
      revision: revision in force at the sender.
      change_id: ID of the change that produced it.
      address: address of the sender's peer listener, HOST:PORT.
      want: part versions requested; empty to request the record.
    """

    revision: NonNegativeInt
    change_id: str
    address: str = ""
    want: tuple[PartRef, ...] = ()


class PullReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to a `Pull`.

    Attributes:
      revision: revision in force at the replying node.
      change_id: ID of the change that produced it.
      record: that change, if the requesting node is behind.
      whole: whether `changed` lists all parts, not only changed ones.
      changed: part versions that the requesting node lacks.
      gone: names of parts that no longer exist.
      parts: some of the changed or requested parts, by name.
    """

    revision: NonNegativeInt
    change_id: str
    record: ChangeRecord | None = None
    whole: bool = False
    changed: tuple[PartRef, ...] = ()
    gone: tuple[str, ...] = ()
    parts: dict[str, msgspec.Raw] = {}


_pull_decoder = JsonDecoder[Pull](
    Pull, "a pull", MAX_MESSAGE_BYTES, RevisionRefusedError
)
_reply_decoder = JsonDecoder[PullReply](
    PullReply, "a reply to a pull", MAX_MESSAGE_BYTES, RevisionRefusedError
)


def decode_pull(content: bytes) -> Pull:
    """Returns the pull encoded in `content`.

    Raises:
      RevisionRefusedError: `content` is not a valid pull.
    """
    return _pull_decoder.decode(content)


def decode_reply(content: bytes) -> PullReply:
    """Returns the reply encoded in `content`.

    Raises:
      RevisionRefusedError: `content` is not a valid reply.
    """
    return _reply_decoder.decode(content)


class PullResponder:
    """Answers pulls from the configuration in force.

    It records at which revision parts were removed, so that a node that is a
    few revisions behind gets only the difference.
    """

    def __init__(self, adopter: Adopter) -> None:
        self._adopter = adopter
        self._removed_at: dict[str, int] = {}
        self._removals_since = 0
        self._last_snapshot = adopter.snapshot

    def respond(self, pull: Pull) -> PullReply:
        """Returns the reply to `pull`."""
        own = self._adopter.snapshot
        self._record_removals(own)
        reply = PullReply(own.revision, own.change_id)
        if own.record is None or own.revision < pull.revision:
            return reply
        if pull.want:
            refs = [r for r in pull.want if own.refs.get(r.name) == r.version]
            return msgspec.structs.replace(
                reply, parts=_encode_parts(own.parts, refs)
            )
        if own.revision == pull.revision:
            return reply
        return self._difference(own, pull)

    def _difference(self, own: Snapshot, pull: Pull) -> PullReply:
        is_whole = pull.revision == 0 or pull.revision < self._removals_since
        changed = tuple(
            PartRef(name, version)
            for name, version in own.refs.items()
            if is_whole or records.parse_revision(version) > pull.revision
        )
        gone = [n for n, at in self._removed_at.items() if at > pull.revision]
        return PullReply(
            own.revision,
            own.change_id,
            own.record,
            is_whole,
            changed,
            () if is_whole else tuple(gone),
            _encode_parts(own.parts, changed),
        )

    def _record_removals(self, own: Snapshot) -> None:
        """Records the parts that were removed since the last call."""
        if own is self._last_snapshot:
            return
        if self._last_snapshot.record is None:
            self._removals_since = own.revision
        for name in self._last_snapshot.refs.keys() - own.refs.keys():
            self._removed_at[name] = own.revision
        for name in own.refs:
            self._removed_at.pop(name, None)
        self._last_snapshot = own


class SnapshotBuilder:
    """Collects the parts of a newer configuration from a peer's replies.

    Attributes:
      record: the change that produced the configuration.
    """

    def __init__(self, held: Snapshot, reply: PullReply) -> None:
        """Starts from the first reply.

        Args:
          held: the configuration in force on this node.
          reply: a reply with a record.

        Raises:
          RevisionRefusedError: the reply is not consistent, or does not apply
            to `held`.
        """
        record = reply.record
        if record is None or record.revision <= held.revision:
            raise RevisionRefusedError("expected a record of a newer revision")
        self.record = records.check_change_id(record)
        self._refs = {} if reply.whole else dict(held.refs)
        for name in reply.gone:
            self._refs.pop(name, None)
        self._refs |= {ref.name: ref.version for ref in reply.changed}
        if records.manifest_digest(self._refs) != record.digest:
            raise RevisionRefusedError(
                "the part versions do not match the digest of the record"
            )
        self._parts: dict[str, Part] = {
            name: held.parts[name]
            for name, version in self._refs.items()
            if held.refs.get(name) == version
        }
        self.add_parts(reply)

    def add_parts(self, reply: PullReply) -> bool:
        """Adds the parts of a reply.

        Returns:
          Whether the reply had a part that was missing.

        Raises:
          RevisionRefusedError: a part is malformed.
        """
        before = len(self._parts)
        for name, raw in reply.parts.items():
            if name in self._refs and name not in self._parts:
                self._parts[name] = decode_part(name, bytes(raw))
        return len(self._parts) > before

    def missing_parts(self) -> tuple[PartRef, ...]:
        """Returns the part versions that are still missing."""
        return tuple(
            PartRef(name, version)
            for name, version in self._refs.items()
            if name not in self._parts
        )

    def build(self) -> Snapshot:
        """Returns the complete configuration.

        Raises:
          RevisionRefusedError: parts are missing, or it is invalid.
        """
        return assemble(self.record, self._refs, self._parts)


def _encode_parts(
    parts: Mapping[str, Part], refs: Iterable[PartRef]
) -> dict[str, msgspec.Raw]:
    """Returns the first parts of `refs`, as many as fit in one reply."""
    encoded: dict[str, msgspec.Raw] = {}
    size = 0
    for ref in refs:
        raw = encode_part(parts[ref.name])
        size += len(raw)
        if encoded and size > MAX_REPLY_PARTS_BYTES:
            break
        encoded[ref.name] = msgspec.Raw(raw)
    return encoded
