"""The default policy: lowest expected response time among a few candidates.

The expected response time of a candidate is the sum of the network round trip,
its smoothed response time, and a part that grows with its load. The load
consists of the attempts of this node in flight, which are known exactly, and
those of other nodes by the last report, which loses weight with age. See
`docs/design/03-routing.md` for the alternatives considered and measurements.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random

from radishwind.config.index import ConfigIndex
from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.candidate_sampler import CandidateSampler
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.target_state import FULL_LOAD_FACTOR
from radishwind.routing.target_state import TargetState
from radishwind.routing.target_state import TargetTable

#: Overhead of forwarding a request to the process of another node (s).
FORWARDING_S = 0.0005

#: A failure counts as a response that took this multiple of the typical time,
#: doubled with each further consecutive failure.
FAILURE_FACTOR = 4.0
MAX_DOUBLINGS = 6

#: Fraction of decisions that may choose a nearby target without recent
#: responses whatever its expected response time. It limits the effect of such
#: trials on tail latency.
TRIAL_FRACTION = 0.01

#: Time for which a target that refuses requests is excluded (s), by result
#: code. By then, the membership has removed a target that is leaving.
EXCLUSION_S = {
    ResultCode.LEAVING: 5.0,
    ResultCode.NO_TARGET: 1.0,
    ResultCode.CONNECT_FAILED: 1.0,
    ResultCode.SERVER_UNANNOUNCED: 1.0,
    ResultCode.TARGET_UNLISTED: 1.0,
}

#: Services whose candidates are kept at most; the first one added is dropped.
MAX_SERVICES = 256

#: Typical response time assumed before the first response (s).
_INITIAL_RESPONSE_S = 0.005

#: Load factor assumed for a target without a state: that of a half-loaded one,
#: so that it is tried like any other.
_UNKNOWN_LOAD_FACTOR = FULL_LOAD_FACTOR / 4

#: Weight of one response in the typical response time of a service.
_TYPICAL_WEIGHT = 0.02

#: Response times are clipped to this multiple of the typical one before they
#: are averaged, so that a straggler doesn't shift it.
_TYPICAL_CLIP_FACTOR = 4.0

#: Statuses by which a server or a proxy in front of it reports a failure.
_FAILURE_STATUSES = frozenset({500, 502, 503, 504})

#: Refusals caused by the request or its deadline and not by the target.
_REQUEST_REFUSALS = frozenset(
    {ResultCode.DEADLINE_PASSED, ResultCode.QUARANTINED}
)


class BalancedChooser(TargetChooser):
    """Chooses the lowest expected response time among a few candidates."""

    def __init__(
        self,
        rng: random.Random,
        *,
        node_name: str,
        failure_domain: str,
        index: Callable[[], ConfigIndex],
        own_load: Callable[[], LoadReport] | None = None,
    ) -> None:
        """Creates a chooser without any state.

        Args:
          rng: random generator for sampling candidates.
          node_name: name of this node's own target.
          failure_domain: failure domain of this node.
          index: returns the configuration in force.
          own_load: returns the present load of the own target.
        """
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._index = index
        self._own_load = own_load
        self._states = TargetTable()
        self._samplers: dict[str, CandidateSampler] = {}

    @property
    def target_count(self) -> int:
        """Number of targets whose state is kept."""
        return len(self._states)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        route: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        if not members:
            return None
        sampler = self._sampler(members)
        sampled = sampler.sample(self._rng, exclude)
        best = self._lowest_cost(sampled, sampler, now)
        if best is None:
            sampled = sampler.scan(self._rng, exclude)
            # If all of these are excluded too, one of them may accept requests
            # again by now.
            best = self._lowest_cost(sampled, sampler, now) or next(
                iter(sampled), None
            )
        if best is None:
            return None
        if self._rng.random() < TRIAL_FRACTION:
            best = self._trial_candidate(sampled, sampler, now) or best
        self._add_state(best, sampler, now)
        return best

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        state = self._states.get(name)
        if state is None:
            # Not chosen by this chooser, so that its service isn't known.
            state = TargetState(CandidateSampler(), 0, 0.0, self._slots(name))
        state.attempt_started(now)
        self._states.touch(name, state, now)

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        route: str = "",
    ) -> None:
        state = self._states.get(name)
        if state is None:
            return
        state.attempt_ended(now, elapsed_s)
        if load is not None:
            state.record_report(load, now)
        exclusion_s = _exclusion_s(outcome, load)
        if exclusion_s:
            state.excluded_until = now + exclusion_s
            return
        _learn(state, now, elapsed_s, outcome, load)

    def _lowest_cost(
        self, sampled: list[Member], sampler: CandidateSampler, now: float
    ) -> Member | None:
        """Returns the member of lowest cost; `None` if all are excluded."""
        best: Member | None = None
        lowest_cost_s = math.inf
        get_state = self._states.get
        typical_s = sampler.typical_s or _INITIAL_RESPONSE_S
        for member in sampled:
            state = get_state(member.name)
            if state is None:
                network_s = self._network_s(member)
                cost_s = network_s + typical_s * (1 + _UNKNOWN_LOAD_FACTOR)
            elif state.excluded_until > now:
                continue
            else:
                if state.sampler_version != sampler.version:
                    self._update_state(state, member, sampler)
                current_load = None
                if member is sampler.own and self._own_load is not None:
                    current_load = self._own_load()
                cost_s = state.cost_s(typical_s, now, current_load)
            if cost_s < lowest_cost_s:
                best, lowest_cost_s = member, cost_s
        return best

    def _trial_candidate(
        self, sampled: list[Member], sampler: CandidateSampler, now: float
    ) -> Member | None:
        """Returns a nearby member whose response time isn't known, if any."""
        max_network_s = FORWARDING_S + min(self._network_s(m) for m in sampled)
        for member in sampled:
            if self._network_s(member) > max_network_s:
                continue
            state = self._states.get(member.name)
            if state is None or state.is_trial_due(sampler.typical_s, now):
                return member
        return None

    def _update_state(
        self, state: TargetState, member: Member, sampler: CandidateSampler
    ) -> None:
        """Updates what depends on the members and the configuration."""
        state.sampler = sampler
        state.sampler_version = sampler.version
        state.network_s = self._network_s(member)

    def _add_state(
        self, member: Member, sampler: CandidateSampler, now: float
    ) -> None:
        if self._states.get(member.name) is not None:
            return
        network_s, slots = self._network_s(member), self._slots(member.name)
        state = TargetState(sampler, sampler.version, network_s, slots)
        self._states.touch(member.name, state, now)

    def _network_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        return FORWARDING_S + 2 * self._distance_s(member.failure_domain)

    def _distance_s(self, failure_domain: str) -> float:
        return self._index().one_way_s(self._failure_domain, failure_domain)

    def _slots(self, name: str) -> int:
        target = self._index().targets.get(name)
        return max(1, target.slots) if target else 1

    def _sampler(self, members: Sequence[Member]) -> CandidateSampler:
        """Returns the sampler of the service, updated if `members` changed."""
        name = members[0].service
        sampler = self._samplers.get(name)
        if sampler is None:
            sampler = self._samplers[name] = CandidateSampler()
            if len(self._samplers) > MAX_SERVICES:
                del self._samplers[next(iter(self._samplers))]
        if sampler.members is not members:
            sampler.update(members, self._node_name, self._distance_s)
        return sampler


