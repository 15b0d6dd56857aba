"""The pace of instances, and the time that runs take as it changes.

The pace at the start of a run determines its run time. Measured on servers of
the deployments, runs started at a pace of 5 took 4.5 times as long as those
started at 1 (medians 295 and 65 ms of 517 runs), also where the pace changed
20 ms later. A request that would start in a slow interval therefore often
completes sooner if it is delayed until the next one.
"""

import math

from radishwind.routing.chooser import LoadReport

#: A pace above this multiple of the base pace is slow.
SLOW_PACE = 1.5

#: Time constant by which a pace returns to the mean if the moments of change
#: aren't known (s); about the length of a slow interval.
PACE_DECAY_S = 0.12

#: Time over which the statistics are averaged (s).
_AVERAGING_S = 20.0

#: Assumed before any reports: slow for about a third of the time.
_INITIAL_SLOW_SHARE = 0.3
_INITIAL_SLOW_PACE = 4.0


class PaceStatistics:
    """How often instances are slow, and their pace then.

    Attributes:
      slow_share: fraction of the time in slow intervals.
      slow_pace: mean pace in slow intervals.
      interval_s: last reported time between changes of the pace (s); 0 if no
        instance reported one.
    """

    def __init__(self) -> None:
        self.slow_share = _INITIAL_SLOW_SHARE
        self.slow_pace = _INITIAL_SLOW_PACE
        self.interval_s = 0.0

    @property
    def mean_pace(self) -> float:
        """The mean pace over all intervals."""
        return 1 + self.slow_share * (self.slow_pace - 1)

    def observe(self, pace: float, duration_s: float) -> None:
        """Records that an instance had `pace` for `duration_s` (s)."""
        weight = min(0.5, duration_s / _AVERAGING_S)
        is_slow = pace > SLOW_PACE
        self.slow_share += weight * (is_slow - self.slow_share)
        if is_slow:
            self.slow_pace += weight * (pace - self.slow_pace)

    def unknown_pace_run_s(self, normal_run_s: float) -> float:
        """Returns the expected run time on an instance of unknown pace (s).

        In a slow interval, the run either starts at once or waits for the next
        change, half an interval away on average. The lower time counts.

        Args:
          normal_run_s: run time at the normal pace (s).
        """
        if not self.interval_s:
            return normal_run_s * self.mean_pace
        wait_s = self.interval_s / 2 + self.delayed_run_s(
            normal_run_s, self.interval_s
        )
        slow_s = min(normal_run_s * self.slow_pace, wait_s)
        return normal_run_s + self.slow_share * (slow_s - normal_run_s)

    def delayed_run_s(self, normal_run_s: float, interval_s: float) -> float:
        """Returns the expected time from the next change of the pace on (s).

        If the pace is normal then, the run starts. Otherwise it starts
        nevertheless or waits for the change after that. The lower time counts.

        Args:
          normal_run_s: run time at the normal pace (s).
          interval_s: time between changes of the pace (s).
        """
        run_s = normal_run_s * self.mean_pace
        slow_share = min(0.9, self.slow_share)
        wait_s = normal_run_s + interval_s * slow_share / (1 - slow_share)
        return min(run_s, wait_s)


def completion_s(
    normal_run_s: float,
    report: LoadReport,
    age_s: float,
    statistics: PaceStatistics,
) -> float:
    """Returns the time until a run given to a target now completes (s).

    Args:
      normal_run_s: run time at the normal pace (s).
      report: last load report of the target.
      age_s: age of the report (s).
      statistics: pace statistics of the instances.
    """
    base_pace = max(0.01, report.base_pace)
    base_run_s = normal_run_s * base_pace
    pace = report.pace / base_pace
    if not report.pace_interval_ms:
        decay = math.exp(-age_s / PACE_DECAY_S)
        return base_run_s * (
            statistics.mean_pace + (pace - statistics.mean_pace) * decay
        )
    immediate_s = base_run_s * pace
    if pace <= SLOW_PACE:
        return immediate_s
    delayed_s = statistics.delayed_run_s(
        base_run_s, report.pace_interval_ms / 1000
    )
    return min(immediate_s, until_pace_change_s(report, age_s) + delayed_s)


def until_pace_change_s(report: LoadReport, age_s: float) -> float:
    """Returns the time until the pace may change again (s).

    Each change of the pace is reported. If no report has arrived since the last
    moment at which it may change, it hasn't changed.

    Args:
      report: last load report of the target.
      age_s: age of the report (s).
    """
    interval_s = report.pace_interval_ms / 1000
    remaining_s = report.pace_interval_left_ms / 1000 - age_s
    return remaining_s if remaining_s > 0 else remaining_s % interval_s
