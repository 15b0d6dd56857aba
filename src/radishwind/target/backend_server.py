"""What the node knows of its backend server: address, state, warm-up."""

from collections.abc import Callable
import enum
from typing import Any

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.decoding.numbers import NonNegativeFloat
from radishwind.http.types import Address
from radishwind.outcomes.model import NotRun

#: Time for which a server counts as cold after its start (s), unless its health
#: checks report the warm-up.
WARMUP_S = 10.0

#: Lower bound of the warm fraction: a server that has just started gets at
#: least this share of the load of a warm one.
MIN_WARM_FRACTION = 0.1

_RETRY_AFTER_S = 1.0


class ServerState(enum.StrEnum):
    """The state that a server reports."""

    STARTING = "starting"
    READY = "ready"
    DRAINING = "draining"


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a server reports to its node, at its start and every second.

    Attributes:
      target: its name in the inventory.
      address: where it receives requests, `HOST:PORT`.
      state: whether it accepts new work.
      instance: unique for each start of the server.
      uptime_s: time since it started (s); `None` if not reported.
      health_path: path of its health check; empty if it has none.
    """

    target: str
    address: str
    state: ServerState = ServerState.READY
    instance: str = ""
    uptime_s: NonNegativeFloat | None = None
    health_path: str = ""


class AnnouncementRefusedError(RadishwindError):
    """An announcement is malformed or for another target."""

    code = ResultCode.ANNOUNCEMENT_REFUSED


class ServerView(msgspec.Struct, frozen=True):
    """The server as last announced.

    Attributes:
      address: where the server receives requests.
      state: the announced state.
      instance: as announced; empty for an address from the settings.
      started: its start (monotonic s); `None` if not reported.
      health_path: path of its health check; empty if it has none.
      last_announced: time of the last announcement (monotonic s).
    """

    address: Address
    state: ServerState = ServerState.READY
    instance: str = ""
    started: float | None = None
    health_path: str = ""
    last_announced: float = 0.0


class BackendServer:
    """The backend server of this node; it gets requests only if it is listed.

    Args:
      target: the name of the target in the inventory.
      address: from the settings; `None` for a server that announces itself.
      on_ready_changed: called with the new value whenever `ready` changes.
    """

    def __init__(
        self,
        target: str,
        address: Address | None,
        on_ready_changed: Callable[[bool], None] = lambda ready: None,
    ) -> None:
        self._target = target
        self._view = ServerView(address) if address else None
        self._listed: bool | None = None
        self._reported_warm_fraction: float | None = None
        self._health_draining = False
        self._on_ready_changed = on_ready_changed
        self._notified_ready = self.is_ready

    @property
    def view(self) -> ServerView | None:
        """The server as last announced; `None` before that."""
        return self._view

    @property
    def is_listed(self) -> bool | None:
        """Whether the inventory lists the target; `None` if not known yet."""
        return self._listed

    @property
    def is_ready(self) -> bool:
        """Whether the server is known and reports that it accepts new work."""
        return self._view is not None and not self.is_draining

    @property
    def is_domain_evacuated(self) -> bool:
        """Whether its failure domain gets no new work."""
        return False

    @property
    def is_draining(self) -> bool:
        """Whether the server reports that it accepts no new work."""
        if self._view is None:
            return False
        return self._health_draining or (
            self._view.state is ServerState.DRAINING
        )

    def set_listed(self, listed: bool) -> None:
        """Sets whether the inventory lists the target."""
        self._listed = listed

    def accept_announcement(
        self, announcement: Announcement, now: float
    ) -> bool:
        """Accepts an announcement; returns whether it is of a new start.

        Args:
          announcement: the announcement.
          now: the time (monotonic s).

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
        previous = self._view
        uptime_s = announcement.uptime_s
        self._view = ServerView(
            address,
            announcement.state,
            announcement.instance,
            None if uptime_s is None else now - uptime_s,
            announcement.health_path,
            now,
        )
        is_new = previous is None or previous.instance != announcement.instance
        if is_new:
            self._reported_warm_fraction = None
            self._health_draining = False
        self._notify_ready()
        return is_new

    def record_health(
        self, state: ServerState, warm_fraction: float | None
    ) -> None:
        """Records the response to a probe.

        A server that announced draining stays so whatever its health check
        says.

        Args:
          state: the reported state.
          warm_fraction: the reported warm fraction; `None` if not reported.
        """
        self._health_draining = state is ServerState.DRAINING
        self._reported_warm_fraction = warm_fraction
        self._notify_ready()

    def _notify_ready(self) -> None:
        if self.is_ready == self._notified_ready:
            return
        self._notified_ready = self.is_ready
        self._on_ready_changed(self.is_ready)

    def refusal(self) -> NotRun | None:
        """Returns why nothing may be sent to the server; `None` if it may."""
        if not self._listed:
            return NotRun(
                ResultCode.TARGET_UNLISTED,
                f"The inventory in force does not list {self._target}.",
                _RETRY_AFTER_S,
            )
        if self._view is None:
            return NotRun(
                ResultCode.SERVER_UNANNOUNCED,
                "The backend server has not announced itself.",
                _RETRY_AFTER_S,
            )
        if self.is_draining:
            return NotRun(
                ResultCode.LEAVING, "The server is draining.", _RETRY_AFTER_S
            )
        return None

    def warm_fraction(self, now: float) -> float:
        """Returns the warm-up progress, from 0 (just started) to 1 (warm)."""
        if self._view is None:
            return 0.0
        fraction = 1.0
        if self._view.started is not None:
            fraction = min(1.0, (now - self._view.started) / WARMUP_S)
        if self._reported_warm_fraction is not None:
            fraction = self._reported_warm_fraction
        return max(MIN_WARM_FRACTION, min(1.0, fraction))

    def status(self, now: float) -> dict[str, Any]:
        """Returns the fields of the status page."""
        view = self._view
        if view is None:
            return {"announced": False, "listed": self._listed}
        return {
            "announced": bool(view.instance),
            "listed": self._listed,
            "address": str(view.address),
            "state": "draining" if self.is_draining else str(view.state),
            "warm": round(self.warm_fraction(now), 3),
            "heard_s_ago": (
                round(now - view.last_announced, 1)
                if view.last_announced
                else None
            ),
        }
