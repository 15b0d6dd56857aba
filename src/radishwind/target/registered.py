"""The server beside by its heartbeats: which incarnation counts, and leaving.

Heartbeats may arrive late, also from an incarnation that has ended. So one
that was replaced, or that said it leaves, never comes back; an incarnation
that answers a request itself is believed before any heartbeat.
"""

from collections.abc import Callable
import dataclasses

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.outcomes.model import NotRun
from radishwind.target.server import ServerBeside
from radishwind.target.server import ServerState
from radishwind.target.server import ServerView
from radishwind.telemetry.logs import PartLogger

#: Incarnations remembered that ended or leave; one instance has few in a day.
MOST_REMEMBERED = 256

#: When to come back to a server that is down (s): its node tells others first.
_DOWN_RETRY_S = 0.2

#: A server that took no connection is asked again after this time (s).
DOWN_CHECK_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """What one heartbeat tells.

    Attributes:
      incarnation: unique for each start of the server.
      service: the service it gives; empty if not told.
      address: where it receives requests.
      slots: requests it runs at once.
      leaving: whether it takes no new work any more.
      cold_s: how long it is still slow after its start (s).
      order: grows with each heartbeat of one incarnation.
    """

    incarnation: str
    service: str
    address: Address | None
    slots: int
    leaving: bool
    cold_s: float
    order: int


class RegisteredServer(ServerBeside):
    """The server beside as its heartbeats and answers tell."""

    def __init__(
        self,
        target: str,
        service: str,
        address: Address,
        clock: Clock,
        ready_changed: Callable[[bool], None],
    ) -> None:
        """Knows nothing but where the server is to be.

        Args:
          target: the name of the target.
          service: the service that the settings name.
          address: where the settings say that it receives requests.
          clock: the clock.
          ready_changed: told whenever `ready` changes.
        """
        super().__init__(target, None, ready_changed)
        self.list(True)
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._address = address
        self._health_path = ""
        self._order = 0
        self._cold_until = 0.0
        self._down_since: float | None = None
        # Those that ended or leave, the oldest first.
        self._ended: dict[str, None] = {}
        self.service = service
        self.slots = 0

    @property
    def incarnation(self) -> str:
        """The incarnation believed to answer; empty if none is."""
        return self._view.instance if self._view else ""

    @property
    def ready(self) -> bool:
        return super().ready and self._down_since is None

    @property
    def health_path(self) -> str:
        """Where servers of the service answer health checks."""
        return self._health_path

    @property
    def down(self) -> bool:
        """Whether the server took no connection when it was last tried."""
        return self._down_since is not None

    def register(self, told: Registration) -> bool:
        """Takes a heartbeat; returns whether it changed what is believed."""
        if told.leaving:
            return self.leave(told.incarnation)
        if told.incarnation in self._ended:
            return False
        if told.incarnation == self.incarnation:
            return self._again(told)
        self._replace(told)
        return True

    def leave(self, incarnation: str) -> bool:
        """Takes that `incarnation` takes no new work any more, for good."""
        known = incarnation in self._ended
        self._remember(incarnation)
        if incarnation != self.incarnation or self._view is None:
            return not known
        self._view = dataclasses.replace(self._view, state=ServerState.DRAINING)
        if not known:
            self._log.change(
                "The server leaves; it gets nothing new.",
                incarnation=incarnation,
            )
        self._tell_ready()
        return not known

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether `incarnation` ended or leaves."""
        return incarnation in self._ended

    def answered_by(self, meant: str, incarnation: str) -> None:
        """Takes that `incarnation` answered where `meant` was to."""
        if meant != self.incarnation or not incarnation:
            return
        self._remember(meant)
        view = self._view
        if view is None:
            return
        state = ServerState.READY
        if incarnation in self._ended:
            state = ServerState.DRAINING
        self._view = dataclasses.replace(
            view, instance=incarnation, state=state
        )
        self._order = 0
        self._log.change(
            "Another incarnation answers at the server's address.",
            meant=meant,
            answered=incarnation,
        )
        self._tell_ready()

    def check_at(self, path: str) -> None:
        """Takes the path of health checks of the service."""
        self._health_path = path
        if self._view is not None:
            self._view = dataclasses.replace(self._view, health_path=path)

    def move(self, address: Address, service: str) -> None:
        """Takes what the settings say anew."""
        if address != self._address or service != self.service:
            self._log.change(
                "The settings name another server.",
                address=str(address),
                service=service,
            )
        self._address = address
        self.service = service

    def unreachable(self) -> None:
        """Takes that the server accepts no connection."""
        if self._down_since is None:
            self._down_since = self._clock.monotonic()
            self._log.change(
                "The server takes no connections.",
                incarnation=self.incarnation,
            )
            self._tell_ready()

    def reachable(self) -> None:
        """Takes that the server accepted a connection."""
        if self._down_since is None:
            return
        down_s = self._clock.monotonic() - self._down_since
        self._down_since = None
        self._log.change(
            "The server takes connections again.",
            incarnation=self.incarnation,
            down_s=round(down_s, 3),
        )
        self._tell_ready()

    def refusal(self) -> NotRun | None:
        refused = super().refusal()
        if refused is None and self._down_since is not None:
            return NotRun(
                ResultCode.SERVER_DOWN,
                "The server beside takes no connections.",
                _DOWN_RETRY_S,
            )
        return refused

    def warm(self, now: float) -> float:
        if self._view is None:
            return 0.0
        return 0.5 if now < self._cold_until else 1.0

    def _again(self, told: Registration) -> bool:
        """Takes a further heartbeat of the incarnation that is believed."""
        if told.order <= self._order:
            return False
        self._order = told.order
        self._note(told)
        return False

    def _replace(self, told: Registration) -> None:
        before = self.incarnation
        if before:
            self._remember(before)
        self._order = told.order
        self._note(told)
        self._view = ServerView(
            told.address or self._address,
            ServerState.READY,
            told.incarnation,
            None,
            self._health_path,
            self._clock.monotonic(),
        )
        self._down_since = None
        self._log.change(
            "The server registered.",
            incarnation=told.incarnation,
            before=before,
            service=told.service,
            slots=told.slots,
        )
        self._tell_ready()

    def _note(self, told: Registration) -> None:
        now = self._clock.monotonic()
        self._cold_until = now + told.cold_s
        if told.slots:
            self.slots = told.slots
        if told.service:
            self.service = told.service

    def _remember(self, incarnation: str) -> None:
        self._ended[incarnation] = None
        while len(self._ended) > MOST_REMEMBERED:
            del self._ended[next(iter(self._ended))]
