"""Targets as queues of numbers in one process, for the decision code alone.

No sockets, no nodes, no store: an event is a time and a function. The policies
under test are the product's own objects; the service is Onda's bollettino.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from bench.inventories import one_service
from radishwind.config.index import ConfigIndex
from radishwind.config.model import Link
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.hedging import HedgePolicy
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.retries import RetryPolicy
from radishwind.routing import LoadReport
from radishwind.routing import TargetChooser

#: The sizes and times of Onda's bollettino; a forward is the extra hop between
#: two processes, one way.
DOMAINS = ("genova-a", "genova-b", "savona")
ONE_WAY_S = 0.0015
FORWARD_S = 0.00025
SERVICE_S = 0.010
SLOTS = 9
TARGETS = 6
ENTRIES = 13
QUEUE_LENGTH = 64
DEADLINE_S = 2.0

RULES = ServiceRules()
_OK = Done(Response(200))
_FAILED = Done(Response(500))
_FULL = NotRun(ResultCode.OVERLOADED, "full", 1.0)


def onda() -> tuple[ConfigIndex, tuple[Member, ...]]:
    """Returns the inventory of one service of Onda's, and its members."""
    links = [
        Link(a, b, ONE_WAY_S * 1000)
        for a, b in itertools.combinations(DOMAINS, 2)
    ]
    names = [f"bollettino-{i}" for i in range(TARGETS)]
    return one_service("bollettino", names, SLOTS, DOMAINS, links)


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call at one target.

    Attributes:
      call: the call it is of.
      member: the target.
      began: when it was sent (s).
      way_s: network time from the entry node to the target (s).
      ended: whether its call has its outcome, or no longer wants it.
      running: whether it holds a slot of the target.
    """

    call: "OpenCall"
    member: Member
    began: float
    way_s: float
    ended: bool = False
    running: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class OpenCall:
    """A call and its attempts so far.

    Attributes:
      call: as the policies see it.
      entry: where it arrived.
      arrived: when (s).
      tried: names of the targets tried.
      attempts: how many were sent.
      open: those without an outcome yet.
      answered: whether its caller has the answer.
    """

    call: Call
    entry: "Entry"
    arrived: float
    tried: frozenset[str] = frozenset()
    attempts: int = 0
    open: list[Attempt] = dataclasses.field(default_factory=list)
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The entry side of one node."""

    name: str
    failure_domain: str
    chooser: TargetChooser
    retries: RetryPolicy
    hedges: HedgePolicy


@dataclasses.dataclass(slots=True, eq=False)
class Queue:
    """One target: slots, a bounded queue, and what goes wrong with it.

    Attributes:
      slow: how many times slower it runs, by time.
      warm: what it reports of its warmth, by time.
      failing: answers 500 at once.
      refusing: refuses everything.
      lying: reports that it is idle.
      hold_s: how long it repeats one report (s).
      held: the report it repeats.
      held_since: when that was made (s).
      running: attempts that hold a slot.
      waiting: attempts in the queue, in order; some may have ended.
    """

    slow: Callable[[float], float] = lambda now: 1.0
    warm: Callable[[float], float] = lambda now: 1.0
    failing: bool = False
    refusing: bool = False
    lying: bool = False
    hold_s: float = 0.0
    held: LoadReport | None = None
    held_since: float = -1.0
    running: int = 0
    waiting: collections.deque[Attempt] = dataclasses.field(
        default_factory=collections.deque
    )

    def load(self, now: float) -> LoadReport:
        """Returns what its node reports."""
        if self.lying:
            return LoadReport(SLOTS, 0, 0, 1.0)
        if self.held is None or now - self.held_since >= self.hold_s:
            waiting = sum(not a.ended for a in self.waiting)
            self.held = LoadReport(
                SLOTS, self.running, waiting, 10.0, warm_fraction=self.warm(now)
            )
            self.held_since = now
        return self.held


@dataclasses.dataclass(slots=True)
class Tally:
    """What came of the calls that arrived once measuring began."""

    answers_s: list[float] = dataclasses.field(default_factory=list)
    attempts: int = 0
    errors: int = 0
    at_first_target: int = 0


