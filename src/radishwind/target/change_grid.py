"""Learns whether the pace of an instance changes at regular moments.

Instances that share their processors by quota change pace on a grid: the
scheduler's period, as a rule with its own phase on each machine. Where that is
so, a pace once seen holds until the next moment of the grid, and one check
after each moment replaces many.
"""

import collections
import itertools

import msgspec

#: Changes seen before a grid is believed.
LEAST_CHANGES = 5

#: The same where others of the service told the period.
LEAST_EXPECTED_CHANGES = 2

#: Changes kept: at one in three moments they reach back some 15 s, over which
#: looks of 10 ms fix the period to 0.1 ms.
_MOST_CHANGES = 32

#: A change is located no better than the time between two looks (s); coarser
#: ones tell nothing of a grid.
COARSEST_S = 0.04

#: Periods looked for (s).
SHORTEST_S = 0.05
LONGEST_S = 1.0

#: How far a change may lie off the grid, beyond the time between looks (s).
_SLACK_S = 0.006

#: A grid is told from chance only where the slack is at most this part of it.
_MOST_SLACK = 0.2

#: After a moment of change one look is enough (s) once the grid is verified:
#: the server has settled on its new pace, and the answer takes 2 ms.
LOOKS_S = (0.003,)

#: Until then looks on both sides of it show where it is (s).
VERIFYING_LOOKS_S = (-0.005, 0.003, 0.010)

#: So many changes have to be seen closely and on the grid.
VERIFIED_CHANGES = 6

#: Schedulers have periods of whole multiples of this (s), as a rule; one that
#: is fitted so near to a multiple is taken for it (s).
WHOLE_S = 0.005
WHOLE_SLACK_S = 0.0015

#: No change is located better than this (s).
_LEAST_HALF_S = 0.001

#: Changes in a row between two moments, of which no look shows where, after
#: which the grid is given up.
MOST_WIDE = 2

#: Seen closely: half of the time between the looks (s).
_CLOSE_S = 0.006

#: On the grid: off it by less than this beyond that (s).
_EXACT_S = 0.004

#: Changes off the grid, of the last ones, after which it is given up.
_MOST_MISSES = 3
_MISSES_OF = 12

#: Parts of the smallest gap that are tried as the period.
_DIVISORS = (1, 2, 3)

#: Changes off the grid that a part of the period would explain, after which
#: that part is taken.
_ENOUGH_FOR_PART = 2


class _Change(msgspec.Struct, frozen=True):
    """A change of pace between two looks.

    Attributes:
      middle: of the time between the looks (monotonic s).
      half_s: half of that time (s).
    """

    middle: float
    half_s: float


