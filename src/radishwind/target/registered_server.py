"""The server beside by its heartbeats: which life counts, and leaving.

Heartbeats may arrive late, also from a life that has ended. So one that was
replaced, or that said it leaves, never comes back, while a later one under the
same incarnation does. An incarnation that answers a request itself is believed
before any heartbeat.
"""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.outcomes.model import NotRun
from radishwind.target.backend_server import BackendServer
from radishwind.target.backend_server import ServerState
from radishwind.target.backend_server import ServerView
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.logs import PartLogger

#: Lives remembered that ended or leave; one instance has few in a day.
MOST_REMEMBERED = 256

#: A life that started before the believed one, by clocks that may step, is
#: taken once the believed one was silent for so long (s): it tells itself each
#: 1.5 s, and a heartbeat may be seconds late.
OLDER_AFTER_S = 4.0

#: When to come back to a server that is down (s): its node tells others first.
_DOWN_RETRY_S = 0.2

#: When to come back where the failure domain is emptied (s): servers elsewhere
#: take the request at once.
_EMPTIED_RETRY_S = 0.05

#: A server that took no connection is asked again after this time (s).
DOWN_CHECK_S = 0.25


class Registration(msgspec.Struct, frozen=True):
    """What one heartbeat tells.

    Attributes:
      incarnation: unique for each start of the server.
      service: the service it gives; empty if not told.
      address: where it receives requests.
      slots: requests it runs at once.
      leaving: whether it takes no new work any more.
      warmup_left_s: how long it is still slow after its start (s).
      sequence: grows with each heartbeat of one life.
      started_ms: when it started, by its own clock (ms since the epoch, UTC); 0
        where that was not told.
    """

    incarnation: str
    service: str
    address: Address | None
    slots: int
    leaving: bool
    warmup_left_s: float
    sequence: int
    started_ms: int = 0

    @property
    def process(self) -> ServerProcess:
        """The life that tells it."""
        return ServerProcess(self.incarnation, self.started_ms)


