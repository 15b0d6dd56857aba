"""Learns from run times how many concurrent requests suit a server best.

Some servers slow down when they are nearly full: with one more request, all of
them take so much longer that throughput falls. `ConcurrencyEstimator` compares
run times by the number of requests in progress when each run started, and finds
the number with the highest throughput. Where run times do not depend on that
number it leaves all slots in use.

It is for overload: there a node that fills every slot keeps its server beyond
that point (the knee) for as long as the overload lasts.
"""

import collections
import math

import msgspec

#: Half-life of what was observed (s): the behavior of a server changes over
#: seconds, and about 20 runs a second renew the observations.
HALF_LIFE_S = 6.0

#: Runs are compared with the mean of about this many preceding runs, so that
#: what slows all runs for a while, such as a cold start or a slow service that
#: they call, is not attributed to the number of requests in progress.
BASELINE_RUNS = 24

#: Runs on either side of a number that suffice for a comparison: with run times
#: that spread by a third, the difference of two such means has a standard error
#: of 0.13. Half of them suffice to keep a number found earlier.
MIN_RUNS = 14.0
MIN_RUNS_TO_KEEP = MIN_RUNS / 2

#: Runs at a number itself for it to be preferred, which is 2 s of probing one
#: request more. Otherwise numbers just below one that is too high are chosen.
MIN_RUNS_AT_NUMBER = 3.0

#: Weight of a prior from other nodes in runs, and the spread assumed for these;
#: run times in deployments spread by a third.
PRIOR_RUNS = 2 * MIN_RUNS
PRIOR_SPREAD = 0.33

#: Minimum factor by which runs beyond a number must take longer. Below it the
#: slots beyond are worth having: nine slots whose runs take a quarter longer
#: have the same throughput as seven.
MIN_SLOWDOWN = 1.25

#: Standard errors by which the difference must exceed zero; if run times were
#: normally distributed, one comparison in 160 would exceed it by chance.
MIN_STANDARD_ERRORS = 2.5

#: Minimum ratio of the throughput at the best number to that of all slots.
MIN_GAIN = 1.08

#: Fractions of the slots that are tried, in this order, if too few runs were
#: observed with so few in progress. The last one is also the lower bound of the
#: numbers that are chosen.
TRIAL_FRACTIONS = (0.75, 0.5)

#: Minimum interval between two requests beyond the best number (s). They detect
#: that a server has become better.
PROBE_INTERVAL_S = 0.7

#: Minimum interval between two comparisons (s).
_COMPARE_INTERVAL_S = 0.05

#: Bound of the ratio of a run time to the expected one, and of its inverse: a
#: single run on an instance that became five times slowdown unnoticed must not
#: outweigh ten others.
_MAX_RATIO = 4.0


class CompletedRun(msgspec.Struct, frozen=True):
    """One successful run.

    Attributes:
      concurrency_at_start: requests in progress when it started, including
        itself.
      expected_s: run time expected by the pace of the server at its start (s).
      duration_s: actual run time (s).
    """

    concurrency_at_start: int
    expected_s: float
    duration_s: float


class Knee(msgspec.Struct, frozen=True):
    """The point beyond which the servers of a service slow down.

    Attributes:
      slot_fraction: fraction of its slots with which a server has the highest
        throughput.
      slowdown: factor by which runs take longer beyond it.
    """

    slot_fraction: float
    slowdown: float


class _RunStatistics(msgspec.Struct):
    """Weighted sums of logarithms of the ratios of run times to a baseline."""

    weight: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, log_ratio: float) -> None:
        self.weight += 1
        self.total += log_ratio
        self.squares += log_ratio * log_ratio

    def decay(self, factor: float) -> None:
        self.weight *= factor
        self.total *= factor
        self.squares *= factor

    def merge(self, other: "_RunStatistics") -> None:
        self.weight += other.weight
        self.total += other.total
        self.squares += other.squares

    @property
    def mean(self) -> float:
        return self.total / self.weight

    @property
    def shrunk_mean(self) -> float:
        """The mean, shrunk towards zero while there are few runs."""
        return self.total / (self.weight + MIN_RUNS_TO_KEEP)

    @property
    def standard_error(self) -> float:
        """The standard error of the mean."""
        variance = self.squares / self.weight - self.mean**2
        return math.sqrt(max(0.01, variance) / self.weight)


