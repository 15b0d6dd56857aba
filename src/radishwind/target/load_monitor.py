"""The load of the server beside as it told it last, and when to ask anew.

Answers tell it for nothing. A health check is sent only into silence, so that
it costs nothing while requests flow.
"""

import collections
from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.routing.pace_statistics import PaceStatistics
from radishwind.target.change_grid import ChangeGrid
from radishwind.target.dialect import ServerLoad
from radishwind.target.pace import Pace

#: Silence after which a server that is in use is asked (s). Its pace holds for
#: about 150 ms, so an older figure says little.
BUSY_SILENCE_S = 0.05

#: The same for one that nobody uses (s).
IDLE_SILENCE_S = 0.5

#: A server that nobody used for so long is looked at no more for its moments
#: of change (s); they are learned anew once it is used.
FORGET_S = 15.0

#: A server counts as in use for this long after a request (s).
USE_S = 1.0

#: A server is looked at this closely until it is known when its pace changes,
#: but no longer than this after its first figure (s).
LEARN_SILENCE_S = 0.01
LEARN_S = 4.0

#: The same where others told the period, as a part of it: two changes then show
#: the grid, and with what a look itself takes each is located well enough to be
#: told from chance.
EXPECTED_SILENCE_PART = 0.07

#: The best pace of so long is what a good spell gives there (s): with a third
#: of the spells slow, ten of 0.15 s are all slow once in 30,000 times.
BASE_S = 1.5

#: The same while nothing is known of the server yet (s): after a loss of power
#: each 0.1 s of waiting is lost on every instance at once.
SEARCH_SILENCE_S = 0.05

#: How a pace fades towards the usual mean without news (s).
FADE_S = 0.25


