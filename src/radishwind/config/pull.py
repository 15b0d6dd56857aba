"""Messages by which nodes pass the newest configuration on to each other.

A node that lacks a configuration asks a peer for it. It gets the record, the
versions of the parts that changed since its own revision, and as many of those
parts as fit; it asks for the rest by version.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import TypeVar

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

#: Parts in one answer (bytes of JSON), unless a single one is larger.
ANSWER_BYTES = 192 * 1024

#: A message longer than this (bytes) is refused; a part has at most 1 MB.
MAX_MESSAGE_BYTES = 2 * 1024 * 1024


class Pull(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks a peer for what is newer; tells what the sender has.

    Attributes:
      revision: the revision in force at the sender.
      change_id: the change that made it.
      address: the sender's peer listener, HOST:PORT.
      want: parts asked for by version; empty to ask for the record.
    """

    revision: int
    change_id: str
    address: str = ""
    want: tuple[PartRef, ...] = ()


class PullReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The answer to a `Pull`.

    Attributes:
      revision: the revision in force here.
      change_id: the change that made it.
      record: that change, where the asking node is behind.
      whole: whether `changed` names every part, not only those changed.
      changed: versions of parts that the asking node lacks.
      gone: names of parts that are no more.
      parts: some of those parts by name.
    """

    revision: int
    change_id: str
    record: ChangeRecord | None = None
    whole: bool = False
    changed: tuple[PartRef, ...] = ()
    gone: tuple[str, ...] = ()
    parts: dict[str, msgspec.Raw] = {}


_T = TypeVar("_T")

_pull_decoder = msgspec.json.Decoder(Pull)
_offer_decoder = msgspec.json.Decoder(PullReply)


def decode_pull(content: bytes) -> Pull:
    """Returns the question in `content`.

    Raises:
      RevisionRefusedError: it is none.
    """
    return _decode(_pull_decoder, content)


def decode_reply(content: bytes) -> PullReply:
    """Returns the answer in `content`.

    Raises:
      RevisionRefusedError: it is none.
    """
    return _decode(_offer_decoder, content)


class PullResponder:
    """Answers pulls from the configuration in force.

    It remembers which parts went away at which revision, so that a node a few
    revisions behind gets a difference and not the whole.
    """

    def __init__(self, adopter: Adopter) -> None:
        self._adopter = adopter
        self._gone: dict[str, int] = {}
        self._gone_since = 0
        self._seen = adopter.snapshot

    def respond(self, pull: Pull) -> PullReply:
        """Returns the answer to `pull`."""
        own = self._adopter.snapshot
        self._follow(own)
        plain = PullReply(own.revision, own.change_id)
        if own.record is None or own.revision < pull.revision:
            return plain
        if pull.want:
            refs = [r for r in pull.want if own.refs.get(r.name) == r.version]
            return msgspec.structs.replace(
                plain, parts=_encoded(own.parts, refs)
            )
        if own.revision == pull.revision:
            return plain
        return self._difference(own, pull)

    def _difference(self, own: Snapshot, pull: Pull) -> PullReply:
        whole = pull.revision == 0 or pull.revision < self._gone_since
        changed = tuple(
            PartRef(name, version)
            for name, version in own.refs.items()
            if whole or records.parse_revision(version) > pull.revision
        )
        gone = [n for n, at in self._gone.items() if at > pull.revision]
        return PullReply(
            own.revision,
            own.change_id,
            own.record,
            whole,
            changed,
            () if whole else tuple(gone),
            _encoded(own.parts, changed),
        )

    def _follow(self, own: Snapshot) -> None:
        """Notes the parts that went away since the last look."""
        if own is self._seen:
            return
        if self._seen.record is None:
            self._gone_since = own.revision
        for name in self._seen.refs.keys() - own.refs.keys():
            self._gone[name] = own.revision
        for name in own.refs:
            self._gone.pop(name, None)
        self._seen = own


class SnapshotBuilder:
    """Collects the parts of one newer configuration from a peer's answers.

    Attributes:
      record: the record of the configuration.
    """

    def __init__(self, held: Snapshot, offer: PullReply) -> None:
        """Starts from the first answer.

        Args:
          held: the configuration in force here.
          offer: an answer that carries a record.

        Raises:
          RevisionRefusedError: the answer contradicts itself.
        """
        record = offer.record
        if record is None or record.revision <= held.revision:
            raise RevisionRefusedError("expected a record of a newer revision")
        self.record = records.checked(record)
        self._refs = {} if offer.whole else dict(held.refs)
        for name in offer.gone:
            self._refs.pop(name, None)
        self._refs |= {ref.name: ref.version for ref in offer.changed}
        if records.digest(self._refs) != record.digest:
            raise RevisionRefusedError("the parts named are not the record's")
        self._parts: dict[str, Part] = {
            name: held.parts[name]
            for name, version in self._refs.items()
            if held.refs.get(name) == version
        }
        self.add_parts(offer)

    def add_parts(self, offer: PullReply) -> bool:
        """Takes the parts of an answer; returns whether any was lacking.

        Raises:
          RevisionRefusedError: a part is malformed.
        """
        before = len(self._parts)
        for name, raw in offer.parts.items():
            if name in self._refs and name not in self._parts:
                self._parts[name] = decode_part(name, bytes(raw))
        return len(self._parts) > before

    def missing_parts(self) -> tuple[PartRef, ...]:
        """Returns the parts still to ask for."""
        return tuple(
            PartRef(name, version)
            for name, version in self._refs.items()
            if name not in self._parts
        )

    def build(self) -> Snapshot:
        """Returns the configuration.

        Raises:
          RevisionRefusedError: it isn't whole or has faults.
        """
        return assemble(self.record, self._refs, self._parts)


def _encoded(
    parts: Mapping[str, Part], refs: Iterable[PartRef]
) -> dict[str, msgspec.Raw]:
    """Returns the first of the parts, as many as fit one answer."""
    encoded: dict[str, msgspec.Raw] = {}
    size = 0
    for ref in refs:
        raw = encode_part(parts[ref.name])
        size += len(raw)
        if encoded and size > ANSWER_BYTES:
            break
        encoded[ref.name] = msgspec.Raw(raw)
    return encoded


def _decode(decoder: msgspec.json.Decoder[_T], content: bytes) -> _T:
    if len(content) > MAX_MESSAGE_BYTES:
        raise RevisionRefusedError(
            f"expected at most {MAX_MESSAGE_BYTES} bytes, got {len(content)}"
        )
    try:
        return decoder.decode(content)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise RevisionRefusedError(f"malformed message: {exc}") from exc
