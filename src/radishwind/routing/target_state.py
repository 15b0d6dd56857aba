"""What one node remembers of the targets it uses, bounded and forgotten."""

from collections.abc import Iterator
import math

import msgspec

from radishwind.routing.candidate_sampler import CandidateSampler
from radishwind.routing.chooser import LoadReport

#: Share of the answer time that a target with all slots taken adds before
#: anything queues. It spreads work, and bounds how long the own failure
#: domain is preferred.
SPREAD = 0.5

#: A target smoothed above so many times the typical answer time gets one
#: attempt at a time until an answer shows that it has recovered; a second one
#: counts as so many times as long.
TRIAL_FACTOR = 2.0
TRIAL_BUSY_FACTOR = 10.0

#: The least a cold server counts for.
MIN_WARM = 0.1

#: How fast a load report loses weight against its long-run mean (s). Load
#: swings within milliseconds, so it is short.
REPORT_FADE_S = 0.03

#: Weight of the last report against the mean of the last second, when it is
#: new. A target that was idle a moment ago would draw every entry node at once.
REPORT_WEIGHT = 0.1

#: How fast what was learned fades towards "as any other" without news (s).
RECOVERY_S = 2.0

#: Weight of one answer in the smoothed answer time.
ANSWER_WEIGHT = 0.1

#: Weight of an answer in the usual time from a target smoothed as slow: a few
#: trials bring it back.
TRIAL_WEIGHT = 0.5

#: A target is forgotten once unused for so long (s).
FORGET_S = 60.0

#: Targets remembered at most; the longest unused goes first.
MAX_TARGETS = 4096

#: How fast a load report loses weight in the mean of reports (s).
_MEAN_FADE_S = 1.0

#: When the last report counts for nothing beside the mean (s).
_REPORT_END_S = 3 * REPORT_FADE_S

#: States looked at with each use, to forget those long unused. A use adds one
#: at most, so that the table shrinks.
_SWEEP_STEPS = 2


