"""How many requests at once a server runs best, learned from its run times.

Some servers slow down when they are nearly full: with one request more, all
take so much longer that fewer end in a second. `ConcurrencyEstimator` compares
run times by the number in progress when each began, and finds the number at
which most end in a second. Where run times don't depend on that number it
leaves every slot in use.

It answers a load beyond what the server carries, where a node that fills every
slot keeps its server beyond that point for as long as the load lasts.
"""

import collections
import math

import msgspec

#: Evidence halves in this time (s): a server's habits change over seconds,
#: and some twenty runs a second renew it.
HALF_LIFE_S = 6.0

#: Runs are compared with the mean of about so many before them, so that what
#: makes all runs slower for a while, such as a cold start or a service that is
#: called, is not taken for the number in progress.
LEVEL_RUNS = 24

#: Runs on either side of a number that are enough to compare: with run times
#: spread by a third, the difference of two such means is off by 0.13. To keep
#: what was found half of it will do.
ENOUGH = 14.0
KEEP = ENOUGH / 2

#: Runs at a number itself, two seconds of letting one more in, that make it one
#: to be preferred: otherwise the choice falls on one just below a number that
#: is too much.
OWN = 3.0

#: Runs that the word of others counts for, and the spread that is taken for
#: them; run times of the deployments spread by a third.
EXPECTED = 2 * ENOUGH
EXPECTED_SPREAD = 0.33

#: The least part by which runs beyond a number must take longer: below it the
#: slots beyond are worth having (nine slots a quarter slower end as many in a
#: second as seven).
LEAST_SLOWDOWN = 1.25

#: Standard errors by which the difference must exceed zero: by chance one
#: comparison in 160 does, were run times normal.
SURE = 2.5

#: The best number must end so many times what all slots end in a second.
LEAST_GAIN = 1.08

#: Parts of the slots that are tried, in this order, where too few runs were
#: seen with so few in progress. No fewer than the last is ever left in use.
TRIED_PARTS = (0.75, 0.5)

#: One request beyond the number is let in at least so far apart (s), so that
#: a server that became better is found out.
PROBE_S = 0.7

#: The comparison is made anew so often at the most (s).
_COMPARE_S = 0.05

#: A run counts for at most so many times or parts of the usual run time: one
#: whose instance became five times slower unseen is not to outweigh ten others.
_CLIP = 4.0


class CompletedRun(msgspec.Struct, frozen=True):
    """One run that went well.

    Attributes:
      begun_with: requests in progress when it began, with itself.
      usual_s: what such a run takes, by the pace at its beginning (s).
      took_s: what it took (s).
    """

    concurrency_at_start: int
    expected_s: float
    duration_s: float


class Knee(msgspec.Struct, frozen=True):
    """What was found of the servers of a service.

    Attributes:
      part: of its slots that a server has best in use.
      slower: how many times as long runs take beyond it.
    """

    slot_fraction: float
    slowdown: float


