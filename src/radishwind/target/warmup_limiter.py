"""Bounds what a cold server is sent, so that no rate of ours fells it.

A server that just started stands few requests a second and crashes well above
that, with everything that it runs. A fleet that lost power comes back cold all
at once: each server that falls starts cold again, and callers who repeat fell
it anew, for as long as they come. The node beside a server is the only one
that sends to it, so its count is the count.
"""

import abc
import collections
import math

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.outcomes.model import NotRun
from radishwind.telemetry.logs import PartLogger

#: Sends are counted in a window a little longer than the second in which they
#: may not arrive too densely: what is sent far apart may arrive closer (s).
WINDOW_S = 1.1

#: The part of the bound that waits for requests of the highest rank while
#: nobody knows yet how many of them come.
FIRST_KEPT = 1 / 3

#: Sends remembered at most; no law allows so many in a window.
MOST_COUNTED = 512

#: How long offers of the highest rank are remembered (s).
LATELY_S = 4.0

#: The least that a refused caller is told to wait (s).
_LEAST_RETRY_S = 0.05


class WarmupLimit(msgspec.Struct, frozen=True):
    """What a cold server of a service stands.

    Attributes:
      rate_per_s: requests a second that it stands; 0 for none at all.
      burst_factor: so many times that is still allowed in any second.
      burst_allowance: requests beyond it that are allowed in any second.
      warmup_s: how long one is cold after its start (s).
    """

    rate_per_s: float
    burst_factor: float = 1.0
    burst_allowance: float = 0.0
    warmup_s: float = 0.0

    @property
    def max_per_window(self) -> int:
        """Requests that may be sent in any window."""
        if self.rate_per_s <= 0:
            return 0
        most = (
            math.floor(
                self.rate_per_s * self.burst_factor + self.burst_allowance
            )
            - 1
        )
        return min(max(1, most), MOST_COUNTED)


class SendLimiter(abc.ABC):
    """Says whether the server beside may be sent one more request."""

    @abc.abstractmethod
    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        """Returns why `call` had better not wait here, if so.

        Args:
          call: what would wait.
          waiting: requests that wait already.
        """

    @abc.abstractmethod
    def try_send(self, call: Call) -> NotRun | None:
        """Counts `call` as sent now, or returns why it must not be."""

    @abc.abstractmethod
    def remaining(self) -> int | None:
        """Returns how many may be sent now; `None` where nothing bounds it."""


class NoSendLimiter(SendLimiter):
    """Bounds nothing."""

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        return None

    def try_send(self, call: Call) -> NotRun | None:
        return None

    def remaining(self) -> int | None:
        return None


