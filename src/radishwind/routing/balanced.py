"""Our policy: the least expected answer time among a few candidates.

The expected answer time of a candidate is made of the hop to it, its smoothed
answer time, and what its load adds: own attempts in flight, which are known
exactly, and those of others by its last report, which loses weight with age.
`docs/design/03-routing.md` has the ways weighed and the measurements.
"""

import random
from collections.abc import Callable
from collections.abc import Sequence

from radishwind.config.index import ConfigIndex
from radishwind.core.codes import ResultCode
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.sample import Candidates
from radishwind.routing.state import TargetState
from radishwind.routing.state import TargetTable

#: What the exchange with another node's process adds (s).
FORWARDING_S = 0.0005

#: Share of the answer time that a target with all slots taken adds before
#: anything queues. It spreads work, and bounds how long the own failure
#: domain is preferred.
SPREAD = 0.5

#: A failure counts as an answer of so many times the typical one, doubled
#: with each further failure in a row.
FAILURE_FACTOR = 4.0
MAX_DOUBLINGS = 6

#: A target smoothed above so many times the typical answer time gets one
#: attempt at a time until an answer shows that it has recovered.
TRIAL_FACTOR = 2.0
_TRIAL_BUSY_FACTOR = 10.0

#: How long a target that said it is leaving is passed over (s); by then the
#: membership has dropped it.
LEAVING_S = 5.0

MAX_SERVICES = 256
_FIRST_ANSWER_S = 0.005
_TYPICAL_WEIGHT = 0.02
_MIN_WARM = 0.1
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
        self._services: dict[str, Candidates] = {}

    @property
    def remembered(self) -> int:
        """Targets whose state is kept."""
        return len(self._table)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
    ) -> Member | None:
        if not members:
            return None
        service = self._candidates(members)
        drawn = service.draw(self._rng, exclude)
        best = self._least(drawn, service, now)
        if best is None:
            drawn = service.scan(self._rng, exclude)
            best = self._least(drawn, service, now)
        return best

    def started(self, name: str, now: float) -> None:
        state = self._table.get(name)
        if state is None:
            # Not chosen here; nothing is known of its service.
            state = TargetState(Candidates(), 0, 0.0, self._slots(name))
        state.begin(now)
        self._table.use(name, state, now)

    def finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        state = self._table.get(name)
        if state is None:
            return
        state.end(now, elapsed_s)
        if load is not None:
            state.report(load, now)
        if _is_leaving(outcome, load):
            state.leaving_until = now + LEAVING_S
            return
        _learn(state, now, elapsed_s, outcome, load)

    def _least(
        self, drawn: list[Member], service: Candidates, now: float
    ) -> Member | None:
        """Returns the member of least cost, `None` if none takes work."""
        best: Member | None = None
        least_s = 0.0
        for member in drawn:
            state = self._table.get(member.name)
            if state is not None and state.leaving_until > now:
                continue
            cost_s = self._cost_s(member, state, service, now)
            if best is None or cost_s < least_s:
                best, least_s = member, cost_s
        if best is not None:
            self._remember(best, service, now)
        return best

    def _cost_s(
        self,
        member: Member,
        state: TargetState | None,
        service: Candidates,
        now: float,
    ) -> float:
        """Returns the answer time to expect of `member` (s)."""
        typical_s = service.typical_s or _FIRST_ANSWER_S
        if state is None:
            state = self._fresh(member, service)
        elif state.derived != service.version:
            self._derive(state, member, service)
        in_flight = state.in_flight
        slots, warm = state.slots, state.warm
        if member.name == self._node_name and self._own_load is not None:
            load = self._own_load()
            slots, warm = max(1, load.slots), load.warm
            total = float(load.in_flight + load.queued)
        else:
            total = in_flight + state.others_now(now)
        answer_s = state.answer_now_s(typical_s, now)
        on_trial = answer_s > TRIAL_FACTOR * typical_s and in_flight
        answer_s = max(answer_s, state.mean_age_s(now))
        if on_trial:
            answer_s *= _TRIAL_BUSY_FACTOR
        slots_now = slots * max(_MIN_WARM, warm)
        load_share = (total + 1) / slots_now
        added = SPREAD * load_share * load_share + max(0.0, load_share - 1)
        return state.hop_s + answer_s * (1 + added)

    def _fresh(self, member: Member, service: Candidates) -> TargetState:
        return TargetState(
            service,
            service.version,
            self._hop_s(member),
            self._slots(member.name),
        )

    def _derive(
        self, state: TargetState, member: Member, service: Candidates
    ) -> None:
        """Follows a change of the members or of the configuration."""
        state.service = service
        state.derived = service.version
        state.hop_s = self._hop_s(member)

    def _remember(
        self, member: Member, service: Candidates, now: float
    ) -> None:
        if self._table.get(member.name) is None:
            fresh = self._fresh(member, service)
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

    def _candidates(self, members: Sequence[Member]) -> Candidates:
        """Returns what is derived from `members`, anew if they changed."""
        name = members[0].service
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = Candidates()
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
    service.typical_s = before + _TYPICAL_WEIGHT * (answer_s - before)


def _is_leaving(outcome: Outcome | None, load: LoadReport | None) -> bool:
    if load is not None and load.leaving:
        return True
    return isinstance(outcome, NotRun) and outcome.code is ResultCode.LEAVING


def _tells_nothing(outcome: Outcome, load: LoadReport | None) -> bool:
    """Returns whether the outcome tells nothing of the answer time.

    A full queue is told by the load report that comes with the refusal; to
    count it as a failure too would stop work everywhere in an overload.
    """
    if not isinstance(outcome, NotRun):
        return False
    if outcome.code is ResultCode.OVERLOADED:
        return load is not None
    return outcome.code in _NOT_THE_TARGET


def _is_failure(outcome: Outcome) -> bool:
    if isinstance(outcome, Done):
        return outcome.response.status in _FAILED_STATUSES
    return True