class _Evidence(msgspec.Struct):
    """Weighted sums of the logarithms of run times against usual ones."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, log_ratio: float) -> None:
        self.weight += 1
        self.total += log_ratio
        self.squares += log_ratio * log_ratio

    def fade(self, kept: float) -> None:
        self.weight *= kept
        self.total *= kept
        self.squares *= kept

    def join(self, other: "_Evidence") -> None:
        self.weight += other.weight
        self.total += other.total
        self.squares += other.squares

    @property
    def mean(self) -> float:
        return self.total / self.weight

    @property
    def expected(self) -> float:
        """The mean, drawn towards zero while little is known."""
        return self.total / (self.weight + KEEP)

    @property
    def error(self) -> float:
        """The standard error of the mean."""
        variance = self.squares / self.weight - self.mean**2
        return math.sqrt(max(0.01, variance) / self.weight)


class ConcurrencyEstimator:
    """Learns one server's best number of requests in progress."""

    def __init__(self) -> None:
        self._by_number: collections.defaultdict[int, _Evidence] = (
            collections.defaultdict(_Evidence)
        )
        self._level: float | None = None
        # When the evidence last faded (monotonic s); `None` before a run.
        self._compared_at: float | None = None
        self._probed = 0.0
        self._tried = 0
        self._best = 0
        self._slots = 0
        self._expected: Knee | None = None

    @property
    def knee(self) -> Knee | None:
        """What was found; `None` where every slot is best, or nothing known."""
        if not 0 < self._best < self._slots or self._tried:
            return None
        below, beyond = self._split(self._best)
        if min(below.weight, beyond.weight) < KEEP:
            return None
        slower = math.exp(beyond.mean - below.mean)
        return Knee(self._best / self._slots, slower)

    def describe(self) -> dict[str, float]:
        """Returns what the number in use was decided by, for the log."""
        below, beyond = self._split(self._best)
        slower = 1.0
        if below.weight and beyond.weight:
            slower = math.exp(beyond.mean - below.mean)
        return {
            "slower_beyond": round(slower, 2),
            "runs_up_to": round(below.weight, 1),
            "runs_beyond": round(beyond.weight, 1),
            "tried": self._tried,
        }

    @property
    def has_no_knee(self) -> bool:
        """Whether enough was seen to say that every slot is best."""
        if self._best < self._slots or self._slots < 2:
            return False
        below, beyond = self._split(math.ceil(self._slots * TRIED_PARTS[0]))
        return min(below.weight, beyond.weight) >= ENOUGH

    def set_prior(self, knee: Knee | None) -> None:
        """Takes what others found of servers of the same service.

        It counts for as much as it takes to be believed, and fades like what
        is seen here.
        """
        self._expected = knee
        if not self._by_number:
            self._begin()

    def reset(self) -> None:
        """Begins anew, with a server of which nothing was seen."""
        self._by_number.clear()
        self._level = None
        self._tried = 0
        self._best = self._slots
        self._begin()

    def _begin(self) -> None:
        """Begins with what is expected."""
        knee = self._expected
        if knee is None or not self._slots:
            return
        number = round(knee.slot_fraction * self._slots)
        if not 2 <= number < self._slots:
            return
        self._by_number[number] = _expected(EXPECTED, 0.0)
        beyond = range(number + 1, self._slots + 1)
        for at in beyond:
            self._by_number[at] = _expected(
                EXPECTED / len(beyond), math.log(knee.slowdown)
            )
        self._best = number

    def record_run(self, run: CompletedRun, now: float) -> None:
        """Takes one run (at monotonic time `now`, s)."""
        if run.expected_s <= 0 or run.duration_s <= 0:
            return
        ratio = min(_CLIP, max(1 / _CLIP, run.duration_s / run.expected_s))
        self._learn(run.concurrency_at_start, math.log(ratio))
        if run.concurrency_at_start > self._best:
            self._probed = now
        before = now if self._compared_at is None else self._compared_at
        if now - before >= _COMPARE_S or self._compared_at is None:
            self._fade(now - before)
            self._compared_at = now
            self._best = self._find_best()

    def best_concurrency(self, slots: int) -> int:
        """Returns how many of `slots` are to be in use."""
        if slots != self._slots:
            self._slots = slots
            self._best = slots
            if not self._by_number:
                self._begin()
        return self._best

    def is_probe_due(self, now: float) -> bool:
        """Returns whether one more than the best number may be let in."""
        if not 0 < self._best < self._slots:
            return False
        return now - self._probed >= PROBE_S

    def _learn(self, number: int, log_ratio: float) -> None:
        """Takes the logarithm of a run time against the usual one.

        What the number explains doesn't move the level, so that a long time at
        one number takes nothing from what is known of it.
        """
        if self._level is None:
            self._level = log_ratio
        evidence = self._by_number[number]
        against = log_ratio - self._level
        self._level += (against - evidence.expected) / LEVEL_RUNS
        evidence.add(against)

    def _fade(self, for_s: float) -> None:
        kept = 0.5 ** (for_s / HALF_LIFE_S)
        for evidence in self._by_number.values():
            evidence.fade(kept)

    def _find_best(self) -> int:
        """Returns the number that ends most; as many as allowed if unsure."""
        slots = self._slots
        least = max(2, math.ceil(slots * TRIED_PARTS[-1]))
        if slots <= least:
            return slots
        gains = {n: self._gain(n) for n in range(least, slots)}
        good = [n for n, gain in gains.items() if gain > LEAST_GAIN]
        seen = [n for n in good if self._by_number[n].weight >= OWN]
        if good:
            self._tried = 0
            return max(seen or good, key=lambda n: gains[n])
        return self._trial() or slots

    def _trial(self) -> int:
        """Returns a number to try, of which too little is known; 0 if none."""
        for part in TRIED_PARTS:
            number = math.ceil(self._slots * part)
            enough = ENOUGH if number == self._tried else KEEP
            if self._split(number)[0].weight < enough:
                self._tried = number
                return number
            if self._split(number)[1].weight < KEEP:
                break
        self._tried = 0
        return 0

    def _gain(self, number: int) -> float:
        """Returns what `number` ends in a second against all slots, if sure."""
        below, beyond = self._split(number)
        enough = KEEP if number == self._best else ENOUGH
        if below.weight < KEEP or beyond.weight < enough:
            return 0.0
        slower = beyond.mean - below.mean
        if slower < math.log(LEAST_SLOWDOWN):
            return 0.0
        if slower < SURE * math.hypot(below.error, beyond.error):
            return 0.0
        return number / self._slots * math.exp(slower)

    def _split(self, number: int) -> tuple[_Evidence, _Evidence]:
        """Returns the evidence up to `number`, and that beyond it."""
        below, beyond = _Evidence(), _Evidence()
        for at, evidence in self._by_number.items():
            (below if at <= number else beyond).join(evidence)
        return below, beyond


def _expected(runs: float, log_ratio: float) -> _Evidence:
    """Returns what so many runs of that mean would have shown."""
    square = log_ratio**2 + EXPECTED_SPREAD**2
    return _Evidence(runs, runs * log_ratio, runs * square)