class TargetState(msgspec.Struct, eq=False):
    """One target as this node sees it.

    Attributes:
      service: the candidates it is one of.
      derived: the version of those that `hop_s` was derived from.
      hop_s: network time to the target and back (s), not part of answer times.
      capacity: requests it runs at once; fewer for a cold server.
      in_flight: own attempts without an answer yet.
      starts_s: sum of the start times of those (s), for their mean age.
      answer_s: smoothed answer time (s) as of `answered`; 0 before the first.
      answered: when `answer_s` last changed (s).
      failures: failed attempts in a row.
      others: requests of others there, by the last report.
      others_mean: the same, smoothed over a second.
      reported: when the last report came (s).
      away_until: it takes no new work before this time (s).
      used: when an attempt last began or ended (s).
    """

    service: CandidateSampler
    derived: int
    hop_s: float
    capacity: float
    in_flight: int = 0
    starts_s: float = 0.0
    answer_s: float = 0.0
    answered: float = -math.inf
    failures: int = 0
    others: float = 0.0
    others_mean: float = 0.0
    reported: float = -math.inf
    away_until: float = -math.inf
    used: float = -math.inf

    def begin(self, now: float) -> None:
        """Notes that an attempt began."""
        self.in_flight += 1
        self.starts_s += now
        self.used = now

    def end(self, now: float, elapsed_s: float) -> None:
        """Notes that an attempt ended that began `elapsed_s` ago."""
        self.in_flight -= 1
        self.starts_s -= now - elapsed_s
        self.used = now
        if not self.in_flight:
            # Drops what rounding left over.
            self.starts_s = 0.0

    def answer_now_s(self, typical_s: float, now: float) -> float:
        """Returns the answer time to expect (s), before this moment's load.

        Args:
          typical_s: the answer time of the service's targets (s).
          now: monotonic time (s).
        """
        if not self.answer_s:
            return typical_s
        fade = math.exp((self.answered - now) / RECOVERY_S)
        return typical_s + (self.answer_s - typical_s) * fade

    def learn(self, sample_s: float, typical_s: float, now: float) -> None:
        """Takes one answer time (s) into the smoothed one."""
        before = self.answer_now_s(typical_s, now) or sample_s
        slow_s = TRIAL_FACTOR * typical_s
        weight = ANSWER_WEIGHT
        if sample_s < slow_s < before:
            weight = TRIAL_WEIGHT
        self.answer_s = before + weight * (sample_s - before)
        self.answered = now

    def report(self, load: LoadReport, now: float) -> None:
        """Takes a load report; call it after `end`."""
        others = max(0.0, load.in_flight + load.queued - self.in_flight)
        kept = math.exp((self.reported - now) / _MEAN_FADE_S)
        self.others_mean = others + (self.others_mean - others) * kept
        self.others = others
        self.reported = now
        self.capacity = capacity(load)

    def trial_due(self, typical_s: float, now: float) -> bool:
        """Returns whether only a trial can tell that the target recovered."""
        if self.in_flight or now < self.away_until:
            return False
        if now - self.used < RECOVERY_S:
            return False
        return self.answer_s > TRIAL_FACTOR * typical_s

    def cost_s(
        self, typical_s: float, now: float, exact: LoadReport | None = None
    ) -> float:
        """Returns the answer time to expect of one more attempt (s).

        Args:
          typical_s: the answer time of the service's targets (s).
          now: monotonic time (s).
          exact: the load as of now, where it is known.
        """
        # Written out, `answer_now_s` too: each candidate of each decision
        # comes here, and a call costs more than what it does.
        fade = math.exp((self.answered - now) / RECOVERY_S)
        answer_s = typical_s
        if self.answer_s:
            answer_s += (self.answer_s - typical_s) * fade
        in_flight = self.in_flight
        if in_flight:
            on_trial = answer_s > TRIAL_FACTOR * typical_s
            age_s = now - self.starts_s / in_flight - self.hop_s
            if age_s > answer_s:
                answer_s = age_s
            if on_trial:
                answer_s *= TRIAL_BUSY_FACTOR
        if exact is not None:
            share = (exact.in_flight + exact.queued + 1) / capacity(exact)
        else:
            # A full target may send reports and no answer.
            fade = math.exp((self.reported - now) / RECOVERY_S)
            others = self.others_mean * fade
            age_s = now - self.reported
            if age_s < _REPORT_END_S:
                weight = REPORT_WEIGHT * math.exp(-age_s / REPORT_FADE_S)
                others += (self.others - others) * weight
            share = (in_flight + others + 1) / self.capacity
        added = SPREAD * share * share
        if share > 1:
            added += share - 1
        return self.hop_s + answer_s * (1 + added)


def capacity(load: LoadReport) -> float:
    """Returns the slots that a target offers; a cold server's are fewer."""
    return max(1, load.slots) * min(1.0, max(MIN_WARM, load.warm_fraction))


class TargetTable:
    """The states of the targets used recently, the longest unused first."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        #: Returns the state of a target by its name, or `None`.
        self.get = self._states.get

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[str]:
        return iter(self._states)

    def use(self, name: str, state: TargetState, now: float) -> None:
        """Keeps `state` as the most recently used and sweeps a little."""
        self._states.pop(name, None)
        self._states[name] = state
        state.used = now
        for _ in range(_SWEEP_STEPS):
            if not self._sweep_oldest(now):
                return

    def _sweep_oldest(self, now: float) -> bool:
        """Forgets the longest unused target if it is due."""
        name, state = next(iter(self._states.items()))
        if state.in_flight:
            # Its place in the order tells when an attempt began, not ended.
            del self._states[name]
            self._states[name] = state
            return True
        due = now - state.used > FORGET_S or len(self._states) > MAX_TARGETS
        if due:
            del self._states[name]
        return due
