"""What the node knows of the server beside it: address, state, warmth."""

from collections.abc import Callable
import enum
from typing import Any

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.outcomes.model import NotRun

#: How long a server that just started counts as cold (s), unless its health
#: tells better.
WARM_UP_S = 10.0

#: What a server that just started is given at least, as a share of a warm one.
COLDEST = 0.1

_RETRY_S = 1.0


class ServerState(enum.StrEnum):
    """What a server says of itself."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a server tells the node beside it, at its start and every second.

    Attributes:
      target: its name in the inventory.
      address: where it receives requests, `HOST:PORT`.
      state: whether it takes new work.
      instance: unique for each start of the server.
      uptime_s: time since it started (s); `None` if it does not tell.
      health_path: where it answers probes; empty if nowhere.
    """

    target: str
    address: str
    state: ServerState = ServerState.READY
    instance: str = ""
    uptime_s: float | None = None
    health_path: str = ""


class AnnouncementRefusedError(RadishwindError):
    """An announcement is malformed or for another target."""

    code = ResultCode.ANNOUNCEMENT_REFUSED


class ServerView(msgspec.Struct, frozen=True):
    """What was last announced.

    Attributes:
      address: where the server receives requests.
      state: as announced.
      instance: of the announcement; empty for an address from the settings.
      started: monotonic time (s) of its start; `None` if not told.
      health_path: where it answers probes; empty if nowhere.
      last_announced: monotonic time (s) of the last announcement.
    """

    address: Address
    state: ServerState = ServerState.READY
    instance: str = ""
    started: float | None = None
    health_path: str = ""
    last_announced: float = 0.0


class BackendServer:
    """The server beside the node; nothing is sent to it unless it is listed.

    Args:
      target: the name of the target in the inventory.
      address: from the settings; `None` for a server that announces itself.
      ready_changed: told whenever `ready` changes.
    """

    def __init__(
        self,
        target: str,
        address: Address | None,
        ready_changed: Callable[[bool], None] = lambda ready: None,
    ) -> None:
        self._target = target
        self._view = ServerView(address) if address else None
        self._listed: bool | None = None
        self._told_warm: float | None = None
        self._health_draining = False
        self._ready_changed = ready_changed
        self._ready_told = self.ready

    @property
    def view(self) -> ServerView | None:
        """What is known; `None` before the first announcement."""
        return self._view

    @property
    def listed(self) -> bool | None:
        """Whether the inventory lists the target; `None` before the first."""
        return self._listed

    @property
    def ready(self) -> bool:
        """Whether the server is known and says that it takes new work."""
        return self._view is not None and not self.draining

    @property
    def is_domain_evacuated(self) -> bool:
        """Whether its failure domain is to get nothing new."""
        return False

    @property
    def draining(self) -> bool:
        """Whether the server says that it takes no new work."""
        if self._view is None:
            return False
        return self._health_draining or (
            self._view.state is ServerState.DRAINING
        )

    def set_listed(self, listed: bool) -> None:
        """Takes whether the inventory lists the target."""
        self._listed = listed

    def accept_announcement(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Takes an announcement; returns whether the server is a new start.

        Raises:
          AnnouncementRefusedError: it is for another target or malformed.
        """
        if announcement.target != self._target:
            raise AnnouncementRefusedError(
                f"expected target {self._target!r}, "
                f"got {announcement.target[:80]!r}"
            )
        try:
            address = Address.parse(announcement.address)
        except ValueError as exc:
            raise AnnouncementRefusedError(str(exc)) from exc
        old = self._view
        uptime_s = announcement.uptime_s
        self._view = ServerView(
            address,
            announcement.state,
            announcement.instance,
            None if uptime_s is None else now - uptime_s,
            announcement.health_path,
            now,
        )
        fresh = old is None or old.instance != announcement.instance
        if fresh:
            self._told_warm = None
            self._health_draining = False
        self._notify_ready()
        return fresh

    def record_health(self, state: ServerState, warm: float | None) -> None:
        """Takes what a probe was told.

        A server that announced draining stays so whatever its health says.
        """
        self._health_draining = state is ServerState.DRAINING
        self._told_warm = warm
        self._notify_ready()

    def _notify_ready(self) -> None:
        if self.ready == self._ready_told:
            return
        self._ready_told = self.ready
        self._ready_changed(self.ready)

    def refusal(self) -> NotRun | None:
        """Returns why nothing may be sent to the server, if so."""
        if not self._listed:
            return NotRun(
                ResultCode.TARGET_UNLISTED,
                f"The inventory in force does not list {self._target}.",
                _RETRY_S,
            )
        if self._view is None:
            return NotRun(
                ResultCode.SERVER_UNANNOUNCED,
                "The server beside has not announced itself.",
                _RETRY_S,
            )
        if self.draining:
            return NotRun(
                ResultCode.LEAVING, "The server is draining.", _RETRY_S
            )
        return None

    def warm_fraction(self, now: float) -> float:
        """Returns 0 for a server just started to 1 for a warm one."""
        if self._view is None:
            return 0.0
        ramp = 1.0
        if self._view.started is not None:
            ramp = min(1.0, (now - self._view.started) / WARM_UP_S)
        if self._told_warm is not None:
            ramp = self._told_warm
        return max(COLDEST, min(1.0, ramp))

    def status(self, now: float) -> dict[str, Any]:
        """Returns what operators are shown."""
        view = self._view
        if view is None:
            return {"announced": False, "listed": self._listed}
        return {
            "announced": bool(view.instance),
            "listed": self._listed,
            "address": str(view.address),
            "state": "draining" if self.draining else str(view.state),
            "warm": round(self.warm_fraction(now), 3),
            "heard_s_ago": round(now - view.last_announced, 1)
            if view.last_announced
            else None,
        }
