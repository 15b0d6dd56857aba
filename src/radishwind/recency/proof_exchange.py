"""Questions asked and answers given."""

from collections.abc import Callable
import random

from radishwind.http.types import Address
from radishwind.recency.messages import Answer
from radishwind.recency.messages import answer_to
from radishwind.recency.messages import decode
from radishwind.recency.messages import encode
from radishwind.recency.messages import Question
from radishwind.recency.model import FreshnessProof

#: Who asked in vain and is answered again once there is better proof, at most.
_MOST_HELD = 256

_NUMBER_BITS = 62


class Exchange:
    """Pairs answers with questions, and answers those of others.

    Attributes:
      queries_sent: questions sent.
      proofs_received: answers to own questions that proved something.
      proofs_served: answers given that proved something.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        send: Callable[[bytes, Address], None],
        newest: Callable[[], FreshnessProof | None],
        helps_below_s: float,
        kept_s: float,
    ) -> None:
        """Makes the exchange of a node.

        Args:
          rng: names questions, so that no answer to another start of this
            node, or of who saw no question, is taken.
          send: sends a datagram.
          newest: returns the newest proof that this node knows.
          helps_below_s: proof older than this (s) helps nobody for long; who
            asked is answered again when there is better.
          kept_s: answers to a question count for so long (s).
        """
        self._rng = rng
        self._send = send
        self._newest = newest
        self._helps_below_s = helps_below_s
        self._kept_s = kept_s
        # By number, when it was asked (monotonic s) and whom.
        self._questions: dict[int, tuple[float, str]] = {}
        # By address, the question that got no good answer, and until when.
        self._held: dict[Address, tuple[Question, float]] = {}
        self.queries_sent = 0
        self.proofs_received = 0
        self.proofs_served = 0

    def ask(self, name: str, address: Address, now: float) -> None:
        """Asks the node `name` at `address`; the answer counts from `now`."""
        self._forget(now)
        number = self._rng.getrandbits(_NUMBER_BITS)
        self._questions[number] = (now, name)
        self.queries_sent += 1
        self._send(encode(Question(number)), address)

    def received(
        self, data: bytes, sender: Address, now: float
    ) -> tuple[str, FreshnessProof | None] | None:
        """Takes a datagram; answers it if it is a question.

        Returns:
          Who answered a question of this node, and what that proves; `None`
          where it is no answer to one.

        Raises:
          ValueError: it cannot be read.
        """
        message = decode(data)
        if message is None:
            raise ValueError("expected a question or an answer")
        if isinstance(message, Question):
            self._serve(message, sender, now)
            return None
        return self._take(message)

    def improved(self, now: float) -> None:
        """Answers those that asked in vain; there is better proof now."""
        proof = self._newest()
        if proof is None or now - proof.as_of >= self._helps_below_s:
            return
        held, self._held = self._held, {}
        for address, (question, until) in held.items():
            if now < until:
                self._answer(question, address, now)

    def _serve(self, question: Question, sender: Address, now: float) -> None:
        proof = self._newest()
        if proof is None or now - proof.as_of >= self._helps_below_s:
            if len(self._held) >= _MOST_HELD:
                self._held.clear()
            self._held[sender] = (question, now + self._helps_below_s)
        self._answer(question, sender, now)

    def _answer(self, question: Question, to: Address, now: float) -> None:
        proof = self._newest()
        self.proofs_served += proof is not None
        self._send(encode(answer_to(question, proof, now)), to)

    def _take(self, answer: Answer) -> tuple[str, FreshnessProof | None] | None:
        asked = self._questions.get(answer.number)
        if asked is None:
            # Late, or to an earlier start of this node.
            return None
        asked_at, name = asked
        proof = answer.proof(asked_at)
        self.proofs_received += proof is not None
        return name, proof

    def _forget(self, now: float) -> None:
        """Forgets questions whose answers would prove nothing any more."""
        for number, (asked_at, _) in list(self._questions.items()):
            if now - asked_at < self._kept_s:
                break
            del self._questions[number]
