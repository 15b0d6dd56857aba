"""Hedges calls after a quantile of the response time, within a budget."""

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

#: Response times in one window of the histogram; each window gives a quantile.
WINDOW_SIZE = 256

#: Response times in the first window. Each further window is twice as long, up
#: to `WINDOW_SIZE`, so that a service with few calls gets a delay early.
FIRST_WINDOW_SIZE = 32

#: Weight of the quantile of the latest window in the delay.
WINDOW_WEIGHT = 0.5

#: Weight of one response in the fraction that indicates overload.
OVERLOAD_WEIGHT = 0.02

#: A service gets no hedges while more than this fraction of its responses
#: indicate a full target: a hedge would take the slot of a first attempt. One
#: full target of several is no obstacle, since hedges go to other targets.
MAX_OVERLOAD_FRACTION = 0.5

#: Capacity of the budget of a service (hedges), for a burst of slow responses.
BUDGET_CAPACITY = 10.0

#: Fraction of the allowed share at which the quantile aims. The rest keeps the
#: budget from being exhausted, so that the slowest calls find a token.
TARGET_SHARE_FRACTION = 0.8

#: Services whose response times are kept, about 22 KB each.
MAX_SERVICES = 64

_MAX_US = 60_000_000
_SIGNIFICANT_DIGITS = 2
_OVERLOAD_CODES = frozenset({ResultCode.OVERLOADED, ResultCode.SERVER_SHED})


class _ResponseTimes:
    """Response times of one service, and the delay of its hedges."""

    __slots__ = (
        "_count",
        "_histogram",
        "_window_size",
        "delay_s",
        "overload_fraction",
    )

    def __init__(self) -> None:
        self.delay_s: float | None = None
        self.overload_fraction = 0.0
        self._count = 0
        self._window_size = FIRST_WINDOW_SIZE
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)

    @property
    def is_overloaded(self) -> bool:
        """Whether most targets are full."""
        return self.overload_fraction > MAX_OVERLOAD_FRACTION

    def record_overload(self, indicated: bool) -> None:
        """Records whether a response indicated overload."""
        self.overload_fraction += OVERLOAD_WEIGHT * (
            indicated - self.overload_fraction
        )

    def record_response_time(self, elapsed_s: float, share: float) -> None:
        """Records a response time; `share` of the calls may be hedged."""
        value_us = min(_MAX_US, max(1, int(elapsed_s * 1e6)))
        self._histogram.record_value(value_us)
        self._count += 1
        if self._count < self._window_size:
            return
        percent = 100 * (1 - TARGET_SHARE_FRACTION * share)
        newest_us = self._histogram.get_value_at_percentile(percent)
        newest_s = newest_us / 1e6
        previous_s = newest_s if self.delay_s is None else self.delay_s
        self.delay_s = previous_s + WINDOW_WEIGHT * (newest_s - previous_s)
        # A new histogram costs less than a reset.
        self._histogram = HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)
        self._count = 0
        self._window_size = min(WINDOW_SIZE, 2 * self._window_size)


class QuantileHedgePolicy(HedgePolicy):
    """Hedges idempotent calls that are slower than most of their service.

    The quantile is such that slightly fewer calls than the allowed share are
    slower; the budget enforces the share in any case.
    """

    def __init__(self) -> None:
        self._services: dict[str, _ResponseTimes] = {}
        self._buckets = TokenBucketTable(0.0, BUDGET_CAPACITY)

    def delay_s(self, call: "Call", now: float) -> float | None:
        share = call.rules.hedge_share
        if not _may_hedge(call):
            return None
        self._buckets.deposit(call.service, share, now)
        times = self._services.get(call.service)
        if times is None or times.delay_s is None or times.is_overloaded:
            return None
        if now + times.delay_s >= call.deadline:
            return None
        return times.delay_s

    def try_spend(self, call: "Call", now: float) -> bool:
        times = self._services.get(call.service)
        if times is None or times.is_overloaded:
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
            times.record_overload(_indicates_overload(outcome, load))
        if outcome is None or isinstance(outcome, Done):
            times.record_response_time(elapsed_s, call.rules.hedge_share)

    def _times(self, service: str) -> _ResponseTimes:
        times = self._services.get(service)
        if times is None:
            times = self._services[service] = _ResponseTimes()
            if len(self._services) > MAX_SERVICES:
                del self._services[next(iter(self._services))]
        return times


def _may_hedge(call: "Call") -> bool:
    if not call.idempotent or call.rules.hedge_share <= 0:
        return False
    return not isinstance(call.request.body, BodyStream)


def _indicates_overload(outcome: Outcome, load: LoadReport | None) -> bool:
    if isinstance(outcome, NotRun) and outcome.code in _OVERLOAD_CODES:
        return True
    return load is not None and load.queued > 0
