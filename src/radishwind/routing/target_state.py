"""The state that a node keeps of the targets it uses, bounded in size."""

from collections.abc import Iterator
import math

import msgspec

from radishwind.routing.candidate_sampler import CandidateSampler
from radishwind.routing.chooser import LoadReport

#: Part of the response time that is added to the cost of a target with all
#: slots in use and an empty queue. It spreads requests, and limits how long the
#: own failure domain is preferred.
FULL_LOAD_FACTOR = 0.5

#: A target whose smoothed response time exceeds the typical one by the first
#: factor gets one attempt at a time until a response shows that it has
#: recovered. The cost of a second attempt is multiplied by the second factor.
SLOW_TARGET_FACTOR = 2.0
SLOW_TARGET_BUSY_FACTOR = 10.0

#: Lower bound of the warm fraction of a server in slow start.
MIN_WARM_FRACTION = 0.1

#: Time constant by which a load report loses weight against the mean of reports
#: (s). It is short, since load changes within milliseconds.
REPORT_DECAY_S = 0.03

#: Weight of a new report against the mean of the last second. With a higher
#: weight, all entry nodes would choose a target that was idle a moment ago.
LAST_REPORT_WEIGHT = 0.1

#: Time constant by which estimates return to those of a typical target (s).
RECOVERY_S = 2.0

#: Weight of one response in the smoothed response time.
RESPONSE_WEIGHT = 0.1

#: Weight of a response in typical time from a target considered slow, so that
#: it recovers after a few trials.
RECOVERY_WEIGHT = 0.5

#: The state of a target unused for this time is dropped (s).
TARGET_IDLE_TIMEOUT_S = 60.0

#: Targets remembered at most; the least recently used is dropped first.
MAX_TARGETS = 4096

#: Time constant of the mean of load reports (s).
_MEAN_DECAY_S = 1.0

#: Age at which the last report no longer counts beside the mean (s).
_REPORT_EXPIRY_S = 3 * REPORT_DECAY_S

#: States checked for expiry at each use. A use adds at most one, so that the
#: table can shrink.
_EVICTION_CHECKS = 2