def _learn(
    state: TargetState,
    now: float,
    elapsed_s: float,
    outcome: Outcome | None,
    load: LoadReport | None,
) -> None:
    """Updates the response time of a target by the end of an attempt."""
    sampler = state.sampler
    typical_s = sampler.typical_s
    response_s = max(0.0, elapsed_s - state.network_s)
    if outcome is None or _is_uninformative(outcome, load):
        # The elapsed time is a lower bound of the response time.
        if response_s > state.expected_response_s(typical_s, now):
            state.record_response(response_s, typical_s, now)
        return
    if _is_failure(outcome):
        doublings = min(state.failures, MAX_DOUBLINGS)
        failure_s = (typical_s or _INITIAL_RESPONSE_S) * FAILURE_FACTOR
        state.failures += 1
        state.record_response(
            max(response_s, failure_s * 2**doublings), typical_s, now
        )
        return
    state.failures = 0
    state.record_response(response_s, typical_s, now)
    before = typical_s or response_s
    clipped_s = min(response_s, before * _TYPICAL_CLIP_FACTOR)
    sampler.typical_s = before + _TYPICAL_WEIGHT * (clipped_s - before)


def _exclusion_s(outcome: Outcome | None, load: LoadReport | None) -> float:
    """Returns for how long the target is excluded; 0 if it isn't (s)."""
    if load is not None and load.leaving:
        return EXCLUSION_S[ResultCode.LEAVING]
    if not isinstance(outcome, NotRun):
        return 0.0
    return EXCLUSION_S.get(outcome.code, 0.0)


def _is_uninformative(outcome: Outcome, load: LoadReport | None) -> bool:
    """Returns whether the outcome has no bearing on the response time.

    A full target is recognized by the load report in its refusal. Counting the
    refusal as a failure too would stop traffic to all targets in an overload.
    A target that refuses while it reports free slots must not look idle, so
    that this counts as a failure.
    """
    if not isinstance(outcome, NotRun):
        return False
    if outcome.code is ResultCode.OVERLOADED and load is not None:
        return load.in_flight >= load.slots
    return outcome.code in _REQUEST_REFUSALS


def _is_failure(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return outcome.response.status in _FAILURE_STATUSES
    return True
