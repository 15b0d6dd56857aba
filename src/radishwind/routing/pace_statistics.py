"""What a pace that changes means for work that is about to begin.

The run time of a request is fixed by the pace of the instance at its
beginning: measured on servers of the deployments, runs begun at a pace of 5
took 4.5 times as long as those begun at 1 (medians 295 and 65 ms over 517
runs), also where the pace changed 20 ms later. So work that would begin in a
slow spell often ends sooner if it waits for the next one.
"""

import math

from radishwind.routing.chooser import LoadReport

#: A pace so many times the best one there is slow.
SLOW_PACE = 1.5

#: How fast a pace fades towards the mean where no moments of change are known
#: (s): about as long as a slow spell lasts.
FADE_S = 0.12

#: Time over which the habit is averaged (s).
_HABIT_S = 20.0

#: Taken before anything was seen: a third of the time five times as slow.
_FIRST_SHARE = 0.3
_FIRST_SLOW = 4.0


class PaceStatistics:
    """How often instances are slow, and how slow they are then.

    Attributes:
      share: part of the time in slow spells.
      slow: the mean pace in those.
      period_s: the time between moments of change (s), as told last; 0 where
        no instance told any.
    """

    def __init__(self) -> None:
        self.slow_share = _FIRST_SHARE
        self.slow_pace = _FIRST_SLOW
        self.interval_s = 0.0

    @property
    def mean_pace(self) -> float:
        """The mean pace."""
        return 1 + self.slow_share * (self.slow_pace - 1)

    def observe(self, pace: float, for_s: float) -> None:
        """Takes that an instance had `pace` for a time (s)."""
        weight = min(0.5, for_s / _HABIT_S)
        is_slow = pace > SLOW_PACE
        self.slow_share += weight * (is_slow - self.slow_share)
        if is_slow:
            self.slow_pace += weight * (pace - self.slow_pace)

    def unknown_pace_run_s(self, work_s: float) -> float:
        """Returns how long work takes at an instance of unknown pace (s).

        In a slow spell it begins at once or waits for the next moment of
        change, half a period away in the mean, whichever is less.
        """
        if not self.interval_s:
            return work_s * self.mean_pace
        wait_s = self.interval_s / 2 + self.delayed_run_s(
            work_s, self.interval_s
        )
        slow_s = min(work_s * self.slow_pace, wait_s)
        return work_s + self.slow_share * (slow_s - work_s)

    def delayed_run_s(self, work_s: float, period_s: float) -> float:
        """Returns how long work takes from the next moment of change on (s).

        At that moment it begins if the pace is good, and else it begins all
        the same or waits for the moment after, whichever is less.
        """
        begin_s = work_s * self.mean_pace
        share = min(0.9, self.slow_share)
        wait_s = work_s + period_s * share / (1 - share)
        return min(begin_s, wait_s)


def begin_s(
    work_s: float, report: LoadReport, age_s: float, habit: PaceStatistics
) -> float:
    """Returns the time until work ends that is given to a target now (s).

    Args:
      work_s: the work, as run time at the usual pace (s).
      report: the last report of the target.
      age_s: its age (s).
      habit: of the instances.
    """
    base = max(0.01, report.base_pace)
    usual_s = work_s * base
    pace = report.pace / base
    if not report.pace_interval_ms:
        faded = math.exp(-age_s / FADE_S)
        return usual_s * (habit.mean_pace + (pace - habit.mean_pace) * faded)
    now_s = usual_s * pace
    if pace <= SLOW_PACE:
        return now_s
    later_s = habit.delayed_run_s(usual_s, report.pace_interval_ms / 1000)
    return min(now_s, spell_left_s(report, age_s) + later_s)


def spell_left_s(report: LoadReport, age_s: float) -> float:
    """Returns the time until the pace may change (s).

    A report is sent anew where the pace did change, so that silence past a
    moment of change means that it did not.
    """
    period_s = report.pace_interval_ms / 1000
    left_s = report.pace_interval_left_ms / 1000 - age_s
    return left_s if left_s > 0 else left_s % period_s
