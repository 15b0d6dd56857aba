"""Tracks the latest load report of the backend server and when to ask for one.

Responses carry the load at no extra cost. A health check is sent only when the
latest report is too old, so that it costs nothing while requests flow.
"""

import collections
from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.routing.pace_statistics import PaceStatistics
from radishwind.supervision import notify
from radishwind.target.change_grid import ChangeGrid
from radishwind.target.dialect import ServerLoad
from radishwind.target.pace import Pace

#: Age of the load report from which on a server in use is checked (s). The pace
#: lasts for about 150 ms, so an older report says little.
BUSY_REPORT_AGE_S = 0.05

#: The same for an unused server (s).
IDLE_REPORT_AGE_S = 0.5

#: Time without requests after which change points are no longer tracked (s);
#: they are learned again once the server is used.
FORGET_UNUSED_S = 15.0

#: A server counts as in use for this long after a request (s).
IN_USE_S = 1.0

#: Report age from which on a server is checked while its change points are
#: being learned (s), and how long that lasts at most after the first report
#: (s).
LEARNING_REPORT_AGE_S = 0.01
LEARNING_S = 4.0

#: The report age while learning where other nodes reported the interval, as a
#: fraction of that interval. Two changes then identify the grid: even including
#: the duration of a check, each is located precisely enough to distinguish the
#: grid from random changes.
EXPECTED_REPORT_AGE_FRACTION = 0.07

#: Window of the base pace, the best one reported (s): with a third of the pace
#: intervals slow, ten of 0.15 s each are all slow once in 30,000 windows.
BASE_PACE_WINDOW_S = 1.5

#: Interval of the checks while nothing is known of the server (s): after a
#: power loss, each 0.1 s of waiting is lost on every instance at once.
INITIAL_CHECK_INTERVAL_S = 0.05

#: Interval of the checks while the server limits its requests (s). They count
#: towards the limit, but may be the first to tell that it ended.
LIMITED_CHECK_INTERVAL_S = 1.5

#: Half-life with which an old pace decays to the mean pace (s).
PACE_HALF_LIFE_S = 0.25