class ConcurrencyEstimator:
    """Estimates the best number of concurrent requests of one server."""

    def __init__(self) -> None:
        # Statistics by the number of requests in progress when a run started.
        self._by_concurrency: collections.defaultdict[int, _RunStatistics] = (
            collections.defaultdict(_RunStatistics)
        )
        self._baseline: float | None = None
        # When the statistics last decayed (monotonic s); `None` before a run.
        self._last_compared_at: float | None = None
        self._last_probe_at = 0.0
        # The number of requests being tried; 0 for none.
        self._trial_number = 0
        self._best = 0
        self._slots = 0
        self._prior: Knee | None = None

    @property
    def knee(self) -> Knee | None:
        """The knee found; `None` if all slots are best or it is not known."""
        if not 0 < self._best < self._slots or self._trial_number:
            return None
        below, beyond = self._split_at(self._best)
        if min(below.weight, beyond.weight) < MIN_RUNS_TO_KEEP:
            return None
        slowdown = math.exp(beyond.mean - below.mean)
        return Knee(self._best / self._slots, slowdown)

    def describe(self) -> dict[str, float]:
        """Returns the statistics behind the best number, for the log."""
        below, beyond = self._split_at(self._best)
        slowdown = 1.0
        if below.weight and beyond.weight:
            slowdown = math.exp(beyond.mean - below.mean)
        return {
            "slower_beyond": round(slowdown, 2),
            "runs_up_to": round(below.weight, 1),
            "runs_beyond": round(beyond.weight, 1),
            "tried": self._trial_number,
        }

    @property
    def has_no_knee(self) -> bool:
        """Whether enough runs were observed to say that all slots are best."""
        if self._best < self._slots or self._slots < 2:
            return False
        below, beyond = self._split_at(
            math.ceil(self._slots * TRIAL_FRACTIONS[0])
        )
        return min(below.weight, beyond.weight) >= MIN_RUNS

    def set_prior(self, knee: Knee | None) -> None:
        """Sets a prior by what other nodes found of the same service.

        It weighs as much as the runs needed to accept it, and decays like the
        runs observed here.
        """
        self._prior = knee
        if not self._by_concurrency:
            self._apply_prior()

    def reset(self) -> None:
        """Discards all observations, for a new server."""
        self._by_concurrency.clear()
        self._baseline = None
        self._trial_number = 0
        self._best = self._slots
        self._apply_prior()

    def _apply_prior(self) -> None:
        """Adds the prior to the empty statistics."""
        knee = self._prior
        if knee is None or not self._slots:
            return
        number = round(knee.slot_fraction * self._slots)
        if not 2 <= number < self._slots:
            return
        self._by_concurrency[number] = _prior_statistics(PRIOR_RUNS, 0.0)
        beyond = range(number + 1, self._slots + 1)
        for concurrency in beyond:
            self._by_concurrency[concurrency] = _prior_statistics(
                PRIOR_RUNS / len(beyond), math.log(knee.slowdown)
            )
        self._best = number

    def record_run(self, run: CompletedRun, now: float) -> None:
        """Records a run that ended at `now` (monotonic s)."""
        if run.expected_s <= 0 or run.duration_s <= 0:
            return
        ratio = min(
            _MAX_RATIO, max(1 / _MAX_RATIO, run.duration_s / run.expected_s)
        )
        self._record_ratio(run.concurrency_at_start, math.log(ratio))
        if run.concurrency_at_start > self._best:
            self._last_probe_at = now
        last = now if self._last_compared_at is None else self._last_compared_at
        if now - last >= _COMPARE_INTERVAL_S or self._last_compared_at is None:
            self._decay(now - last)
            self._last_compared_at = now
            self._best = self._select_best()

    def best_concurrency(self, slots: int) -> int:
        """Returns how many of `slots` should be used."""
        if slots != self._slots:
            self._slots = slots
            self._best = slots
            if not self._by_concurrency:
                self._apply_prior()
        return self._best

    def is_probe_due(self, now: float) -> bool:
        """Returns whether to admit one request beyond the best number."""
        if not 0 < self._best < self._slots:
            return False
        return now - self._last_probe_at >= PROBE_INTERVAL_S

    def _record_ratio(self, number: int, log_ratio: float) -> None:
        """Records the logarithm of the ratio of a run time to the expected one.

        The baseline follows only the part that the number of requests in
        progress does not explain, so that a long time at one number does not
        cancel what was learned of it.
        """
        if self._baseline is None:
            self._baseline = log_ratio
        statistics = self._by_concurrency[number]
        deviation = log_ratio - self._baseline
        self._baseline += (deviation - statistics.shrunk_mean) / BASELINE_RUNS
        statistics.add(deviation)

    def _decay(self, elapsed_s: float) -> None:
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        for statistics in self._by_concurrency.values():
            statistics.decay(factor)

    def _select_best(self) -> int:
        """Returns the best number; all slots if it is not known."""
        slots = self._slots
        lowest = max(2, math.ceil(slots * TRIAL_FRACTIONS[-1]))
        if slots <= lowest:
            return slots
        gains = {n: self._gain(n) for n in range(lowest, slots)}
        better = [n for n, gain in gains.items() if gain > MIN_GAIN]
        observed = [
            n
            for n in better
            if self._by_concurrency[n].weight >= MIN_RUNS_AT_NUMBER
        ]
        if better:
            self._trial_number = 0
            return max(observed or better, key=lambda n: gains[n])
        return self._next_trial() or slots

    def _next_trial(self) -> int:
        """Returns a number to try as it has too few runs; 0 for none."""
        for fraction in TRIAL_FRACTIONS:
            number = math.ceil(self._slots * fraction)
            min_runs = (
                MIN_RUNS if number == self._trial_number else MIN_RUNS_TO_KEEP
            )
            if self._split_at(number)[0].weight < min_runs:
                self._trial_number = number
                return number
            if self._split_at(number)[1].weight < MIN_RUNS_TO_KEEP:
                break
        self._trial_number = 0
        return 0

    def _gain(self, number: int) -> float:
        """Returns the ratio of the throughput at `number` to that of all slots.

        It is 0 if there are too few runs or the difference is not significant.
        """
        below, beyond = self._split_at(number)
        min_runs = MIN_RUNS_TO_KEEP if number == self._best else MIN_RUNS
        if below.weight < MIN_RUNS_TO_KEEP or beyond.weight < min_runs:
            return 0.0
        log_slowdown = beyond.mean - below.mean
        if log_slowdown < math.log(MIN_SLOWDOWN):
            return 0.0
        if log_slowdown < MIN_STANDARD_ERRORS * math.hypot(
            below.standard_error, beyond.standard_error
        ):
            return 0.0
        return number / self._slots * math.exp(log_slowdown)

    def _split_at(self, number: int) -> tuple[_RunStatistics, _RunStatistics]:
        """Returns the statistics of runs up to `number` and of those beyond."""
        below, beyond = _RunStatistics(), _RunStatistics()
        for concurrency, statistics in self._by_concurrency.items():
            (below if concurrency <= number else beyond).merge(statistics)
        return below, beyond


def _prior_statistics(runs: float, log_ratio: float) -> _RunStatistics:
    """Returns the statistics of `runs` runs with the mean `log_ratio`."""
    square = log_ratio**2 + PRIOR_SPREAD**2
    return _RunStatistics(runs, runs * log_ratio, runs * square)
