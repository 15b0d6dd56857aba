"""The default policy: the least expected answer time among a few candidates.

The expected answer time of a candidate is made of the hop to it, its smoothed
answer time, and what its load adds: own attempts in flight, which are known
exactly, and those of others by its last report, which loses weight with age.
`docs/design/03-routing.md` has the ways weighed and the measurements.
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
from radishwind.routing.target_state import SPREAD
from radishwind.routing.target_state import TargetState
from radishwind.routing.target_state import TargetTable

#: What the exchange with another node's process adds (s).
FORWARDING_S = 0.0005

#: A failure counts as an answer of so many times the typical one, doubled
#: with each further failure in a row.
FAILURE_FACTOR = 4.0
MAX_DOUBLINGS = 6

#: Share of decisions that may go to a near target not heard of for long,
#: whatever its expected answer time; it bounds what trials cost the tail.
TRIAL_SHARE = 0.01

#: How long a target that takes no work is passed over (s), by what it said. By
#: then the membership has dropped one that is leaving.
AWAY_S = {
    ResultCode.LEAVING: 5.0,
    ResultCode.NO_TARGET: 1.0,
    ResultCode.CONNECT_FAILED: 1.0,
    ResultCode.SERVER_UNANNOUNCED: 1.0,
    ResultCode.TARGET_UNLISTED: 1.0,
}

#: Services whose candidates are kept; the longest known is forgotten.
MAX_SERVICES = 256

#: Answer time taken as typical before the first answer (s).
_FIRST_ANSWER_S = 0.005

#: What a target without a state is taken to add to the typical answer time:
#: as one that is half loaded, so that it is tried like any other.
_UNKNOWN_ADDED = SPREAD / 4

#: Weight of one answer in the typical answer time of a service.
_TYPICAL_WEIGHT = 0.02

#: An answer counts there for at most so many times the typical time, so that
#: a straggler's answers do not make it typical.
_TYPICAL_CLIP = 4.0

#: Statuses by which a server or what stands before it tells of a failure.
_FAILED_STATUSES = frozenset({500, 502, 503, 504})

#: Refusals that tell of the request or of its lateness, not of the target.
_NOT_THE_TARGET = frozenset(
    {ResultCode.DEADLINE_PASSED, ResultCode.QUARANTINED}
)


class BalancedChooser(TargetChooser):
    """The least expected answer time among a few candidates."""

    def __init__(
        self,
        rng: random.Random,
        *,
        node_name: str,
        failure_domain: str,
        index: Callable[[], ConfigIndex],
        own_load: Callable[[], LoadReport] | None = None,
    ) -> None:
        """Makes a chooser that knows nothing yet.

        Args:
          rng: draws the candidates.
          node_name: the name of this node's own target.
          failure_domain: where this node stands.
          index: returns the configuration in force.
          own_load: returns the load of the own target as of now.
        """
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._index = index
        self._own_load = own_load
        self._table = TargetTable()
        self._services: dict[str, CandidateSampler] = {}

    @property
    def remembered(self) -> int:
        """Targets whose state is kept."""
        return len(self._table)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        work: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        if not members:
            return None
        service = self._candidates(members)
        drawn = service.sample(self._rng, exclude)
        best = self._least(drawn, service, now)
        if best is None:
            drawn = service.scan(self._rng, exclude)
            # If all of those are away too, one of them may be back by now.
            best = self._least(drawn, service, now) or next(iter(drawn), None)
        if best is None:
            return None
        if self._rng.random() < TRIAL_SHARE:
            best = self._trial(drawn, service, now) or best
        self._remember(best, service, now)
        return best

    def attempt_started(
        self, name: str, now: float, expected_s: float = 0.0
    ) -> None:
        state = self._table.get(name)
        if state is None:
            # Not chosen here; nothing is known of its service.
            state = TargetState(CandidateSampler(), 0, 0.0, self._slots(name))
        state.begin(now)
        self._table.use(name, state, now)

    def attempt_finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        work: str = "",
    ) -> None:
        state = self._table.get(name)
        if state is None:
            return
        state.end(now, elapsed_s)
        if load is not None:
            state.report(load, now)
        away_s = _away_s(outcome, load)
        if away_s:
            state.away_until = now + away_s
            return
        _learn(state, now, elapsed_s, outcome, load)

    def _least(
        self, drawn: list[Member], service: CandidateSampler, now: float
    ) -> Member | None:
        """Returns the member of least cost, `None` if none takes work."""
        best: Member | None = None
        least_s = math.inf
        known = self._table.get
        typical_s = service.typical_s or _FIRST_ANSWER_S
        for member in drawn:
            state = known(member.name)
            if state is None:
                hop_s = self._hop_s(member)
                cost_s = hop_s + typical_s * (1 + _UNKNOWN_ADDED)
            elif state.away_until > now:
                continue
            else:
                if state.derived != service.version:
                    self._derive(state, member, service)
                exact = None
                if member is service.own and self._own_load is not None:
                    exact = self._own_load()
                cost_s = state.cost_s(typical_s, now, exact)
            if cost_s < least_s:
                best, least_s = member, cost_s
        return best

    def _trial(
        self, drawn: list[Member], service: CandidateSampler, now: float
    ) -> Member | None:
        """Returns a near member whose answer time is not known, if any."""
        most_s = FORWARDING_S + min(self._hop_s(m) for m in drawn)
        for member in drawn:
            if self._hop_s(member) > most_s:
                continue
            state = self._table.get(member.name)
            if state is None or state.trial_due(service.typical_s, now):
                return member
        return None

    def _derive(
        self, state: TargetState, member: Member, service: CandidateSampler
    ) -> None:
        """Follows a change of the members or of the configuration."""
        state.service = service
        state.derived = service.version
        state.hop_s = self._hop_s(member)

    def _remember(
        self, member: Member, service: CandidateSampler, now: float
    ) -> None:
        if self._table.get(member.name) is not None:
            return
        hop_s, slots = self._hop_s(member), self._slots(member.name)
        fresh = TargetState(service, service.version, hop_s, slots)
        self._table.use(member.name, fresh, now)

    def _hop_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        return FORWARDING_S + 2 * self._distance_s(member.failure_domain)

    def _distance_s(self, failure_domain: str) -> float:
        return self._index().one_way_s(self._failure_domain, failure_domain)

    def _slots(self, name: str) -> int:
        target = self._index().targets.get(name)
        return max(1, target.slots) if target else 1

    def _candidates(self, members: Sequence[Member]) -> CandidateSampler:
        """Returns what is derived from `members`, anew if they changed."""
        name = members[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = CandidateSampler()
            if len(self._services) > MAX_SERVICES:
                del self._services[next(iter(self._services))]
        if service.members is not members:
            service.update(members, self._node_name, self._distance_s)
        return service


def _learn(
    state: TargetState,
    now: float,
    elapsed_s: float,
    outcome: Outcome | None,
    load: LoadReport | None,
) -> None:
    """Takes what an attempt tells of the target's answer time."""
    service = state.service
    typical_s = service.typical_s
    answer_s = max(0.0, elapsed_s - state.hop_s)
    if outcome is None or _tells_nothing(outcome, load):
        # The answer would have taken longer than this.
        if answer_s > state.answer_now_s(typical_s, now):
            state.learn(answer_s, typical_s, now)
        return
    if _is_failure(outcome):
        doublings = min(state.failures, MAX_DOUBLINGS)
        long_s = (typical_s or _FIRST_ANSWER_S) * FAILURE_FACTOR
        state.failures += 1
        state.learn(max(answer_s, long_s * 2**doublings), typical_s, now)
        return
    state.failures = 0
    state.learn(answer_s, typical_s, now)
    before = typical_s or answer_s
    clipped_s = min(answer_s, before * _TYPICAL_CLIP)
    service.typical_s = before + _TYPICAL_WEIGHT * (clipped_s - before)


def _away_s(outcome: Outcome | None, load: LoadReport | None) -> float:
    """Returns how long the target says that it takes no work (s)."""
    if load is not None and load.leaving:
        return AWAY_S[ResultCode.LEAVING]
    if not isinstance(outcome, NotRun):
        return 0.0
    return AWAY_S.get(outcome.code, 0.0)


def _tells_nothing(outcome: Outcome, load: LoadReport | None) -> bool:
    """Returns whether the outcome tells nothing of the answer time.

    A full target is told by the load report that comes with its refusal; to
    count it as a failure too would stop work everywhere in an overload. One
    that refuses while it reports room must not look idle: that is a failure.
    """
    if not isinstance(outcome, NotRun):
        return False
    if outcome.code is ResultCode.OVERLOADED and load is not None:
        return load.in_flight >= load.slots
    return outcome.code in _NOT_THE_TARGET


def _is_failure(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return outcome.response.status in _FAILED_STATUSES
    return True
