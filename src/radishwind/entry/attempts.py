"""Runs the attempts of one call: the first, hedges beside it, retries after."""

import anyio
import anyio.abc

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.runner import AttemptRunner
from radishwind.hedging.policy import HedgePolicy
from radishwind.http.types import abort_body
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import Unknown
from radishwind.retries.policy import RetryPolicy
from radishwind.routing.chooser import TargetChooser

#: When a caller may come back to a service without targets (s).
NO_TARGET_RETRY_S = 1.0


class Attempts:
    """Runs calls to their final outcome; holds no state of a call."""

    def __init__(
        self,
        *,
        clock: Clock,
        directory: Directory,
        chooser: TargetChooser,
        retries: RetryPolicy,
        hedges: HedgePolicy,
        runner: AttemptRunner,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._chooser = chooser
        self._retries = retries
        self._hedges = hedges
        self._runner = runner

    async def run(self, call: Call) -> Outcome:
        """Returns the final outcome of `call`."""
        history = _History(call)
        now = self._clock.monotonic()
        self._retries.first(call, now)
        delay_s = self._hedges.delay_s(call, now)
        last: Outcome | None = None
        while True:
            member = self._choose(history)
            if member is None:
                return last or _no_target(call)
            before = last
            if delay_s is None:
                last = await self._attempt(history, member)
            else:
                last = await self._race(history, member, delay_s)
                delay_s = None
            last = _so_far(before, last)
            now = self._clock.monotonic()
            if not self._retries.again(call, last, history.attempts, now):
                return last

    def _choose(self, history: "_History") -> Member | None:
        """Returns a target that this call has not been at, if there is one."""
        members = self._directory.of_service(history.call.service)
        now = self._clock.monotonic()
        return self._chooser.choose(members, now, history.tried)

    async def _race(
        self, history: "_History", member: Member, delay_s: float
    ) -> Outcome:
        """Runs an attempt and, if it is slow, a hedge; the first answer wins.

        The loser is cancelled, which closes its connection.
        """
        race = _Race()
        async with anyio.create_task_group() as tasks:
            race.tasks = tasks
            tasks.start_soon(self._hedge, history, race, delay_s)
            race.take(await self._attempt(history, member))
        return race.outcome()

    async def _hedge(
        self, history: "_History", race: "_Race", delay_s: float
    ) -> None:
        while True:
            await anyio.sleep(delay_s)
            member = self._choose(history)
            if member is None or race.first_ended:
                return
            # Without a token now, one may be there after the next wait: who
            # has no answer then is among the slowest.
            if self._hedges.spend(history.call, self._clock.monotonic()):
                break
        race.hedged = True
        race.take(await self._attempt(history, member))

    async def _attempt(self, history: "_History", member: Member) -> Outcome:
        call = history.call
        attempt_id = history.next_attempt(member.name)
        began = self._clock.monotonic()
        self._chooser.started(member.name, began)
        outcome, load = None, None
        try:
            result = await self._runner.run(call, member, attempt_id)
            outcome, load = result.outcome, result.load
        finally:
            now = self._clock.monotonic()
            elapsed_s = now - began
            self._chooser.finished(member.name, now, elapsed_s, outcome, load)
            self._hedges.finished(call, now, elapsed_s, outcome, load)
        return outcome


class _History:
    """The attempts of one call so far."""

    __slots__ = ("attempts", "call", "tried")

    def __init__(self, call: Call) -> None:
        self.call = call
        self.attempts = 0
        self.tried: frozenset[str] = frozenset()

    def next_attempt(self, target: str) -> str:
        """Notes an attempt at `target` and returns its id."""
        self.attempts += 1
        self.tried |= {target}
        return f"{self.call.call_id}.{self.attempts}"


class _Race:
    """Takes the outcomes of attempts side by side and keeps one.

    Attributes:
      tasks: runs them; cancelled once one has answered.
      first_ended: whether any has ended.
      hedged: whether a second one began.
    """

    __slots__ = ("_kept", "first_ended", "hedged", "tasks")

    def __init__(self) -> None:
        self.tasks: anyio.abc.TaskGroup | None = None
        self.first_ended = False
        self.hedged = False
        self._kept: Outcome | None = None

    def take(self, outcome: Outcome) -> None:
        """Takes one outcome; an answer ends the race."""
        if isinstance(self._kept, Done):
            if isinstance(outcome, Done):
                abort_body(outcome.response.body)
            return
        others_run = self.hedged and not self.first_ended
        self.first_ended = True
        self._kept = _graver(self._kept, outcome)
        if isinstance(outcome, Done) or not others_run:
            assert self.tasks is not None
            self.tasks.cancel_scope.cancel()

    def outcome(self) -> Outcome:
        """Returns the outcome of the race."""
        assert self._kept is not None
        return self._kept


def _graver(kept: Outcome | None, outcome: Outcome) -> Outcome:
    """Returns what holds of both: an answer, else unknown, else not run."""
    if kept is None or isinstance(outcome, Done):
        return outcome
    return outcome if isinstance(kept, NotRun) else kept


def _so_far(before: Outcome | None, outcome: Outcome) -> Outcome:
    """Returns what holds of a call: what may have run stays unknown."""
    if isinstance(before, Unknown) and isinstance(outcome, NotRun):
        return before
    return outcome


def _no_target(call: Call) -> NotRun:
    return NotRun(
        ResultCode.NO_TARGET,
        f"No target of {call.service} takes requests now.",
        NO_TARGET_RETRY_S,
    )
