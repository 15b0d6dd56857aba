"""What runs take at the server beside, with all that they wait for.

The time that work takes at the usual pace says nothing of the calls that a run
waits for, and little of a server whose pace changes. In an overload of what it
calls, a run of 0.18 s of work takes 0.6 s. One that begins with less than that
left holds a slot until its caller has gone.
"""

from typing import NamedTuple

import msgspec

#: Routes remembered; the longest known is forgotten.
MOST_ROUTES = 2048

#: Weight of one run in the mean, and in how far runs are off it.
_WEIGHT = 0.1

#: Runs seen before anything is said.
LEAST_RUNS = 8


class RunTimeEstimate(NamedTuple):
    """What a run is expected to take; 0 where not known.

    Attributes:
      mean_s: in the mean (s).
      likely_s: what four runs of five end within (s).
    """

    mean_s: float
    likely_s: float


UNKNOWN_RUN_TIME = RunTimeEstimate(0.0, 0.0)


class _Taken(msgspec.Struct):
    """What runs of one route took.

    Attributes:
      mean_s: in the mean (s).
      off_s: how far they are off it, in the mean (s).
      runs: how many, to the least that counts.
    """

    mean_s: float
    off_s: float = 0.0
    runs: int = 1


class RunTimeEstimator:
    """Learns them by route."""

    def __init__(self) -> None:
        self._taken: dict[str, _Taken] = {}

    def record_run(self, route: str, run_s: float) -> None:
        """Takes that a run of `route` took so long, or was cut then (s)."""
        taken = self._taken.get(route)
        if taken is None:
            self._taken[route] = _Taken(run_s)
            if len(self._taken) > MOST_ROUTES:
                del self._taken[next(iter(self._taken))]
            return
        taken.runs += taken.runs < LEAST_RUNS
        taken.off_s += _WEIGHT * (abs(run_s - taken.mean_s) - taken.off_s)
        taken.mean_s += _WEIGHT * (run_s - taken.mean_s)

    def estimate(self, route: str) -> "RunTimeEstimate":
        """Returns what a run of `route` is expected to take."""
        taken = self._taken.get(route)
        if taken is None or taken.runs < LEAST_RUNS:
            return UNKNOWN_RUN_TIME
        return RunTimeEstimate(taken.mean_s, taken.mean_s + taken.off_s)