class RegisteredServer(BackendServer):
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
        self.set_listed(True)
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._address = address
        self._health_path = ""
        self._order = 0
        self._cold_until = 0.0
        self._down_since: float | None = None
        self._emptied = False
        self._life = ServerProcess("")
        # When the believed life last told of itself (monotonic s).
        self._told_at = 0.0
        # Those that ended or leave, the oldest first.
        self._ended: dict[ServerProcess, None] = {}
        # Lives believed so far; tells peers when one begins.
        self.process_count = 0
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
    def is_down(self) -> bool:
        """Whether the server took no connection when it was last tried."""
        return self._down_since is not None

    @property
    def is_domain_evacuated(self) -> bool:
        """Whether the operator empties the failure domain."""
        return self._emptied

    @property
    def process(self) -> ServerProcess:
        """The life believed to answer; of no incarnation if none is."""
        return self._life

    def register(self, told: Registration) -> bool:
        """Takes a heartbeat; returns whether it changed what is believed."""
        if told.leaving:
            return self.mark_leaving(told.process)
        if self._is_over(told.process):
            return False
        if self._view is not None and told.process.may_equal(self._life):
            return self._again(told)
        if self._is_late(told.process):
            self._log.info(
                "A heartbeat of an earlier life is left out.",
                believed=self._life.key,
                told=told.process.key,
            )
            return False
        self._replace(told)
        return True

    def mark_leaving(self, life: ServerProcess) -> bool:
        """Takes that `life` takes no new work any more, for good."""
        life = self.resolve(life)
        if life.may_equal(self._life):
            # An answer named the incarnation only.
            self._life = life
        known = life in self._ended
        self._remember(life)
        newer = _started_before(self._life, life)
        if self._view is None or not (newer or life == self._life):
            return not known
        if newer:
            self._begin(life, 0)
        self._view = msgspec.structs.replace(
            self._view, state=ServerState.DRAINING
        )
        if not known:
            self._log.change(
                "The server leaves; it gets nothing new.", life=life.key
            )
        self._notify_ready()
        return not known

    def resolve(self, life: ServerProcess) -> ServerProcess:
        """Returns `life`, or the believed one where no start was told."""
        if life.started_ms or not life.may_equal(self._life):
            return life
        return self._life

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether a life of `incarnation` ended or leaves.

        Another of the same incarnation may be running; only a heartbeat, which
        tells when it started, can say so.
        """
        return any(life.incarnation == incarnation for life in self._ended)

    def record_answering_incarnation(
        self, meant: str, incarnation: str
    ) -> None:
        """Takes that `incarnation` answered where `meant` was to."""
        if meant != self.incarnation or not incarnation:
            return
        self._remember(self._life)
        view = self._view
        if view is None:
            return
        state = ServerState.READY
        if self.has_ended(incarnation):
            state = ServerState.DRAINING
        self._view = msgspec.structs.replace(
            view, instance=incarnation, state=state
        )
        self._begin(ServerProcess(incarnation), 0)
        self._log.change(
            "Another incarnation answers at the server's address.",
            meant=meant,
            answered=incarnation,
        )
        self._notify_ready()

    def set_health_path(self, path: str) -> None:
        """Takes the path of health checks of the service."""
        self._health_path = path
        if self._view is not None:
            self._view = msgspec.structs.replace(self._view, health_path=path)

    def apply_settings(self, address: Address, service: str) -> None:
        """Takes what the settings say anew."""
        if address != self._address or service != self.service:
            self._log.change(
                "The settings name another server.",
                address=str(address),
                service=service,
            )
        self._address = address
        self.service = service

    def mark_unreachable(self) -> None:
        """Takes that the server accepts no connection."""
        if self._down_since is None:
            self._down_since = self._clock.monotonic()
            self._log.change(
                "The server takes no connections.",
                incarnation=self.incarnation,
            )
            self._notify_ready()

    def mark_reachable(self) -> None:
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
        self._notify_ready()

    def set_domain_evacuated(self, emptied: bool) -> None:
        """Takes whether the operator empties the failure domain."""
        if emptied == self._emptied:
            return
        self._emptied = emptied
        self._log.change(
            "The failure domain is emptied; the server gets nothing."
            if emptied
            else "The failure domain is taken back; the server gets work."
        )

    def refusal(self) -> NotRun | None:
        if self._emptied:
            return NotRun(
                ResultCode.DOMAIN_EMPTIED,
                "The operator empties the failure domain of the target.",
                _EMPTIED_RETRY_S,
            )
        refused = super().refusal()
        if refused is None and self._down_since is not None:
            return NotRun(
                ResultCode.SERVER_DOWN,
                "The server beside takes no connections.",
                _DOWN_RETRY_S,
            )
        return refused

    def warm_fraction(self, now: float) -> float:
        if self._view is None:
            return 0.0
        return 0.5 if now < self._cold_until else 1.0

    def _again(self, told: Registration) -> bool:
        """Takes a further heartbeat of the life that is believed."""
        if told.started_ms and not self._life.started_ms:
            # An answer named the incarnation only.
            self._life = told.process
        if told.sequence <= self._order:
            return False
        self._order = told.sequence
        self._note(told)
        return False

    def _is_over(self, life: ServerProcess) -> bool:
        """Returns whether `life` ended or leaves, as far as was told."""
        return (
            life in self._ended
            or ServerProcess(life.incarnation) in self._ended
        )

    def _is_late(self, life: ServerProcess) -> bool:
        """Returns whether `life` is one from before the believed one."""
        believed = self._life
        if life.incarnation != believed.incarnation:
            return False
        if life.started_ms > believed.started_ms:
            return False
        return self._clock.monotonic() - self._told_at < OLDER_AFTER_S

    def _replace(self, told: Registration) -> None:
        before = self._life
        if before.incarnation and not _started_before(told.process, before):
            self._remember(before)
        self._begin(told.process, told.sequence)
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
            life=told.process.key,
            before=before.key,
            service=told.service,
            slots=told.slots,
        )
        self._notify_ready()

    def _begin(self, life: ServerProcess, order: int) -> None:
        self._life = life
        self._order = order
        self._told_at = self._clock.monotonic()
        self.process_count += 1

    def _note(self, told: Registration) -> None:
        now = self._clock.monotonic()
        self._told_at = now
        self._cold_until = now + told.warmup_left_s
        if told.slots:
            self.slots = told.slots
        if told.service:
            self.service = told.service

    def _remember(self, life: ServerProcess) -> None:
        self._ended[life] = None
        while len(self._ended) > MOST_REMEMBERED:
            del self._ended[next(iter(self._ended))]


def _started_before(life: ServerProcess, other: ServerProcess) -> bool:
    """Returns whether `life` started before `other`, a life of the same."""
    if life.incarnation != other.incarnation:
        return False
    return 0 < life.started_ms < other.started_ms