class ChangeGrid:
    """Tells when the pace may change next, once it knows.

    Attributes:
      interval_s: time between moments of change (s); 0 while not known.
      is_expected_refuted: whether the interval that other nodes found did not
        hold here.
    """

    def __init__(self) -> None:
        self.interval_s = 0.0
        self.is_expected_refuted = False
        self._expected_s = 0.0
        self._origin = 0.0
        self._changes: collections.deque[_Change] = collections.deque(
            maxlen=_MOST_CHANGES
        )
        self._misses: collections.deque[bool] = collections.deque(
            maxlen=_MISSES_OF
        )
        self._parts: collections.Counter[int] = collections.Counter()
        # Changes that are still to be seen closely and on the grid.
        self._unverified = 0
        # Changes in a row seen widely, and between two moments.
        self._wide = 0

    @property
    def expected_s(self) -> float:
        """The period that others found (s); 0 where they told none."""
        return self._expected_s

    @property
    def check_offsets_s(self) -> tuple[float, ...]:
        """When to look, from each moment of change on (s)."""
        return VERIFYING_LOOKS_S if self._unverified else LOOKS_S

    def record_change(self, before: float, after: float) -> None:
        """Takes that the pace changed between two looks (monotonic s)."""
        if after - before > (self.interval_s / 2 or COARSEST_S):
            self._take_wide(before, after)
            return
        self._wide = 0
        change = _Change((before + after) / 2, (after - before) / 2)
        if self.interval_s:
            self._follow(change)
            return
        self._changes.append(change)
        if self._expected_s and len(self._changes) >= LEAST_EXPECTED_CHANGES:
            self._learn_expected()
        if not self.interval_s and len(self._changes) >= LEAST_CHANGES:
            self._learn()

    def expect_interval(self, period_s: float) -> None:
        """Takes the period that others found; 0 where they found none.

        Fewer changes then show the grid; one that doesn't hold is given up
        like any other, and the word of others with it.
        """
        self._expected_s = period_s

    def until_next_s(self, now: float) -> float:
        """Returns the time until the next moment of change (s)."""
        return self.interval_s - (now - self._origin) % self.interval_s

    def last_change_point(self, now: float) -> float:
        """Returns the last moment of change (monotonic s)."""
        return now - (now - self._origin) % self.interval_s

    def _learn(self) -> None:
        middles = [change.middle for change in self._changes]
        gaps = [b - a for a, b in itertools.pairwise(middles)]
        smallest = min(gaps)
        for divisor in _DIVISORS:
            period_s = _refined(gaps, smallest / divisor)
            if not SHORTEST_S <= period_s <= LONGEST_S:
                continue
            if self._fits(gaps, period_s):
                self._believe(period_s)
                return

    def _learn_expected(self) -> None:
        """Believes the period that others found, if all changes fit."""
        middles = [change.middle for change in self._changes]
        gaps = [b - a for a, b in itertools.pairwise(middles)]
        if self._fits(gaps, self._expected_s):
            self._believe(self._expected_s)

    def _believe(self, period_s: float) -> None:
        self.interval_s = period_s
        self._origin = self._changes[-1].middle
        self._fit()
        self._misses.clear()
        self._parts.clear()
        self._unverified = VERIFIED_CHANGES

    def _fits(self, gaps: list[float], period_s: float) -> bool:
        """Returns whether all gaps are multiples of about `period_s`."""
        slack_s = _SLACK_S + 2 * max(c.half_s for c in self._changes)
        if slack_s > _MOST_SLACK * period_s:
            return False
        for gap in gaps:
            count = max(1, round(gap / period_s))
            if abs(gap - count * period_s) > slack_s:
                return False
        return True

    def _fit(self) -> None:
        """Sets the grid by all changes kept, those seen closely above all.

        A whole period that explains them goes before the free fit: over a few
        changes the latter errs by up to a millisecond a period.
        """
        whole_s = round(self.interval_s / WHOLE_S) * WHOLE_S
        if abs(whole_s - self.interval_s) <= WHOLE_SLACK_S:
            origin = self._origin_at(whole_s)
            if self._explains(whole_s, origin):
                self.interval_s, self._origin = whole_s, origin
                return
        self._fit_freely()

    def _origin_at(self, period_s: float) -> float:
        """Returns the moment near the newest change that fits `period_s`."""
        newest = self._changes[-1].middle
        total, weights = 0.0, 0.0
        for change in self._changes:
            steps = round((change.middle - newest) / period_s)
            weight = 1 / (change.half_s + _LEAST_HALF_S) ** 2
            total += weight * (change.middle - newest - steps * period_s)
            weights += weight
        return newest + total / weights

    def _explains(self, period_s: float, origin: float) -> bool:
        """Returns whether every change kept lies on that grid."""
        for change in self._changes:
            steps = round((change.middle - origin) / period_s)
            off_s = abs(change.middle - origin - steps * period_s)
            if off_s > change.half_s + _EXACT_S:
                return False
        return True

    def _fit_freely(self) -> None:
        newest = self._changes[-1].middle
        count = round((newest - self._origin) / self.interval_s)
        base = self._origin + count * self.interval_s
        sums = [0.0] * 5
        for change in self._changes:
            step = round((change.middle - base) / self.interval_s)
            off_s = change.middle - base - step * self.interval_s
            weight = 1 / (change.half_s + _LEAST_HALF_S) ** 2
            terms = (1.0, step, step * step, off_s, step * off_s)
            sums = [s + weight * t for s, t in zip(sums, terms, strict=True)]
        all_, steps, squares, offs, products = sums
        spread = all_ * squares - steps * steps
        if spread <= 0:
            self._origin = base + offs / all_
            return
        slope = (all_ * products - steps * offs) / spread
        self._origin = base + (offs - slope * steps) / all_
        self.interval_s += slope

    def _follow(self, change: _Change) -> None:
        """Sets the grid right by a change, or gives it up."""
        count = round((change.middle - self._origin) / self.interval_s)
        off_s = abs(change.middle - self._origin - count * self.interval_s)
        miss = off_s > change.half_s + 2 * _SLACK_S
        self._misses.append(miss)
        self._verify(off_s, change.half_s)
        if not miss:
            self._changes.append(change)
            self._fit()
            return
        if self._divide(off_s, change.half_s):
            return
        if sum(self._misses) >= _MOST_MISSES:
            self._give_up()

    def _take_wide(self, before: float, after: float) -> None:
        """Gives the grid up where changes keep falling between its moments."""
        if not self.interval_s:
            return
        since_s = (before - self._origin) % self.interval_s
        if since_s + (after - before) >= self.interval_s:
            return
        self._wide += 1
        if self._wide >= MOST_WIDE:
            self._give_up()

    def _give_up(self) -> None:
        """Forgets a grid that does not hold, and the word of others on it."""
        self.is_expected_refuted = (
            self.is_expected_refuted or self._expected_s > 0
        )
        self._expected_s = 0.0
        self.reset()

    def reset(self) -> None:
        """Forgets the grid; it is to be learned anew."""
        self.interval_s = 0.0
        self._changes.clear()
        self._wide = 0

    def _verify(self, off_s: float, half_s: float) -> None:
        """Counts changes seen on the grid; one off it starts anew."""
        if off_s > half_s + _EXACT_S:
            self._unverified = VERIFIED_CHANGES
        elif half_s <= _CLOSE_S and off_s <= _EXACT_S + half_s:
            self._unverified = max(0, self._unverified - 1)

    def _divide(self, off_s: float, half_s: float) -> bool:
        """Takes a part of the period where changes lie between its moments.

        The first changes seen may all have been several moments apart.
        """
        for parts in _DIVISORS[1:]:
            period_s = self.interval_s / parts
            rest_s = off_s % period_s
            rest_s = min(rest_s, period_s - rest_s)
            if period_s < SHORTEST_S or half_s > period_s / 4:
                return False
            if rest_s > half_s + _SLACK_S:
                continue
            self._parts[parts] += 1
            if self._parts[parts] < _ENOUGH_FOR_PART:
                return False
            self.interval_s = period_s
            self._misses.clear()
            self._parts.clear()
            return True
        return False


def _refined(gaps: list[float], period_s: float) -> float:
    """Returns the period near `period_s` of which all gaps are multiples."""
    for gap in sorted(gaps):
        # The short gaps first: they say how many periods a longer one has.
        near = [g for g in gaps if g <= gap]
        counts = [max(1, round(g / period_s)) for g in near]
        pairs = zip(near, counts, strict=True)
        period_s = sum(g * n for g, n in pairs) / sum(n * n for n in counts)
    return period_s
