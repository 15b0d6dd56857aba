"""Estimates the periodic grid on which the pace of an instance changes.

Instances that share processors under a CPU quota change pace at the scheduler's
interval, usually with a different phase on each machine. Where such a grid is
known, an observed pace is valid until the next change point, and one health
check after each change point replaces many.
"""

import collections
import itertools

import msgspec

#: Changes needed before a grid is accepted.
MIN_CHANGES = 5

#: Changes needed where other nodes of the service reported the interval.
MIN_CHANGES_IF_EXPECTED = 2

#: Changes kept. With a change at one change point in three they span about
#: 15 s, over which checks 10 ms apart determine the interval to 0.1 ms.
_MAX_CHANGES = 32

#: A change is located no better than the time between two checks (s). Changes
#: located less precisely than this are no evidence for a grid.
MAX_CHECK_GAP_S = 0.04

#: Range of intervals considered (s).
MIN_INTERVAL_S = 0.05
MAX_INTERVAL_S = 1.0

#: Distance of a change from the grid that is tolerated (s), in addition to its
#: uncertainty.
_TOLERANCE_S = 0.006

#: A grid can be distinguished from random changes only where the tolerance is
#: at most this fraction of the interval.
_MAX_TOLERANCE_FRACTION = 0.2

#: Times of the checks relative to each change point (s) once the grid is
#: verified. One check is enough: the server has settled on its new pace, and
#: the response takes 2 ms.
CHECK_OFFSETS_S = (0.003,)

#: The same until the grid is verified (s): checks on both sides locate the
#: change point.
VERIFYING_CHECK_OFFSETS_S = (-0.005, 0.003, 0.010)

#: Precisely located changes on the grid that verify it.
CHANGES_TO_VERIFY = 6

#: Schedulers usually have intervals that are multiples of this (s). A fitted
#: interval within the tolerance of a multiple is rounded to it.
SCHEDULER_STEP_S = 0.005
SCHEDULER_STEP_TOLERANCE_S = 0.0015

#: Lower bound of the uncertainty of a change (s).
_MIN_UNCERTAINTY_S = 0.001

#: Consecutive changes that were located only to the span between two change
#: points, after which the grid is discarded.
MAX_WIDE_CHANGES = 2

#: Uncertainty up to which a change counts as precisely located (s).
_PRECISE_S = 0.006

#: Distance from the grid, beyond the uncertainty, up to which a change counts
#: as on the grid (s).
_ON_GRID_TOLERANCE_S = 0.004

#: Changes off the grid among the latest ones, after which it is discarded.
_MAX_MISSES = 3
_MISS_WINDOW = 12

#: Divisors of the smallest gap that are tried as the interval.
_DIVISORS = (1, 2, 3)

#: Changes off the grid that a divisor of the interval would explain, after
#: which the interval is divided by it.
_CHANGES_TO_DIVIDE = 2


class _Change(msgspec.Struct, frozen=True):
    """A change of pace between two checks.

    Attributes:
      middle: midpoint between the checks (monotonic s).
      uncertainty_s: half of the time between the checks (s).
    """

    middle: float
    uncertainty_s: float


