"""Hedges after a quantile of the answer time, from a budget."""

from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from radishwind.core.codes import ResultCode
from radishwind.hedging.policy import HedgePolicy
from radishwind.http.types import BodyStream
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.retries.token_buckets import TokenBucketTable
from radishwind.routing.chooser import LoadReport

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Answer times in one window of the histogram; a window gives one quantile.
WINDOW = 256

#: Answer times in the first window; each one after is twice as long, up to
#: `WINDOW`, so that a service with few calls need not wait for its delay.
FIRST_WINDOW = 32

#: Weight of the newest window's quantile in the delay.
WINDOW_WEIGHT = 0.5

#: Weight of one answer in the share of answers that tell of overload.
OVERLOAD_WEIGHT = 0.02

#: No hedges of a service while more than this share of its answers tell that
#: the target is full: a second attempt would take the slot of a first one.
#: One full target of several is no reason, since hedges go to another.
OVERLOAD_SHARE = 0.5

#: Hedges saved up at most, for a burst of slow answers.
MAX_SAVED = 10.0

#: Part of the share that the quantile aims at; the rest keeps the budget from
#: running dry, so that the slowest calls find it.
AIM = 0.8

#: Services whose answer times are kept, about 22 KB each.
MAX_SERVICES = 64

_MAX_US = 60_000_000
_DIGITS = 2
_OVERLOAD_CODES = frozenset({ResultCode.OVERLOADED, ResultCode.SERVER_SHED})


class _AnswerTimes:
    """Answer times of one service, and the quantile to hedge after."""

    __slots__ = ("_histogram", "_recorded", "_window", "delay_s", "overload")

    def __init__(self) -> None:
        self.delay_s: float | None = None
        self.overload = 0.0
        self._recorded = 0
        self._window = FIRST_WINDOW
        self._histogram = HdrHistogram(1, _MAX_US, _DIGITS)

    @property
    def overloaded(self) -> bool:
        """Whether most targets are full."""
        return self.overload > OVERLOAD_SHARE

    def note_overload(self, told: bool) -> None:
        """Takes whether an answer told of overload."""
        self.overload += OVERLOAD_WEIGHT * (told - self.overload)

    def record(self, elapsed_s: float, share: float) -> None:
        """Takes one answer time (s); hedges are to be `share` of calls."""
        value_us = min(_MAX_US, max(1, int(elapsed_s * 1e6)))
        self._histogram.record_value(value_us)
        self._recorded += 1
        if self._recorded < self._window:
            return
        percent = 100 * (1 - AIM * share)
        newest_us = self._histogram.get_value_at_percentile(percent)
        newest_s = newest_us / 1e6
        before_s = newest_s if self.delay_s is None else self.delay_s
        self.delay_s = before_s + WINDOW_WEIGHT * (newest_s - before_s)
        # A new one costs less than a reset.
        self._histogram = HdrHistogram(1, _MAX_US, _DIGITS)
        self._recorded = 0
        self._window = min(WINDOW, 2 * self._window)


class QuantileHedgePolicy(HedgePolicy):
    """Hedges idempotent calls that are slower than most of their service.

    The quantile is chosen so that a little less than the share that the rules
    allow reaches it; the budget holds the share in any case.
    """

    def __init__(self) -> None:
        self._services: dict[str, _AnswerTimes] = {}
        self._buckets = TokenBucketTable(0.0, MAX_SAVED)

    def delay_s(self, call: "Call", now: float) -> float | None:
        share = call.rules.hedge_share
        if not _may_hedge(call):
            return None
        self._buckets.deposit(call.service, share, now)
        times = self._services.get(call.service)
        if times is None or times.delay_s is None or times.overloaded:
            return None
        if now + times.delay_s >= call.deadline:
            return None
        return times.delay_s

    def try_spend(self, call: "Call", now: float) -> bool:
        times = self._services.get(call.service)
        if times is None or times.overloaded:
            return False
        return self._buckets.try_spend(call.service)

    def finished(
        self,
        call: "Call",
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        if not _may_hedge(call):
            return
        times = self._times(call.service)
        if outcome is not None:
            times.note_overload(_tells_overload(outcome, load))
        if outcome is None or isinstance(outcome, Done):
            times.record(elapsed_s, call.rules.hedge_share)

    def _times(self, service: str) -> _AnswerTimes:
        times = self._services.get(service)
        if times is None:
            times = self._services[service] = _AnswerTimes()
            if len(self._services) > MAX_SERVICES:
                del self._services[next(iter(self._services))]
        return times


def _may_hedge(call: "Call") -> bool:
    if not call.idempotent or call.rules.hedge_share <= 0:
        return False
    return not isinstance(call.request.body, BodyStream)


def _tells_overload(outcome: Outcome, load: LoadReport | None) -> bool:
    if isinstance(outcome, NotRun) and outcome.code in _OVERLOAD_CODES:
        return True
    return load is not None and load.queued > 0
