"""The datagrams by which nodes ask each other for proof."""

import math
from typing import TypeAlias

import msgspec

from radishwind.recency.model import FreshnessProof


class Question(msgspec.Struct, frozen=True, array_like=True, tag=1, gc=False):
    """Asks how recent the other's knowledge is.

    Attributes:
      number: names the question, unpredictably.
    """

    number: int


class Answer(msgspec.Struct, frozen=True, array_like=True, tag=2, gc=False):
    """Answers a question.

    Attributes:
      number: of the question.
      version: the newest that the store told of.
      age_ms: how long ago (ms, rounded up); below 0 where that isn't known.
    """

    number: int
    version: int = 0
    age_ms: int = -1

    def proof(self, asked_at: float) -> FreshnessProof | None:
        """Returns what this proves to who asked at `asked_at`.

        The answer was given after the question was asked, so its age reaches
        back from there at least, however long it lay anywhere.

        Args:
          asked_at: monotonic time (s).
        """
        if self.age_ms < 0:
            return None
        return FreshnessProof(asked_at - self.age_ms / 1000, self.version)


def answer_to(
    question: Question, proof: FreshnessProof | None, now: float
) -> Answer:
    """Returns the answer of a node that holds `proof` at `now` (s)."""
    if proof is None:
        return Answer(question.number)
    age_ms = math.ceil(max(0.0, now - proof.as_of) * 1000)
    return Answer(question.number, proof.version, age_ms)


RecencyMessage: TypeAlias = Question | Answer

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(RecencyMessage)


def encode(message: RecencyMessage) -> bytes:
    """Returns `message` as a datagram."""
    return _encoder.encode(message)


def decode(data: bytes) -> RecencyMessage | None:
    """Returns the message in a datagram; `None` if there is none."""
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