class ChangeGrid:
    """Predicts when the pace may change next, once the grid is known.

    Attributes:
      interval_s: time between change points (s); 0 while unknown.
      is_expected_refuted: whether the interval that other nodes reported did
        not hold here.
    """

    def __init__(self) -> None:
        self.interval_s = 0.0
        self.is_expected_refuted = False
        self._expected_s = 0.0
        self._origin = 0.0
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=_MAX_CHANGES
        )
        self._misses: collections.deque[bool] = collections.deque(
            maxlen=_MISS_WINDOW
        )
        self._explained_by_divisor: collections.Counter[int] = (
            collections.Counter()
        )
        # Precisely located changes on the grid still needed to verify it.
        self._unverified = 0
        # Consecutive changes located only to the span between change points.
        self._wide_changes = 0

    @property
    def expected_s(self) -> float:
        """The interval that other nodes reported (s); 0 if none."""
        return self._expected_s

    @property
    def check_offsets_s(self) -> tuple[float, ...]:
        """Times of the health checks relative to each change point (s)."""
        return (
            VERIFYING_CHECK_OFFSETS_S if self._unverified else CHECK_OFFSETS_S
        )

    def record_change(self, before: float, after: float) -> None:
        """Records a change of pace between two checks (monotonic s)."""
        if after - before > (self.interval_s / 2 or MAX_CHECK_GAP_S):
            self._record_wide_change(before, after)
            return
        self._wide_changes = 0
        change = _Change((before + after) / 2, (after - before) / 2)
        if self.interval_s:
            self._track(change)
            return
        self._changes.append(change)
        if self._expected_s and len(self._changes) >= MIN_CHANGES_IF_EXPECTED:
            self._try_expected()
        if not self.interval_s and len(self._changes) >= MIN_CHANGES:
            self._search()

    def expect_interval(self, interval_s: float) -> None:
        """Sets the interval that other nodes reported (s); 0 for none.

        Fewer changes are then needed to accept the grid. If it does not hold,
        it is discarded like any other, together with the reported interval.
        """
        self._expected_s = interval_s

    def until_next_s(self, now: float) -> float:
        """Returns the time until the next change point (s)."""
        return self.interval_s - (now - self._origin) % self.interval_s

    def last_change_point(self, now: float) -> float:
        """Returns the latest change point (monotonic s)."""
        return now - (now - self._origin) % self.interval_s

    def _search(self) -> None:
        """Tries the smallest gap between changes, divided by each divisor."""
        middles = [change.middle for change in self._changes]
        gaps = [b - a for a, b in itertools.pairwise(middles)]
        smallest = min(gaps)
        for divisor in _DIVISORS:
            interval_s = _refined(gaps, smallest / divisor)
            if not MIN_INTERVAL_S <= interval_s <= MAX_INTERVAL_S:
                continue
            if self._fits(gaps, interval_s):
                self._accept(interval_s)
                return

    def _try_expected(self) -> None:
        """Accepts the interval that other nodes reported if all changes fit."""
        middles = [change.middle for change in self._changes]
        gaps = [b - a for a, b in itertools.pairwise(middles)]
        if self._fits(gaps, self._expected_s):
            self._accept(self._expected_s)

    def _accept(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self._origin = self._changes[-1].middle
        self._fit()
        self._misses.clear()
        self._explained_by_divisor.clear()
        self._unverified = CHANGES_TO_VERIFY

    def _fits(self, gaps: list[float], interval_s: float) -> bool:
        """Returns whether all gaps are about multiples of `interval_s`."""
        tolerance_s = _TOLERANCE_S + 2 * max(
            c.uncertainty_s for c in self._changes
        )
        if tolerance_s > _MAX_TOLERANCE_FRACTION * interval_s:
            return False
        for gap in gaps:
            count = max(1, round(gap / interval_s))
            if abs(gap - count * interval_s) > tolerance_s:
                return False
        return True

    def _fit(self) -> None:
        """Fits the grid to all recorded changes, weighted by their precision.

        A multiple of the scheduler step that explains all changes is preferred
        to the least-squares fit, which over a few changes is off by up to a
        millisecond an interval.
        """
        rounded_s = round(self.interval_s / SCHEDULER_STEP_S) * SCHEDULER_STEP_S
        if abs(rounded_s - self.interval_s) <= SCHEDULER_STEP_TOLERANCE_S:
            origin = self._fitted_origin(rounded_s)
            if self._explains(rounded_s, origin):
                self.interval_s, self._origin = rounded_s, origin
                return
        self._fit_least_squares()

    def _fitted_origin(self, interval_s: float) -> float:
        """Returns the change point near the newest change that fits best."""
        newest = self._changes[-1].middle
        total, weights = 0.0, 0.0
        for change in self._changes:
            steps = round((change.middle - newest) / interval_s)
            weight = 1 / (change.uncertainty_s + _MIN_UNCERTAINTY_S) ** 2
            total += weight * (change.middle - newest - steps * interval_s)
            weights += weight
        return newest + total / weights

    def _explains(self, interval_s: float, origin: float) -> bool:
        """Returns whether every recorded change lies on the given grid."""
        for change in self._changes:
            steps = round((change.middle - origin) / interval_s)
            off_s = abs(change.middle - origin - steps * interval_s)
            if off_s > change.uncertainty_s + _ON_GRID_TOLERANCE_S:
                return False
        return True

    def _fit_least_squares(self) -> None:
        newest = self._changes[-1].middle
        count = round((newest - self._origin) / self.interval_s)
        base = self._origin + count * self.interval_s
        sums = [0.0] * 5
        for change in self._changes:
            step = round((change.middle - base) / self.interval_s)
            off_s = change.middle - base - step * self.interval_s
            weight = 1 / (change.uncertainty_s + _MIN_UNCERTAINTY_S) ** 2
            terms = (1.0, step, step * step, off_s, step * off_s)
            sums = [s + weight * t for s, t in zip(sums, terms, strict=True)]
        weights, steps, squares, offsets, products = sums
        determinant = weights * squares - steps * steps
        if determinant <= 0:
            self._origin = base + offsets / weights
            return
        slope = (weights * products - steps * offsets) / determinant
        self._origin = base + (offsets - slope * steps) / weights
        self.interval_s += slope

    def _track(self, change: _Change) -> None:
        """Adjusts the known grid to a change, or discards the grid."""
        count = round((change.middle - self._origin) / self.interval_s)
        off_s = abs(change.middle - self._origin - count * self.interval_s)
        is_miss = off_s > change.uncertainty_s + 2 * _TOLERANCE_S
        self._misses.append(is_miss)
        self._verify(off_s, change.uncertainty_s)
        if not is_miss:
            self._changes.append(change)
            self._fit()
            return
        if self._divide_interval(off_s, change.uncertainty_s):
            return
        if sum(self._misses) >= _MAX_MISSES:
            self._discard()

    def _record_wide_change(self, before: float, after: float) -> None:
        """Discards the grid if changes keep falling between change points."""
        if not self.interval_s:
            return
        since_s = (before - self._origin) % self.interval_s
        if since_s + (after - before) >= self.interval_s:
            return
        self._wide_changes += 1
        if self._wide_changes >= MAX_WIDE_CHANGES:
            self._discard()

    def _discard(self) -> None:
        """Discards a grid that does not hold, and the reported interval."""
        self.is_expected_refuted = (
            self.is_expected_refuted or self._expected_s > 0
        )
        self._expected_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Forgets the grid, which is then estimated again."""
        self.interval_s = 0.0
        self._changes.clear()
        self._wide_changes = 0

    def _verify(self, off_s: float, uncertainty_s: float) -> None:
        """Counts changes on the grid; one off it restarts the verification."""
        if off_s > uncertainty_s + _ON_GRID_TOLERANCE_S:
            self._unverified = CHANGES_TO_VERIFY
        elif (
            uncertainty_s <= _PRECISE_S
            and off_s <= _ON_GRID_TOLERANCE_S + uncertainty_s
        ):
            self._unverified = max(0, self._unverified - 1)

    def _divide_interval(self, off_s: float, uncertainty_s: float) -> bool:
        """Divides the interval where changes lie between its change points.

        The first changes recorded may all have been several change points
        apart.
        """
        for divisor in _DIVISORS[1:]:
            interval_s = self.interval_s / divisor
            rest_s = off_s % interval_s
            rest_s = min(rest_s, interval_s - rest_s)
            if interval_s < MIN_INTERVAL_S or uncertainty_s > interval_s / 4:
                return False
            if rest_s > uncertainty_s + _TOLERANCE_S:
                continue
            self._explained_by_divisor[divisor] += 1
            if self._explained_by_divisor[divisor] < _CHANGES_TO_DIVIDE:
                return False
            self.interval_s = interval_s
            self._misses.clear()
            self._explained_by_divisor.clear()
            return True
        return False


def _refined(gaps: list[float], interval_s: float) -> float:
    """Returns the interval near `interval_s` that divides all gaps best."""
    for gap in sorted(gaps):
        # Short gaps first: they determine how many intervals a longer one
        # spans.
        near = [g for g in gaps if g <= gap]
        counts = [max(1, round(g / interval_s)) for g in near]
        pairs = zip(near, counts, strict=True)
        interval_s = sum(g * n for g, n in pairs) / sum(n * n for n in counts)
    return interval_s
