"""Estimates the run times of routes on the backend server, waits included.

The run time of work at the normal pace does not include the nested calls that a
run waits for, and predicts little for a server whose pace changes. When a
service that it calls is overloaded, a run of 0.18 s of work takes 0.6 s. A run
started with less than that left until its deadline holds a slot until its
caller has gone.
"""

from typing import NamedTuple

import msgspec

#: Routes tracked; beyond it the one added first is removed.
MAX_ROUTES = 2048

#: Weight of one run in the mean and in the mean deviation.
_SMOOTHING = 0.1

#: Runs needed before there is an estimate.
MIN_RUNS = 8


class RunTimeEstimate(NamedTuple):
    """The expected run time; 0 if unknown.

    Attributes:
      mean_s: mean run time (s).
      likely_s: time within which four of five runs end (s).
    """

    mean_s: float
    likely_s: float


UNKNOWN_RUN_TIME = RunTimeEstimate(0.0, 0.0)


class _RouteStatistics(msgspec.Struct):
    """Run time statistics of one route.

    Attributes:
      mean_s: smoothed mean run time (s).
      deviation_s: smoothed mean absolute deviation from it (s).
      runs: number of runs, up to `MIN_RUNS`.
    """

    mean_s: float
    deviation_s: float = 0.0
    runs: int = 1


class RunTimeEstimator:
    """Learns run times by route."""

    def __init__(self) -> None:
        self._routes: dict[str, _RouteStatistics] = {}

    def record_run(self, route: str, run_s: float) -> None:
        """Records that a run of `route` ended or was cut after `run_s` (s)."""
        statistics = self._routes.get(route)
        if statistics is None:
            self._routes[route] = _RouteStatistics(run_s)
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
            return
        statistics.runs += statistics.runs < MIN_RUNS
        statistics.deviation_s += _SMOOTHING * (
            abs(run_s - statistics.mean_s) - statistics.deviation_s
        )
        statistics.mean_s += _SMOOTHING * (run_s - statistics.mean_s)

    def estimate(self, route: str) -> "RunTimeEstimate":
        """Returns the expected run time of `route`."""
        statistics = self._routes.get(route)
        if statistics is None or statistics.runs < MIN_RUNS:
            return UNKNOWN_RUN_TIME
        return RunTimeEstimate(
            statistics.mean_s, statistics.mean_s + statistics.deviation_s
        )
