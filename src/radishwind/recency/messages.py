"""Datagrams by which nodes query each other for freshness proofs."""

import math
from typing import TypeAlias

import msgspec

from radishwind.decoding import MalformedInputError
from radishwind.decoding import MsgpackDecoder
from radishwind.decoding.numbers import Int
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_DATAGRAM_BYTES
from radishwind.recency.model import FreshnessProof


class ProofQuery(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Asks a node for its newest freshness proof.

    Attributes:
      query_id: identifies the query; unpredictable.
    """

    query_id: Int


class ProofReply(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers a `ProofQuery`.

    Attributes:
      query_id: identifies the query.
      version: newest configuration version that the store returned.
      age_ms: age of the proof (ms, rounded up); negative without a proof.
    """

    query_id: Int
    version: NonNegativeInt = 0
    age_ms: Int = -1

    def to_proof(self, queried_at: float) -> FreshnessProof | None:
        """Returns what this reply proves to the node that sent the query.

        The reply was sent after the query. Counted back from the time of the
        query, its age is thus never too small, however long it was delayed.

        Args:
          queried_at: when the query was sent (monotonic, s).
        """
        if self.age_ms < 0:
            return None
        return FreshnessProof(queried_at - self.age_ms / 1000, self.version)


def reply_to(
    query: ProofQuery, proof: FreshnessProof | None, now: float
) -> ProofReply:
    """Returns the reply of a node that holds `proof` at time `now` (s)."""
    if proof is None:
        return ProofReply(query.query_id)
    age_ms = math.ceil(max(0.0, now - proof.as_of) * 1000)
    return ProofReply(query.query_id, proof.version, age_ms)


RecencyMessage: TypeAlias = ProofQuery | ProofReply

_encoder = msgspec.msgpack.Encoder()
_decoder = MsgpackDecoder[RecencyMessage](
    RecencyMessage, "a recency message", MAX_DATAGRAM_BYTES
)


def encode(message: RecencyMessage) -> bytes:
    """Returns `message` encoded as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> RecencyMessage | None:
    """Returns the message in a datagram; `None` if it is malformed."""
    try:
        return _decoder.decode(data)
    except MalformedInputError:
        return None
