"""What a planned stop does in which order, on a clock of our own."""

import heapq
import itertools

import anyio
import pytest

from radishwind.core import ManualClock
from radishwind.http import Request
from radishwind.http import Response
from radishwind.node.requests_in_progress import RequestsInProgress
from radishwind.sidecar import graceful_shutdown
from radishwind.sidecar.control import Readiness
from radishwind.sidecar.graceful_shutdown import DepartureNotices
from radishwind.sidecar.graceful_shutdown import GracefulShutdown

pytestmark = pytest.mark.anyio

GRACE_S = 6.0
READ = Request("GET", "/x")


class Day:
    """Time goes on when everybody sleeps; notes what happened and when."""

    def __init__(self, monkeypatch):
        self.clock = ManualClock()
        self.began = self.clock.monotonic()
        self.done = []
        self._sleepers = []
        self._order = itertools.count()
        monkeypatch.setattr(graceful_shutdown.anyio, "sleep", self.sleep)
        monkeypatch.setattr(
            graceful_shutdown.anyio, "move_on_after", self.move_on_after
        )

    @property
    def now(self):
        return round(self.clock.monotonic() - self.began, 3)

    def note(self, what):
        self.done.append((what, self.now))

    def at(self, what):
        return dict(self.done)[what]

    async def sleep(self, for_s):
        awake = anyio.Event()
        due = self.clock.monotonic() + for_s
        heapq.heappush(self._sleepers, (due, next(self._order), awake))
        await awake.wait()

    def move_on_after(self, for_s):
        scope = anyio.CancelScope()
        due = self.clock.monotonic() + for_s
        item = (due, next(self._order), _Cancels(scope))
        heapq.heappush(self._sleepers, item)
        return scope

    async def play(self):
        while True:
            await anyio.wait_all_tasks_blocked()
            if not self._sleepers:
                return
            due, _, sleeper = heapq.heappop(self._sleepers)
            self.clock.advance(max(0.0, due - self.clock.monotonic()))
            sleeper.set()


class _Cancels:
    def __init__(self, scope):
        self.set = scope.cancel


class Target:
    def __init__(self, day):
        self.refuse_new_work = lambda: day.note("target leaves")

    async def wait_drained(self):
        pass


class Listener:
    def __init__(self, day):
        self._day = day

    async def close(self, grace_s):
        self._day.note("closed")


class Stage:
    def __init__(self, day):
        self.day = day
        self.release = anyio.Event()
        self.readiness = Readiness(lambda: False)
        self.callers = RequestsInProgress(
            self._slow,
            day.clock,
            make_refusal=lambda: Response(503, (), b"late"),
        )
        self.attempts = RequestsInProgress(self._slow, day.clock)
        self.stop = GracefulShutdown(
            clock=day.clock,
            grace_s=GRACE_S,
            readiness=self.readiness,
            callers=self.callers,
            attempts=self.attempts,
            target=Target(day),
            farewell=DepartureNotices(
                lambda: day.note("says leaving"), self._say_left
            ),
        )
        self.answers = []

    async def _slow(self, request):
        await self.release.wait()
        return Response(200, (), b"done")

    async def _say_left(self):
        self.day.note("says left")

    async def ask(self, at_s):
        await self.day.sleep(at_s)
        answer = await self.callers.handle(READ)
        self.day.note(f"answered at {at_s}")
        self.answers.append((at_s, answer))

    async def platform(self, first_s, every_s=1.0):
        await self.day.sleep(first_s)
        for _ in range(2):
            await self.readiness.handle(Request("GET", "/-/ready"))
            await self.day.sleep(every_s)

    async def run(self):
        await self.stop.run([Listener(self.day)])


@pytest.fixture
def stage(monkeypatch):
    return Stage(Day(monkeypatch))


async def play(stage, *others):
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stage.run)
        for other in others:
            tasks.start_soon(*other)
        await stage.day.play()
        tasks.cancel_scope.cancel()


async def test_it_ends_soon_once_the_platform_was_told_twice(stage):
    stage.release.set()

    await play(stage, (stage.platform, 0.3))

    assert stage.day.at("target leaves") == pytest.approx(1.3, abs=0.1)
    assert stage.day.at("closed") < 2.0


async def test_the_server_serves_on_until_the_callers_are_gone(stage):
    stage.release.set()

    await play(stage)

    assert stage.day.at("says leaving") == pytest.approx(
        graceful_shutdown.NOTICE_S, abs=0.1
    )
    names = [what for what, _ in stage.day.done]
    assert names == ["says leaving", "target leaves", "says left", "closed"]


async def test_what_is_in_progress_is_answered_before_the_listeners_close(
    stage,
):
    async def let():
        await stage.day.sleep(4.0)
        stage.release.set()

    await play(stage, (stage.ask, 0.0), (stage.platform, 0.3), (let,))

    assert stage.day.at("answered at 0.0") == 4.0
    assert stage.day.at("closed") >= 4.0
    ((_, answer),) = stage.answers
    assert ("Connection", "close") in answer.headers


async def test_what_comes_late_in_the_grace_is_refused_at_once(stage):
    await play(stage, (stage.ask, 0.0), (stage.ask, 3.8))

    late = dict(stage.answers)[3.8]
    assert stage.day.at("answered at 3.8") == 3.8
    assert late.status == 503
    assert ("Connection", "close") in late.headers


async def test_it_closes_within_the_grace_whatever_still_runs(stage):
    await play(stage, (stage.ask, 0.0), (stage.platform, 0.3))

    assert stage.day.at("closed") <= GRACE_S * graceful_shutdown.CLOSE_PART