class LoadMonitor:
    """Holds the latest load report and notifies subscribers of each one.

    Attributes:
      load: the latest report; `None` before the first.
      last_reported: when it arrived, or when the latest check that brought no
        report was sent (monotonic s).
      checks_sent: health checks sent.
      change_grid: when the pace of the server changes.
      pace_statistics: how often the server is slow, and how slow it is then.
    """

    def __init__(
        self,
        clock: Clock,
        learns_for_others: Callable[[], bool] | None = None,
        callers_come_at_once: bool = True,
        is_limited: Callable[[], bool] | None = None,
    ) -> None:
        """Creates a monitor of a server of which nothing is known.

        Args:
          clock: the clock.
          learns_for_others: returns whether this node is one of those that
            learn the change points before there are callers and report them to
            the other nodes; by default it is.
          callers_come_at_once: whether callers are present as soon as the node
            runs. If not, as in the first start of a whole system, nodes that
            don't learn for others send no checks before the first caller:
            otherwise each of 195 nodes started 12 s before their callers sent
            about 300 checks. A server that joins a system in use has to be
            checked, though, since servers of known pace would always be
            preferred to it.
          is_limited: returns whether the server limits its requests; by default
            it doesn't.
        """
        self._clock = clock
        self._has_callers = callers_come_at_once
        self._learns_for_others = learns_for_others or _always
        self._is_limited = is_limited or _never
        self.load: ServerLoad | None = None
        self.last_reported = -IDLE_REPORT_AGE_S
        self.checks_sent = 0
        # A start counts as use, since callers follow soon.
        self._last_used = clock.monotonic()
        self._recent_paces: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # The minimum of the recent paces, cached since it is read several times
        # per request.
        self._base_pace = 1.0
        self._learning_since = clock.monotonic()
        # Lower bound of the time at which the latest report was measured. A
        # response may have waited to be read, so only health checks raise it.
        self._measured_after = self.last_reported
        # When the latest health check was sent.
        self._last_check = self.last_reported
        self.change_grid = ChangeGrid()
        self.pace_statistics = PaceStatistics()
        self._subscribers: list[Callable[[], None]] = []
        self._use_subscribers: list[Callable[[], None]] = []

    def subscribe_use(self, callback: Callable[[], None]) -> None:
        """Calls `callback` whenever the server is used after it was idle."""
        self._use_subscribers.append(callback)

    def expect_interval(self, interval_s: float) -> None:
        """Sets the change-point interval that other nodes found (s)."""
        self.change_grid.expect_interval(interval_s)
        if interval_s and not self.change_grid.interval_s:
            self._learning_since = self._clock.monotonic()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` after each load report."""
        self._subscribers.append(callback)

    def reset(self) -> None:
        """Forgets the load of the previous process of the server.

        The change points are kept: they belong to the instance, which the
        server shares with others.
        """
        self.load = None
        self.last_reported = -IDLE_REPORT_AGE_S
        self._recent_paces.clear()
        self._base_pace = 1.0

    def record_check_sent(self) -> None:
        """Records that a health check is sent."""
        self._last_check = self._clock.monotonic()

    def record_request(self) -> None:
        """Records a request for the server."""
        self.record_callers_present()
        now = self._clock.monotonic()
        idle_s = now - self._last_used
        if idle_s > FORGET_UNUSED_S:
            self._learning_since = now
        self._last_used = now
        if idle_s > IN_USE_S:
            self._notify_use()

    def record_callers_present(self) -> None:
        """Records that callers use the system, if not yet this server."""
        if self._has_callers:
            return
        self._has_callers = True
        self._last_used = self._learning_since = self._clock.monotonic()
        self._notify_use()

    def record_load(self, load: ServerLoad, asked: float | None = None) -> None:
        """Records a load report of the server.

        Args:
          load: the report.
          asked: when the health check that it answers was sent (monotonic s);
            `None` if it came with another response.
        """
        now = self._clock.monotonic()
        if self.load is None:
            self._learning_since = now
        else:
            base = self.base_pace()
            self.pace_statistics.observe(
                self.load.pace / base, now - self.last_reported
            )
            if load.pace != self.load.pace:
                self._record_change(now)
        self.load = load
        self.last_reported = now
        if asked is not None:
            self._measured_after = asked
        self._recent_paces.append((now, load.pace))
        while self._recent_paces[0][0] < now - BASE_PACE_WINDOW_S:
            self._recent_paces.popleft()
        self._base_pace = min(pace for _, pace in self._recent_paces)
        for callback in self._subscribers:
            notify("target.load_listeners", callback)

    def _record_change(self, now: float) -> None:
        """Records a change of pace; relearns the grid if it is discarded."""
        known = bool(self.change_grid.interval_s)
        self.change_grid.record_change(self._measured_after, now)
        if known and not self.change_grid.interval_s:
            self._learning_since = now

    def current_pace(self) -> Pace:
        """Returns the pace as of now."""
        factor = self._pace_factor()
        interval_s = self.change_grid.interval_s
        if not interval_s:
            return Pace(factor, self.base_pace())
        left_s = self.change_grid.until_next_s(self._clock.monotonic())
        return Pace(factor, self.base_pace(), interval_s, left_s)

    def base_pace(self) -> float:
        """Returns the best pace reported within `BASE_PACE_WINDOW_S`."""
        return self._base_pace

    def load_age_s(self) -> float:
        """Returns the age of the latest report (s)."""
        return self._clock.monotonic() - self.last_reported

    def unseen_change_age_s(self) -> float:
        """Returns the time since the last change point without a report (s).

        It is 0 if a report arrived since that change point.
        """
        now = self._clock.monotonic()
        last = self.change_grid.last_change_point(now)
        return now - last if self.last_reported < last else 0.0

    def _pace_factor(self) -> float:
        """Returns the pace factor; an old report decays to the mean pace."""
        if self.load is None:
            return self.pace_statistics.mean_pace
        age_s = self._clock.monotonic() - self.last_reported
        if self.change_grid.interval_s or age_s <= BUSY_REPORT_AGE_S:
            return self.load.pace
        weight: float = 0.5 ** (age_s / PACE_HALF_LIFE_S)
        mean = self.pace_statistics.mean_pace * self.base_pace()
        return mean + (self.load.pace - mean) * weight

    def next_check_s(self) -> float:
        """Returns the time until a health check is due (s); 0 if it is now."""
        now = self._clock.monotonic()
        if self._is_check_deferred():
            return IDLE_REPORT_AGE_S
        if self._is_limited():
            return max(0.0, self._last_check + LIMITED_CHECK_INTERVAL_S - now)
        if self.change_grid.interval_s:
            if now - self._last_used < FORGET_UNUSED_S:
                return self._next_grid_check_s(now)
            self.change_grid.reset()
        in_use = now - self._last_used < IN_USE_S
        max_age_s = BUSY_REPORT_AGE_S if in_use else IDLE_REPORT_AGE_S
        if self.load is None:
            max_age_s = INITIAL_CHECK_INTERVAL_S
        elif now - self._learning_since < LEARNING_S:
            max_age_s = LEARNING_REPORT_AGE_S
            if self.change_grid.expected_s:
                expected_age_s = (
                    EXPECTED_REPORT_AGE_FRACTION * self.change_grid.expected_s
                )
                max_age_s = max(LEARNING_REPORT_AGE_S, expected_age_s)
        return max(0.0, self.last_reported + max_age_s - now)

    def _notify_use(self) -> None:
        for callback in self._use_subscribers:
            notify("target.load_listeners", callback)

    def _is_check_deferred(self) -> bool:
        """Returns whether the server needs no checks before callers arrive."""
        if self._has_callers or self.load is None:
            return False
        return not self._learns_for_others()

    def _next_grid_check_s(self, now: float) -> float:
        """Returns the time until the next check around a change point (s).

        A check is skipped if a response reported the load since it was due.
        """
        last = self.change_grid.last_change_point(now)
        interval_s = self.change_grid.interval_s
        due_times = sorted(
            change_point + offset_s
            for change_point in (last, last + interval_s)
            for offset_s in self.change_grid.check_offsets_s
        )
        past = max((at for at in due_times if at <= now), default=last)
        if self._last_check < past and self.last_reported < past:
            return 0.0
        return min(at for at in due_times if at > now) - now


def _always() -> bool:
    return True


def _never() -> bool:
    return False