class Simulation:
    """Drives entries and queues by a heap of events."""

    def __init__(
        self,
        entries: list[Entry],
        members: tuple[Member, ...],
        queues: dict[str, Queue],
        seed: int,
        measure_from: float,
    ) -> None:
        self.tally = Tally()
        self._entries = entries
        self._members = members
        self._queues = queues
        self._arrivals = random.Random(seed)
        self._service = random.Random(seed + 1)
        self._measure_from = measure_from
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0

    def run(self, rate_per_s: float, until: float) -> Tally:
        """Lets calls arrive at `rate_per_s` until the time `until` (s)."""
        self._arrive(rate_per_s, until)
        while self._events:
            self._now, _, event = heapq.heappop(self._events)
            event()
        return self.tally

    def _at(self, delay_s: float, event: Callable[[], None]) -> None:
        item = (self._now + delay_s, next(self._order), event)
        heapq.heappush(self._events, item)

    def _arrive(self, rate_per_s: float, until: float) -> None:
        gap_s = self._arrivals.expovariate(rate_per_s)
        if self._now + gap_s > until:
            return

        def arrived() -> None:
            self._begin(self._arrivals.choice(self._entries))
            self._arrive(rate_per_s, until)

        self._at(gap_s, arrived)

    def _begin(self, entry: Entry) -> None:
        call = Call(
            call_id="c",
            service="bollettino",
            request=Request("GET", "/bollettino/x"),
            rules=RULES,
            idempotent=True,
            deadline=self._now + DEADLINE_S,
            expires_ms=0,
            caller="rider",
        )
        opened = OpenCall(call, entry, self._now)
        entry.retries.record_first_attempt(call, self._now)
        delay_s = entry.hedges.delay_s(call, self._now)
        self._attempt(opened)
        if delay_s is not None and not opened.answered:
            self._at(delay_s, lambda: self._hedge(opened, delay_s))

    def _hedge(self, opened: OpenCall, delay_s: float) -> None:
        if opened.answered or opened.attempts != 1:
            return
        if opened.entry.hedges.try_spend(opened.call, self._now):
            self._attempt(opened)
        else:
            self._at(delay_s, lambda: self._hedge(opened, delay_s))

    def _attempt(self, opened: OpenCall) -> None:
        entry = opened.entry
        member = entry.chooser.choose(self._members, self._now, opened.tried)
        if member is None:
            if not opened.open:
                self._close(opened, _FULL)
            return
        opened.tried |= {member.name}
        opened.attempts += 1
        entry.chooser.attempt_started(member.name, self._now)
        attempt = Attempt(opened, member, self._now, _way_s(entry, member))
        opened.open.append(attempt)
        self._at(attempt.way_s, lambda: self._offer(attempt))

    def _offer(self, attempt: Attempt) -> None:
        queue = self._queues[attempt.member.name]
        if attempt.ended:
            return
        if queue.refusing:
            self._answer(attempt, _FULL)
        elif queue.failing:
            self._at(0.0005, lambda: self._answer(attempt, _FAILED))
        elif queue.running < SLOTS:
            self._serve(queue, attempt)
        elif len(queue.waiting) < QUEUE_LENGTH:
            queue.waiting.append(attempt)
        else:
            self._answer(attempt, _FULL)

    def _serve(self, queue: Queue, attempt: Attempt) -> None:
        queue.running += 1
        attempt.running = True
        mean_s = SERVICE_S * queue.slow(self._now)
        service_s = self._service.expovariate(1 / mean_s)
        self._at(service_s, lambda: self._served(queue, attempt))

    def _served(self, queue: Queue, attempt: Attempt) -> None:
        if not attempt.running:
            return
        self._free(queue, attempt)
        self._answer(attempt, _OK)

    def _free(self, queue: Queue, attempt: Attempt) -> None:
        attempt.running = False
        queue.running -= 1
        while queue.waiting and queue.running < SLOTS:
            waiting = queue.waiting.popleft()
            if not waiting.ended:
                self._serve(queue, waiting)

    def _answer(self, attempt: Attempt, outcome: Outcome) -> None:
        load = self._queues[attempt.member.name].load(self._now)
        self._at(attempt.way_s, lambda: self._ended(attempt, outcome, load))

    def _ended(
        self, attempt: Attempt, outcome: Outcome, load: LoadReport
    ) -> None:
        if attempt.ended:
            return
        opened = attempt.call
        self._note(attempt, outcome, load)
        if isinstance(outcome, Done):
            self._close(opened, outcome)
        elif not opened.open:
            retries = opened.entry.retries
            if retries.should_retry(
                opened.call, outcome, opened.attempts, self._now
            ):
                self._attempt(opened)
            else:
                self._close(opened, outcome)

    def _note(
        self,
        attempt: Attempt,
        outcome: Outcome | None,
        load: LoadReport | None,
    ) -> None:
        attempt.ended = True
        attempt.call.open.remove(attempt)
        entry, now = attempt.call.entry, self._now
        elapsed_s = now - attempt.began
        name = attempt.member.name
        entry.chooser.attempt_finished(name, now, elapsed_s, outcome, load)
        entry.hedges.finished(attempt.call.call, now, elapsed_s, outcome, load)

    def _close(self, opened: OpenCall, outcome: Outcome) -> None:
        opened.answered = True
        for loser in list(opened.open):
            self._note(loser, None, None)
            self._at(loser.way_s, lambda a=loser: self._cancelled(a))  # type: ignore[misc]
        if opened.arrived < self._measure_from:
            return
        self.tally.attempts += opened.attempts
        self.tally.answers_s.append(self._now - opened.arrived)
        self.tally.errors += outcome is not _OK
        self.tally.at_first_target += self._members[0].name in opened.tried

    def _cancelled(self, attempt: Attempt) -> None:
        if attempt.running:
            self._free(self._queues[attempt.member.name], attempt)


def _way_s(entry: Entry, member: Member) -> float:
    if entry.name == member.name:
        return 0.0
    if entry.failure_domain == member.failure_domain:
        return FORWARD_S
    return FORWARD_S + ONE_WAY_S