class TargetState(msgspec.Struct, eq=False):
    """The state of one target.

    Attributes:
      sampler: the candidates that the target belongs to.
      sampler_version: version of the sampler that `network_s` was derived from.
      network_s: network round trip to the target (s); not part of response
        times.
      capacity: requests that the target runs at once; reduced in slow start.
      in_flight: attempts of this node in flight.
      start_times_sum_s: sum of their start times (s), for their mean age.
      response_s: smoothed response time (s) as of `response_updated`; 0 before
        the first response.
      response_updated: when `response_s` last changed (s).
      failures: consecutive failed attempts.
      other_requests: requests of other nodes at the target, by the last report.
      mean_other_requests: the same, smoothed over a second.
      reported_at: when the last report arrived (s).
      excluded_until: the target accepts no new requests before this time (s).
      used_at: when an attempt last started or ended (s).
    """

    sampler: CandidateSampler
    sampler_version: int
    network_s: float
    capacity: float
    in_flight: int = 0
    start_times_sum_s: float = 0.0
    response_s: float = 0.0
    response_updated: float = -math.inf
    failures: int = 0
    other_requests: float = 0.0
    mean_other_requests: float = 0.0
    reported_at: float = -math.inf
    excluded_until: float = -math.inf
    used_at: float = -math.inf

    def attempt_started(self, now: float) -> None:
        """Records the start of an attempt."""
        self.in_flight += 1
        self.start_times_sum_s += now
        self.used_at = now

    def attempt_ended(self, now: float, elapsed_s: float) -> None:
        """Records the end of an attempt that started `elapsed_s` ago."""
        self.in_flight -= 1
        self.start_times_sum_s -= now - elapsed_s
        self.used_at = now
        if not self.in_flight:
            # Clears rounding errors.
            self.start_times_sum_s = 0.0

    def expected_response_s(self, typical_s: float, now: float) -> float:
        """Returns the expected response time regardless of present load (s).

        Args:
          typical_s: typical response time of the service's targets (s).
          now: monotonic time (s).
        """
        if not self.response_s:
            return typical_s
        decay = math.exp((self.response_updated - now) / RECOVERY_S)
        return typical_s + (self.response_s - typical_s) * decay

    def record_response(
        self, sample_s: float, typical_s: float, now: float
    ) -> None:
        """Updates the smoothed response time with a sample (s)."""
        before = self.expected_response_s(typical_s, now) or sample_s
        slow_response_s = SLOW_TARGET_FACTOR * typical_s
        weight = RESPONSE_WEIGHT
        if sample_s < slow_response_s < before:
            weight = RECOVERY_WEIGHT
        self.response_s = before + weight * (sample_s - before)
        self.response_updated = now

    def record_report(self, load: LoadReport, now: float) -> None:
        """Records a load report; to be called after `attempt_ended`."""
        other_requests = max(0.0, load.in_flight + load.queued - self.in_flight)
        decay = math.exp((self.reported_at - now) / _MEAN_DECAY_S)
        self.mean_other_requests = (
            other_requests + (self.mean_other_requests - other_requests) * decay
        )
        self.other_requests = other_requests
        self.reported_at = now
        self.capacity = capacity(load)

    def is_trial_due(self, typical_s: float, now: float) -> bool:
        """Returns whether only a trial can show that the target recovered."""
        if self.in_flight or now < self.excluded_until:
            return False
        if now - self.used_at < RECOVERY_S:
            return False
        return self.response_s > SLOW_TARGET_FACTOR * typical_s

    def cost_s(
        self,
        typical_s: float,
        now: float,
        current_load: LoadReport | None = None,
    ) -> float:
        """Returns the expected response time of a further attempt (s).

        Args:
          typical_s: typical response time of the service's targets (s).
          now: monotonic time (s).
          current_load: the present load, if it is known.
        """
        # `expected_response_s` is inlined: this runs for each candidate of each
        # decision, and a call would cost more than its body.
        decay = math.exp((self.response_updated - now) / RECOVERY_S)
        response_s = typical_s
        if self.response_s:
            response_s += (self.response_s - typical_s) * decay
        in_flight = self.in_flight
        if in_flight:
            is_slow = response_s > SLOW_TARGET_FACTOR * typical_s
            age_s = now - self.start_times_sum_s / in_flight - self.network_s
            if age_s > response_s:
                response_s = age_s
            if is_slow:
                response_s *= SLOW_TARGET_BUSY_FACTOR
        if current_load is not None:
            utilization = (
                current_load.in_flight + current_load.queued + 1
            ) / capacity(current_load)
        else:
            # A full target may send reports without responses.
            decay = math.exp((self.reported_at - now) / RECOVERY_S)
            other_requests = self.mean_other_requests * decay
            age_s = now - self.reported_at
            if age_s < _REPORT_EXPIRY_S:
                weight = LAST_REPORT_WEIGHT * math.exp(-age_s / REPORT_DECAY_S)
                other_requests += (
                    self.other_requests - other_requests
                ) * weight
            utilization = (in_flight + other_requests + 1) / self.capacity
        load_factor = FULL_LOAD_FACTOR * utilization * utilization
        if utilization > 1:
            load_factor += utilization - 1
        return self.network_s + response_s * (1 + load_factor)


def capacity(load: LoadReport) -> float:
    """Returns the slots of a target, reduced while it is in slow start."""
    return max(1, load.slots) * min(
        1.0, max(MIN_WARM_FRACTION, load.warm_fraction)
    )


class TargetTable:
    """States of recently used targets, the least recently used first."""

    def __init__(self) -> None:
        self._states: dict[str, TargetState] = {}
        #: Returns the state of a target by name, or `None`.
        self.get = self._states.get

    def __len__(self) -> int:
        return len(self._states)

    def __iter__(self) -> Iterator[str]:
        return iter(self._states)

    def touch(self, name: str, state: TargetState, now: float) -> None:
        """Makes `state` the most recently used and evicts expired states."""
        self._states.pop(name, None)
        self._states[name] = state
        state.used_at = now
        for _ in range(_EVICTION_CHECKS):
            if not self._evict_oldest(now):
                return

    def _evict_oldest(self, now: float) -> bool:
        """Evicts the least recently used state if it has expired.

        Returns:
          Whether a further state should be checked.
        """
        name, state = next(iter(self._states.items()))
        if state.in_flight:
            # Its position reflects when an attempt started, not when it ended.
            del self._states[name]
            self._states[name] = state
            return True
        should_evict = (
            now - state.used_at > TARGET_IDLE_TIMEOUT_S
            or len(self._states) > MAX_TARGETS
        )
        if should_evict:
            del self._states[name]
        return should_evict