class WarmupLimiter(SendLimiter):
    """Counts what a cold server gets in any window.

    A server of unknown warmth counts as cold, for as long as one can be that
    has just started. An answer to what was asked since tells how long it really
    is; a heartbeat, which may be late, only lengthens it. Steady time ends it,
    so no jump of the time of day does.
    """

    def __init__(self, clock: Clock, running_s: float = 0.0) -> None:
        """Makes a gate beside a server of unknown warmth.

        Args:
          clock: the clock.
          running_s: how long this process has run already (s). What the one
            before it sent counts until the first window is over.
        """
        self._clock = clock
        self._law: WarmupLimit | None = None
        self._log = PartLogger("target", clock)
        self._began = clock.monotonic() - running_s
        # Since when its warmth is not known, if it isn't (monotonic s).
        self._unknown_since: float | None = clock.monotonic()
        self._cold_until = -math.inf
        # When the last ones were sent, and their ranks (monotonic s).
        self._sent: collections.deque[tuple[float, int]] = collections.deque(
            maxlen=MOST_COUNTED
        )
        # When requests of the highest rank were offered (monotonic s).
        self._urgent: collections.deque[float] = collections.deque(
            maxlen=MOST_COUNTED
        )
        self._highest_rank: int | None = None
        # Calls with a lot that asked lately, the longest ago first, and when.
        self._asked: dict[str, float] = {}
        self._offers_since = -math.inf

    @property
    def is_cold(self) -> bool:
        """Whether the server is cold, or may be."""
        law = self._law
        if law is None:
            return False
        now = self._clock.monotonic()
        since = self._unknown_since
        if since is not None and now < since + law.warmup_s:
            return True
        return now < self._cold_until

    def configure(self, law: WarmupLimit | None) -> None:
        """Takes what is configured; `None` where nothing bounds it."""
        if law == self._law:
            return
        self._law = law
        if law is not None and not law.rate_per_s:
            self._log.warning(
                "The configuration lets cold servers have no requests."
            )

    def mark_unknown(self, since: float) -> None:
        """Takes that the server may have turned cold and has not told yet.

        Args:
          since: what was asked before tells nothing of it (monotonic s).
        """
        self._unknown_since = since

    def record_start(self, left_s: float) -> None:
        """Takes what a server tells that just began a new life.

        Args:
          left_s: how much longer it is cold (s).
        """
        now = self._clock.monotonic()
        self._unknown_since = None
        self._cold_until = now + left_s
        law = self._law
        if law is not None and now - (law.warmup_s - left_s) >= self._began:
            # It is younger than this node, so nobody else sent it anything.
            self._began = -math.inf
        self._log_cold(left_s)

    def record_heartbeat(self, left_s: float) -> None:
        """Takes what a heartbeat tells, which may be late.

        Args:
          left_s: how much longer the server is cold (s).
        """
        self._lengthen(left_s)

    def record_check(self, left_s: float, asked: float) -> None:
        """Takes what the server answered to a look.

        Args:
          left_s: how much longer it is cold (s).
          asked: when it was asked (monotonic s).
        """
        if self._unknown_since is not None and asked < self._unknown_since:
            return
        self._unknown_since = None
        if left_s > 0:
            self._lengthen(left_s)
            return
        self._cold_until = min(self._cold_until, self._clock.monotonic())

    def _lengthen(self, left_s: float) -> None:
        now = self._clock.monotonic()
        if now >= self._cold_until:
            self._log_cold(left_s)
        self._cold_until = max(self._cold_until, now + left_s)

    def _log_cold(self, left_s: float) -> None:
        if left_s <= 0:
            return
        self._log.change(
            "The server is cold.",
            left_s=round(left_s, 3),
            most=self._law.max_per_window if self._law else None,
        )

    def refusal(self, call: Call, waiting: int) -> NotRun | None:
        law = self._law
        if law is None or not self.is_cold:
            return None
        now = self._clock.monotonic()
        self._note_offer(call.priority, now)
        if self._draws_a_blank(law, call, now):
            return self._refused(law, now)
        if self._room(law, call.priority, now) > waiting:
            return None
        return self._refused(law, now)

    def try_send(self, call: Call) -> NotRun | None:
        law = self._law
        now = self._clock.monotonic()
        # What was let wait is refused by the bound alone.
        is_cold = law is not None and self.is_cold
        if (
            law is not None
            and is_cold
            and self._count(law, now) >= law.max_per_window
        ):
            return self._refused(law, now)
        self._sent.append((now, call.priority))
        return None

    def remaining(self) -> int | None:
        law = self._law
        if law is None or not self.is_cold:
            return None
        return max(
            0, law.max_per_window - self._count(law, self._clock.monotonic())
        )

    def _room(self, law: WarmupLimit, rank: int, now: float) -> int:
        """Returns how many of `rank` may be sent now."""
        left = law.max_per_window - self._count(law, now)
        if self._is_highest(rank):
            return left
        others = sum(sent != self._highest_rank for _, sent in self._sent)
        return min(left, law.max_per_window - self._kept(law, now) - others)

    def _is_highest(self, rank: int) -> bool:
        return self._highest_rank is None or rank <= self._highest_rank

    def _draws_a_blank(self, law: WarmupLimit, call: Call, now: float) -> bool:
        """Returns whether the lot of `call` says that it is not served.

        Of calls that belong together all are served or none, at whichever
        servers they come: those whose lot is within the part that can be.
        """
        if not call.group_rank:
            return False
        name = call.call_id.rpartition(".")[0] or call.call_id
        self._asked.pop(name, None)
        self._asked[name] = now
        while now - next(iter(self._asked.values())) >= WINDOW_S:
            del self._asked[next(iter(self._asked))]
        kept = 0 if self._is_highest(call.priority) else self._kept(law, now)
        return call.group_rank + 0.5 > (law.max_per_window - kept) / len(
            self._asked
        )

    def _count(self, law: WarmupLimit, now: float) -> int:
        """Returns how many count as sent in the window that ends now."""
        if now - self._began < WINDOW_S:
            return law.max_per_window
        while self._sent and now - self._sent[0][0] >= WINDOW_S:
            self._sent.popleft()
        return len(self._sent)

    def _kept(self, law: WarmupLimit, now: float) -> int:
        """Returns how many are kept for the highest rank.

        As many as came lately, and what their number usually varies by: first
        come, first served would leave it the part that it has of all that
        comes, however little that is.
        """
        since = max(now - LATELY_S, self._offers_since)
        while self._urgent and self._urgent[0] < since:
            self._urgent.popleft()
        if now - since < WINDOW_S:
            return math.ceil(law.max_per_window * FIRST_KEPT)
        expected = len(self._urgent) * WINDOW_S / (now - since)
        return math.ceil(expected + math.sqrt(expected))

    def _note_offer(self, rank: int, now: float) -> None:
        if self._highest_rank is None or rank < self._highest_rank:
            self._highest_rank = rank
            self._offers_since = now
            self._urgent.clear()
        if rank == self._highest_rank:
            self._urgent.append(now)

    def _refused(self, law: WarmupLimit, now: float) -> NotRun:
        until = self._began + WINDOW_S
        if self._sent:
            until = max(until, self._sent[0][0] + WINDOW_S)
        if not law.max_per_window:
            until = self._cold_until
        wait_s = min(max(_LEAST_RETRY_S, until - now), WINDOW_S)
        return NotRun(
            ResultCode.SERVER_COLD,
            "The server is cold and gets no more just now.",
            round(wait_s, 3),
        )