class LoadMonitor:
    """The newest load figure; listeners hear of each one.

    Attributes:
      load: as told last; `None` before the first.
      last_reported: when that was (monotonic s).
      checks_sent: health checks sent.
    """

    def __init__(
        self,
        clock: Clock,
        learns_for_others: Callable[[], bool] | None = None,
        callers_come_at_once: bool = True,
    ) -> None:
        """Knows nothing of the server yet.

        Args:
          clock: the clock.
          learns_for_others: returns whether this node is one of those that
            learn when the pace changes before there are callers, and tell the
            others; by default it is.
          callers_come_at_once: whether callers come as soon as the node runs.
            Where not, as in the first start of a whole system, the nodes that
            don't learn for others spend no look before the first caller: of
            195 that started 12 s before their callers each made some 300. A
            server that joins a system in use has to be looked at though, else
            those whose pace is known are always better.
        """
        self._clock = clock
        self._has_callers = callers_come_at_once
        self._learns_for_others = learns_for_others or _always
        self.load: ServerLoad | None = None
        self.last_reported = -IDLE_SILENCE_S
        self.checks_sent = 0
        # A start counts as use: callers come soon after it.
        self._used = clock.monotonic()
        self._recent: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # The least of them; asked several times a request.
        self._base = 1.0
        self._learning_since = clock.monotonic()
        # The last figure can't have been measured before this. An answer may
        # have waited to be read, so only what was asked for tells it.
        self._measured = self.last_reported
        # When the last health check was sent.
        self._looked = self.last_reported
        self.change_grid = ChangeGrid()
        self.pace_statistics = PaceStatistics()
        self._listeners: list[Callable[[], None]] = []
        self._use_listeners: list[Callable[[], None]] = []

    def subscribe_use(self, listener: Callable[[], None]) -> None:
        """Calls `listener` where the server is used after it was idle."""
        self._use_listeners.append(listener)

    def expect_interval(self, period_s: float) -> None:
        """Takes the time between moments of change that others found (s)."""
        self.change_grid.expect_interval(period_s)
        if period_s and not self.change_grid.interval_s:
            self._learning_since = self._clock.monotonic()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls `listener` after each figure."""
        self._listeners.append(listener)

    def reset(self) -> None:
        """Takes that a new life of the server began.

        The moments of change stay: they are the instance's, which the server
        shares with others.
        """
        self.load = None
        self.last_reported = -IDLE_SILENCE_S
        self._recent.clear()
        self._base = 1.0

    def record_check_sent(self) -> None:
        """Notes that a health check is sent."""
        self._looked = self._clock.monotonic()

    def record_request(self) -> None:
        """Notes that a request came for the server."""
        self.record_callers_present()
        now = self._clock.monotonic()
        idle_s = now - self._used
        if idle_s > FORGET_S:
            self._learning_since = now
        self._used = now
        if idle_s > USE_S:
            self._tell_use()

    def record_callers_present(self) -> None:
        """Takes that callers use the system, though not yet this server."""
        if self._has_callers:
            return
        self._has_callers = True
        self._used = self._learning_since = self._clock.monotonic()
        self._tell_use()

    def record_load(self, load: ServerLoad, asked: float | None = None) -> None:
        """Takes a figure that the server told.

        Args:
          load: the figure.
          asked: when it was asked for (monotonic s), if it was.
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
                self._note_change(now)
        self.load = load
        self.last_reported = now
        if asked is not None:
            self._measured = asked
        self._recent.append((now, load.pace))
        while self._recent[0][0] < now - BASE_S:
            self._recent.popleft()
        self._base = min(pace for _, pace in self._recent)
        for listener in self._listeners:
            listener()

    def _note_change(self, now: float) -> None:
        """Learns from a change; a grid given up is looked for anew."""
        known = bool(self.change_grid.interval_s)
        self.change_grid.record_change(self._measured, now)
        if known and not self.change_grid.interval_s:
            self._learning_since = now

    def current_pace(self) -> Pace:
        """Returns the pace as of now."""
        factor = self._factor()
        period_s = self.change_grid.interval_s
        if not period_s:
            return Pace(factor, self.base_pace())
        left_s = self.change_grid.until_next_s(self._clock.monotonic())
        return Pace(factor, self.base_pace(), period_s, left_s)

    def base_pace(self) -> float:
        """Returns the best pace in the last spells."""
        return self._base

    def load_age_s(self) -> float:
        """Returns how old the last figure is (s)."""
        return self._clock.monotonic() - self.last_reported

    def unseen_change_age_s(self) -> float:
        """Returns how long ago a change may have gone unseen (s); 0 if none."""
        now = self._clock.monotonic()
        last = self.change_grid.last_change_point(now)
        return now - last if self.last_reported < last else 0.0

    def _factor(self) -> float:
        """Returns how long work takes now; older figures fade to the mean."""
        if self.load is None:
            return self.pace_statistics.mean_pace
        age_s = self._clock.monotonic() - self.last_reported
        if self.change_grid.interval_s or age_s <= BUSY_SILENCE_S:
            return self.load.pace
        kept: float = 0.5 ** (age_s / FADE_S)
        mean = self.pace_statistics.mean_pace * self.base_pace()
        return mean + (self.load.pace - mean) * kept

    def next_check_s(self) -> float:
        """Returns in how long a health check is due (s); 0 for now."""
        now = self._clock.monotonic()
        if self._is_spared():
            return IDLE_SILENCE_S
        if self.change_grid.interval_s:
            if now - self._used < FORGET_S:
                return self._next_spell_in_s(now)
            self.change_grid.reset()
        in_use = now - self._used < USE_S
        silence_s = BUSY_SILENCE_S if in_use else IDLE_SILENCE_S
        if self.load is None:
            silence_s = SEARCH_SILENCE_S
        elif now - self._learning_since < LEARN_S:
            silence_s = LEARN_SILENCE_S
            if self.change_grid.expected_s:
                expected_s = EXPECTED_SILENCE_PART * self.change_grid.expected_s
                silence_s = max(LEARN_SILENCE_S, expected_s)
        return max(0.0, self.last_reported + silence_s - now)

    def _tell_use(self) -> None:
        for listener in self._use_listeners:
            listener()

    def _is_spared(self) -> bool:
        """Returns whether nobody needs to know more of the server yet."""
        if self._has_callers or self.load is None:
            return False
        return not self._learns_for_others()

    def _next_spell_in_s(self, now: float) -> float:
        """Returns when to look for a new pace (s): beside moments of change.

        An answer that came since then told it already.
        """
        last = self.change_grid.last_change_point(now)
        period_s = self.change_grid.interval_s
        looks = sorted(
            moment + look_s
            for moment in (last, last + period_s)
            for look_s in self.change_grid.check_offsets_s
        )
        past = max((at for at in looks if at <= now), default=last)
        if self._looked < past and self.last_reported < past:
            return 0.0
        return min(at for at in looks if at > now) - now


def _always() -> bool:
    return True
