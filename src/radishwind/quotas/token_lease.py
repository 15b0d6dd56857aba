"""Tokens of one account that a node has leased, and its unreported use."""

import dataclasses
import math

#: Tokens are leased ahead for this time at the recent request rate: enough for
#: a request to the lender and its answer, one of them lost and repeated.
LEASE_AHEAD_S = 0.3

#: Time constant of the request rate, an exponentially decaying mean.
_RATE_TIME_CONSTANT_S = 1.0


@dataclasses.dataclass(slots=True)
class TokenLease:
    """State of one account at a node that receives requests of it.

    A new session begins with each change of the lender. Its counts begin with
    the use that the previous lender has not acknowledged.

    Attributes:
      lender: name of the lender.
      session: identifies the counts below; increases.
      admitted: requests admitted in this session.
      refunded: of these, those that were refunded.
      admitted_acked: value of `admitted` that the lender has acknowledged.
      refunded_acked: value of `refunded` that the lender has acknowledged.
      admit_limit: requests are admitted up to this value of `admitted`.
      expires_at: when the lease expires (monotonic, s).
      unleased_acked: whether the lender has acknowledged the last request that
        was admitted without a leased token.
      last_unleased: value of `admitted` after that request.
      is_released: whether the leased tokens were released and the lender may
        not know it yet.
      release_sequence: sequence number of the first message that reported the
        release; 0 if none did.
      ignored_up_to: answers to messages up to this sequence number are ignored.
      has_refused: whether a request was refused since the lender's last answer.
      requested_at: when the lender was last asked (monotonic, s).
      used_at: when the last request arrived (monotonic, s).
      last_retry_at: latest retry time given to a refused request (monotonic,
        s).
      borrower_count: number of nodes that use the account.
      is_answered: whether any lender has answered since the lease was created.
    """

    lender: str
    session: int
    admitted: int = 0
    refunded: int = 0
    admitted_acked: int = 0
    refunded_acked: int = 0
    admit_limit: int = 0
    expires_at: float = 0.0
    unleased_acked: bool = True
    last_unleased: int = 0
    is_released: bool = False
    release_sequence: int = 0
    ignored_up_to: int = 0
    has_refused: bool = False
    requested_at: float = -math.inf
    used_at: float = -math.inf
    last_retry_at: float = 0.0
    borrower_count: int = 1
    is_answered: bool = False
    _rate: float = 0.0

    @property
    def has_unreported_use(self) -> bool:
        """Whether the lender has not acknowledged all counts."""
        return (
            self.admitted > self.admitted_acked
            or self.refunded > self.refunded_acked
        )

    @property
    def awaits_answer(self) -> bool:
        """Whether the lender must be asked until it answers."""
        return self.has_unreported_use or self.is_released or self.has_refused

    def available(self, now: float) -> int:
        """Returns the number of leased tokens left."""
        if now >= self.expires_at:
            return 0
        return max(0, self.admit_limit - self.admitted)

    def record_arrival(self, now: float) -> None:
        """Adds a request to the request rate."""
        self._rate = self.rate_per_s(now) + 1 / _RATE_TIME_CONSTANT_S
        self.used_at = now

    def rate_per_s(self, now: float) -> float:
        """Returns the recent request rate (1/s)."""
        elapsed_s = now - self.used_at
        return self._rate * math.exp(
            -max(0.0, elapsed_s) / _RATE_TIME_CONSTANT_S
        )

    def wanted(self, now: float) -> int:
        """Returns the number of tokens that this node should hold."""
        return int(self.rate_per_s(now) * LEASE_AHEAD_S + 0.5)

    def change_lender(self, lender: str, session: int, sequence: int) -> None:
        """Moves to another lender; tokens of the previous one become void.

        Args:
          lender: name of the new lender.
          session: a new session number.
          sequence: sequence number of the last message sent.
        """
        self.lender, self.session = lender, session
        self.admitted -= self.admitted_acked
        self.refunded = max(0, self.refunded - self.refunded_acked)
        self.admitted_acked = self.refunded_acked = 0
        self.last_unleased = self.admitted
        self.release(sequence)

    def release(self, sequence: int) -> None:
        """Releases all tokens; answers up to `sequence` are ignored."""
        self.admit_limit = 0
        self.expires_at = 0.0
        self.is_released = True
        self.release_sequence = 0
        self.ignored_up_to = sequence

    def request_sent(self, sequence: int, now: float) -> None:
        """Records that message `sequence` reported this state to the lender."""
        self.requested_at = now
        if not self.is_released:
            return
        self.release_sequence = self.release_sequence or sequence
        # Each such message makes the lender release what it lent before.
        self.ignored_up_to = max(self.ignored_up_to, sequence - 1)

    def answer_received(self, sequence: int) -> None:
        """Records that message `sequence` was answered."""
        self.ignored_up_to = sequence
        if (
            self.is_released
            and self.release_sequence
            and sequence >= self.release_sequence
        ):
            self.is_released = False
