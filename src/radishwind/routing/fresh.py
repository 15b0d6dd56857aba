"""Chooses by load that is told within milliseconds of its change.

Each node tells the pace of its instance and what runs and waits at its server
when these change. The expected answer time of a target is made of the way to
it, the wait for a slot, and the run time at its pace; a report that grows old
counts less and less against the mean of all.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random

from radishwind.core.codes import ResultCode
from radishwind.hedging.fresh import Forecast
from radishwind.http.types import is_server_error
from radishwind.membership.directory import Member
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.pace import begin_s
from radishwind.routing.pace import PaceHabit
from radishwind.routing.seen import SeenTarget
from radishwind.routing.ways import FixedWays
from radishwind.routing.ways import IN_TIME_PART
from radishwind.routing.ways import NO_WAY
from radishwind.routing.ways import Way
from radishwind.routing.ways import WayCosts
from radishwind.routing.weights import AWAY_S
from radishwind.routing.weights import ChoiceWeights
from radishwind.routing.weights import COLD_REST_S
from radishwind.routing.weights import COST_SPREAD
from radishwind.routing.weights import FAILURE_FADE_S
from radishwind.routing.weights import FIRST_WORK_S
from radishwind.routing.weights import FORWARDING_S
from radishwind.routing.weights import FULL_FACTOR
from radishwind.routing.weights import LATE_FACTOR
from radishwind.routing.weights import LEAST_FAILED_S
from radishwind.routing.weights import LEAST_REST
from radishwind.routing.weights import LEAST_SLOWNESS
from radishwind.routing.weights import MAX_DOUBLINGS
from radishwind.routing.weights import MOST_FAR
from radishwind.routing.weights import MOST_NEAR
from radishwind.routing.weights import MOST_RATIO
from radishwind.routing.weights import MOST_WORKS
from radishwind.routing.weights import SILENT_FACTOR
from radishwind.routing.weights import SILENT_S
from radishwind.routing.weights import UNKNOWN_FACTOR
from radishwind.routing.weights import WORK_WEIGHT


class FreshLoadChooser(TargetChooser, Forecast):
    """The least expected answer time by fresh reports."""

    def __init__(
        self,
        rng: random.Random,
        *,
        node_name: str,
        failure_domain: str,
        own_load: Callable[[], LoadReport],
        tells_unasked: Callable[[Member], bool] | None = None,
        weights: ChoiceWeights | None = None,
        ways: WayCosts | None = None,
    ) -> None:
        """Makes a chooser that knows nothing yet.

        Args:
          rng: breaks ties and draws candidates.
          node_name: the name of this node's own target.
          failure_domain: where this node stands.
          own_load: returns the load of the own target as of now.
          tells_unasked: returns whether a target tells this node its load
            though it got nothing from here; by default all do.
          weights: what counts.
          ways: what the links to a target add.
        """
        self._weights = weights or ChoiceWeights()
        self._ways = ways or FixedWays(failure_domain, self._weights.crossing_s)
        self._tells_unasked = tells_unasked or _always
        self._rng = rng
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._own_load = own_load
        self._seen: dict[str, SeenTarget] = {}
        self._work_s: dict[str, float] = {}
        self._habit = PaceHabit()

    def told(
        self,
        name: str,
        report: LoadReport,
        start: int,
        order: int,
        now: float,
    ) -> None:
        """Takes what the node beside the target `name` tells of it.

        Args:
          name: the target.
          report: its load.
          start: names the start of that node.
          order: grows with each report of that start.
          now: monotonic time (s).
        """
        seen = self._known(name)
        if start == seen.start and order <= seen.order:
            return
        seen.start = start
        seen.order = order
        self._report(seen, report, now)

    def choose(
        self,
        members: Sequence[Member],
        now: float,
        exclude: frozenset[str] = frozenset(),
        work: str = "",
        aim: float = math.inf,
    ) -> Member | None:
        candidates = [m for m in members if m.name not in exclude]
        if len(candidates) > MOST_NEAR + MOST_FAR:
            candidates = self._drawn(candidates)
        best = soonest = None
        least_s = least_time_s = best_time_s = math.inf
        for member in candidates:
            way = self._way(member, work, now)
            time_s = self._answer_s(member, now, work, way) + way.carry_s
            time_s *= 1 + COST_SPREAD * self._rng.random()
            failed_s = self._failed_s(member.name, work, now)
            cost_s = time_s + way.weight_s + failed_s
            if cost_s < least_s:
                best, least_s, best_time_s = member, cost_s, time_s
            if time_s + failed_s < least_time_s:
                soonest, least_time_s = member, time_s + failed_s
        if best is None:
            return self._any_of(candidates, now)
        left_s = aim - now
        # Links are not spared at the price of being late; where all would be
        # late, nothing is gained by what crosses.
        if IN_TIME_PART * left_s < best_time_s and least_time_s <= left_s:
            return soonest
        return best

    def _any_of(
        self, candidates: Sequence[Member], now: float
    ) -> Member | None:
        """Returns one of those that all said they take none, if one may.

        One that leaves or was down may be back by now; one that is cold has
        told when it takes more, so that to ask it again only costs time.
        """
        own = self._own_load()
        maybe = [m for m in candidates if not self._is_spent(m.name, now, own)]
        return self._rng.choice(maybe) if maybe else None

    def _is_spent(self, name: str, now: float, own: LoadReport) -> bool:
        """Returns whether a cold target takes no more just now.

        Args:
          name: the target.
          now: monotonic time (s).
          own: the load of the own target, looked at where that is meant.
        """
        if name == self._node_name:
            return own.is_spent
        seen = self._seen.get(name)
        return seen is not None and seen.cold_until > now

    def _drawn(self, candidates: list[Member]) -> list[Member]:
        """Returns some of many candidates, near ones above all."""
        own = self._failure_domain
        near = [m for m in candidates if m.failure_domain == own]
        far = [m for m in candidates if m.failure_domain != own]
        if len(near) > MOST_NEAR:
            near = self._rng.sample(near, MOST_NEAR)
        most_far = MOST_NEAR + MOST_FAR - len(near)
        if len(far) > most_far:
            far = self._rng.sample(far, most_far)
        return near + far

    def cost_s(self, member: Member, now: float, work: str = "") -> float:
        """Returns what an attempt counts for (s); infinite for one away.

        It is the expected answer time, and more for a target that failed.
        """
        way = self._way(member, work, now)
        answer_s = self._answer_s(member, now, work, way)
        return answer_s + self._failed_s(member.name, work, now)

    def _failed_s(self, name: str, work: str, now: float) -> float:
        """Returns what the failures of a target make it dearer by (s)."""
        seen = self._seen.get(name)
        if seen is None or not seen.failures:
            return 0.0
        work_s = self._work_s.get(work, FIRST_WORK_S)
        return self._failure_s(seen, work_s, now)

    def _answer_s(
        self, member: Member, now: float, work: str, way: Way
    ) -> float:
        """Returns the expected answer time (s); infinite for one away."""
        seen = self._seen.get(member.name)
        work_s = self._work_s.get(work, FIRST_WORK_S)
        hop_s = self._hop_s(member) + way.time_s
        if member.name == self._node_name:
            report, age_s, since = self._own_load(), 0.0, 0
        elif seen is None or seen.report is None:
            return hop_s + self._unknown_s(seen, work_s, now)
        else:
            report, age_s, since = seen.report, now - seen.heard, seen.since
        silent = age_s > SILENT_S
        if silent and not self._tells_unasked(member):
            return hop_s + self._unknown_s(seen, work_s, now)
        if seen is not None and seen.away_until > now:
            return math.inf
        if report.leaving or not report.slots:
            return math.inf
        if self._is_spent(member.name, now, report):
            return math.inf
        slowness = seen.slowness if seen else 1.0
        busy = max(0, report.in_flight + report.queued + since)
        fill = min(1.0, busy / report.slots)
        own_s = work_s * slowness * (1 + FULL_FACTOR * fill)
        own_s *= _coldness(report)
        ahead = max(0, busy + 1 - report.slots) / report.slots
        cost_s = begin_s(own_s, report, age_s, self._habit)
        queued_s = work_s * report.base * self._habit.mean
        cost_s += ahead * max(report.service_ms / 1000, queued_s)
        if silent:
            cost_s += SILENT_FACTOR * work_s * self._habit.mean
        return hop_s + cost_s

    def expected_s(self, member: Member, now: float, work: str) -> float:
        way = self._way(member, work, now)
        answer_s = self._answer_s(member, now, work, way)
        return 0.0 if math.isinf(answer_s) else answer_s

    def usual_s(self, work: str) -> float:
        return self.work_s(work) * self._habit.mean

    def work_s(self, work: str) -> float:
        """Returns the usual run time of `work` (s); 0 where not known."""
        return self._work_s.get(work, 0.0)

    def left_s(self, name: str, work: str, began: float, now: float) -> float:
        seen = self._seen.get(name)
        work_s = self._work_s.get(work, FIRST_WORK_S)
        expected = seen.expected.get(began) if seen else None
        if expected is None:
            expected = began + work_s * self._habit.mean
        if now <= expected + LATE_FACTOR * work_s:
            return max(expected - now, LEAST_REST * work_s)
        # It began in a slow spell, or something it waits for did.
        slow = began + work_s * self._habit.slow
        if now <= slow + work_s:
            return max(slow - now, work_s)
        return math.inf

    def inputs(self, member: Member, now: float, work: str = "") -> str:
        cost_ms = self.cost_s(member, now, work) * 1000
        way = self._told_way(member, work, now)
        seen = self._seen.get(member.name)
        if member.name == self._node_name:
            report, age_s = self._own_load(), 0.0
        elif seen is None or seen.report is None:
            return f"cost={cost_ms:.0f}ms{way} unheard"
        else:
            report, age_s = seen.report, now - seen.heard
        return (
            f"cost={cost_ms:.0f}ms{way} "
            f"pace={report.pace:g} "
            f"age={age_s * 1000:.0f}ms spell={report.spell_ms:g}ms "
            f"busy={report.in_flight}+{report.queued}/{report.slots}"
        )

    def started(self, name: str, now: float, expected_s: float = 0.0) -> None:
        seen = self._known(name)
        if expected_s:
            seen.expected[now] = now + expected_s
        seen.since += 1
        self._note_start(seen, now)

    def _note_start(self, seen: SeenTarget, now: float) -> None:
        """Counts a start at a cold target against what it said it takes."""
        left = seen.report.starts_left if seen.report else None
        if left is not None and seen.since >= left > 0:
            seen.cold_until = max(seen.cold_until, seen.heard + COLD_REST_S)

    def finished(
        self,
        name: str,
        now: float,
        elapsed_s: float,
        outcome: Outcome | None,
        load: LoadReport | None,
        work: str = "",
    ) -> None:
        seen = self._known(name)
        seen.forget_attempt(now - elapsed_s)
        seen.since -= 1
        if load is not None:
            self._report(seen, load, now)
        if isinstance(outcome, NotRun):
            seen.away_until = now + AWAY_S.get(outcome.code, 0.0)
        if _failed(outcome):
            seen.failures += 1
            seen.failed = now
            return
        if not isinstance(outcome, Done):
            return
        seen.failures = 0
        if load is not None and load.work_ms:
            self._learn(seen, work, load.work_ms / 1000)

    def _known(self, name: str) -> SeenTarget:
        seen = self._seen.get(name)
        if seen is None:
            seen = self._seen[name] = SeenTarget()
        return seen

    def _learn(self, seen: SeenTarget, work: str, done_s: float) -> None:
        """Takes the work of one answer into the usual and the target's own."""
        usual_s = self._work_s.get(work)
        if usual_s is None:
            self._work_s[work] = done_s
            return
        ratio = min(MOST_RATIO, done_s / max(1e-4, usual_s))
        seen.slowness += self._weights.slowness * (ratio - seen.slowness)
        seen.slowness = max(LEAST_SLOWNESS, seen.slowness)
        self._work_s[work] = usual_s * (1 + WORK_WEIGHT * (ratio - 1))
        if len(self._work_s) > MOST_WORKS:
            del self._work_s[next(iter(self._work_s))]

    def _report(self, seen: SeenTarget, report: LoadReport, now: float) -> None:
        if seen.report is not None:
            for_s = min(SILENT_S, now - seen.heard)
            before = seen.report
            self._habit.note(before.pace / max(0.01, before.base), for_s)
        if report.spell_ms:
            self._habit.period_s = report.spell_ms / 1000
        seen.report = report
        seen.heard = now
        seen.since = 0
        seen.cold_until = now + COLD_REST_S if report.is_spent else -math.inf

    def _failure_s(self, seen: SeenTarget, work_s: float, now: float) -> float:
        fade = math.exp((seen.failed - now) / FAILURE_FADE_S)
        doubled: float = 2.0 ** min(seen.failures - 1, MAX_DOUBLINGS)
        least_s = max(work_s, LEAST_FAILED_S)
        return self._weights.failure_factor * doubled * least_s * fade

    def _unknown_s(
        self, seen: SeenTarget | None, work_s: float, now: float
    ) -> float:
        """Returns the cost of a target of whose load nothing is known (s)."""
        cost_s = UNKNOWN_FACTOR * self._habit.unknown_s(work_s)
        if seen is None:
            return cost_s
        if seen.away_until > now:
            return math.inf
        return cost_s + work_s * self._habit.mean * max(0, seen.since)

    def _way(self, member: Member, work: str, now: float) -> Way:
        """Returns what the way to `member` adds."""
        if member.name == self._node_name:
            return NO_WAY
        seen = self._seen.get(member.name)
        report = seen.report if seen else None
        free_kbps = report.link_kbps if report else 0
        return self._ways.way(member.failure_domain, free_kbps, work, now)

    def _told_way(self, member: Member, work: str, now: float) -> str:
        """Returns what the links to `member` counted for, if anything."""
        way = self._way(member, work, now)
        if way is NO_WAY:
            return ""
        parts = (way.time_s, way.carry_s, way.weight_s)
        return f" way={'+'.join(f'{part * 1000:.0f}' for part in parts)}ms"

    def _hop_s(self, member: Member) -> float:
        if member.name == self._node_name:
            return 0.0
        return FORWARDING_S


def _coldness(report: LoadReport) -> float:
    """Returns how much longer runs take than the told pace says.

    Where the pace itself tells that a server is cold, that is all of it:
    counted twice, a restarted fleet looked four times as slow as it was.
    """
    return max(1.0, 1 / max(0.1, report.warm) / max(1.0, report.base))


def _always(member: Member) -> bool:
    return True


def _failed(outcome: Outcome | None) -> bool:
    """Returns whether an attempt tells of a target that does not do well."""
    if outcome is None:
        return False
    if isinstance(outcome, NotRun):
        return outcome.code is ResultCode.SERVER_SHED
    if isinstance(outcome, Done):
        return is_server_error(outcome.response.status)
    return True
