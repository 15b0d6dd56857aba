"""The backend server by its heartbeats: which process counts, and its leaving.

Heartbeats may arrive late, also from a process that has ended. A process that
was replaced or announced that it leaves is therefore never accepted again,
while a later one under the same incarnation is. An incarnation that itself
answers a request takes precedence over any heartbeat.
"""

from collections.abc import Callable
import math

import msgspec

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.outcomes.model import NotRun
from radishwind.target.backend_server import BackendServer
from radishwind.target.backend_server import ServerState
from radishwind.target.backend_server import ServerView
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.part_logger import PartLogger

#: Processes remembered that ended or leave; an instance has few in a day.
MAX_ENDED_PROCESSES = 256

#: Silence of the current process after which one that started before it, by
#: clocks that may step, is accepted (s). The current process sends a heartbeat
#: each 1.5 s, and a heartbeat may be seconds late.
ACCEPT_OLDER_AFTER_S = 4.0

#: Retry-After while the server is down (s); its node informs the other nodes
#: first.
_DOWN_RETRY_AFTER_S = 0.2

#: Retry-After while the failure domain is evacuated (s); servers elsewhere
#: accept the request at once.
_EVACUATED_RETRY_AFTER_S = 0.05

#: Interval at which a server that accepts no connections is checked (s).
DOWN_CHECK_INTERVAL_S = 0.25


class Registration(msgspec.Struct, frozen=True):
    """The contents of one heartbeat.

    Attributes:
      incarnation: unique for each start of the server.
      service: the service it provides; empty if not stated.
      address: where it receives requests.
      slots: requests it runs at once.
      is_leaving: whether it accepts no new work any more.
      warmup_left_s: remaining time for which it is slow after its start (s).
      sequence: increases with each heartbeat of a process.
      started_ms: its start time by its own clock (ms since the epoch, UTC); 0
        if unknown.
    """

    incarnation: str
    service: str
    address: Address | None
    slots: int
    is_leaving: bool
    warmup_left_s: float
    sequence: int
    started_ms: int = 0

    @property
    def process(self) -> ServerProcess:
        """The process that sent it."""
        return ServerProcess(self.incarnation, self.started_ms)


class RegisteredServer(BackendServer):
    """The backend server as known from its heartbeats and responses."""

    def __init__(
        self,
        target: str,
        service: str,
        address: Address,
        clock: Clock,
        on_ready_changed: Callable[[bool], None],
    ) -> None:
        """Creates a server of which only the configured address is known.

        Args:
          target: the name of the target.
          service: the service named by the settings.
          address: where it receives requests according to the settings.
          clock: the clock.
          on_ready_changed: called with the new value whenever `ready` changes.
        """
        super().__init__(target, None, on_ready_changed)
        self.set_listed(True)
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._address = address
        self._health_path = ""
        self._sequence = 0
        self._cold_until = 0.0
        self._down_since: float | None = None
        self._is_domain_evacuated = False
        self._process = ServerProcess("")
        # When the latest heartbeat of the current process came (monotonic s).
        self._last_heartbeat = 0.0
        # Processes that ended or leave, the oldest first.
        self._ended: dict[ServerProcess, None] = {}
        # Number of processes accepted so far; a change shows a new one.
        self.process_count = 0
        # When the current process was accepted (monotonic s).
        self._accepted_at = -math.inf
        self.service = service
        self.slots = 0

    @property
    def incarnation(self) -> str:
        """The incarnation of the current process; empty if there is none."""
        return self._view.instance if self._view else ""

    @property
    def is_ready(self) -> bool:
        return super().is_ready and self._down_since is None

    @property
    def health_path(self) -> str:
        """Path of the health checks of the service."""
        return self._health_path

    @property
    def is_down(self) -> bool:
        """Whether the server refused the latest connection attempt."""
        return self._down_since is not None

    @property
    def is_domain_evacuated(self) -> bool:
        """Whether the operator evacuates the failure domain."""
        return self._is_domain_evacuated

    @property
    def process(self) -> ServerProcess:
        """The current process; without an incarnation if there is none."""
        return self._process

    def is_from_current(self, incarnation: str, sent_at: float) -> bool:
        """Returns whether the current process answered a request.

        An earlier process may have had the same incarnation.

        Args:
          incarnation: the incarnation that answered.
          sent_at: when the request was sent (monotonic s).
        """
        return incarnation == self.incarnation and sent_at >= self._accepted_at

    def register(self, heartbeat: Registration) -> bool:
        """Accepts a heartbeat; returns whether the state changed."""
        if heartbeat.is_leaving:
            return self.mark_leaving(heartbeat.process)
        if self._has_ended(heartbeat.process):
            return False
        if self._view is not None and heartbeat.process.may_equal(
            self._process
        ):
            return self._refresh(heartbeat)
        if self._is_outdated(heartbeat.process):
            self._log.info(
                "Ignored a heartbeat of an earlier process.",
                believed=self._process.key,
                told=heartbeat.process.key,
            )
            return False
        self._replace(heartbeat)
        return True

    def mark_leaving(self, process: ServerProcess) -> bool:
        """Marks `process` as leaving for good; returns whether that is new."""
        process = self.resolve(process)
        if process.may_equal(self._process):
            # A response stated the incarnation only.
            self._process = process
        known = process in self._ended
        self._remember_ended(process)
        is_newer = _started_before(self._process, process)
        if self._view is None or not (is_newer or process == self._process):
            return not known
        if is_newer:
            self._start_process(process, 0)
        self._view = msgspec.structs.replace(
            self._view, state=ServerState.DRAINING
        )
        if not known:
            self._log.change(
                "The server is leaving; it gets no new requests.",
                life=process.key,
            )
        self._notify_ready()
        return not known

    def resolve(self, process: ServerProcess) -> ServerProcess:
        """Returns `process`, or the current one if no start time is known."""
        if process.started_ms or not process.may_equal(self._process):
            return process
        return self._process

    def has_ended(self, incarnation: str) -> bool:
        """Returns whether a process of `incarnation` ended or is leaving.

        Another process of the same incarnation may be running. Only a heartbeat
        can tell, since it states the start time.
        """
        return any(
            process.incarnation == incarnation for process in self._ended
        )

    def record_answering_incarnation(
        self, addressed: str, incarnation: str
    ) -> None:
        """Records that `incarnation` answered a request for `addressed`."""
        if addressed != self.incarnation or not incarnation:
            return
        self._remember_ended(self._process)
        view = self._view
        if view is None:
            return
        state = ServerState.READY
        if self.has_ended(incarnation):
            state = ServerState.DRAINING
        self._view = msgspec.structs.replace(
            view, instance=incarnation, state=state
        )
        self._start_process(ServerProcess(incarnation), 0)
        self._log.change(
            "Another incarnation answers at the server's address.",
            meant=addressed,
            answered=incarnation,
        )
        self._notify_ready()

    def set_health_path(self, path: str) -> None:
        """Sets the path of the health checks of the service."""
        self._health_path = path
        if self._view is not None:
            self._view = msgspec.structs.replace(self._view, health_path=path)

    def apply_settings(self, address: Address, service: str) -> None:
        """Applies a change of the settings."""
        if address != self._address or service != self.service:
            self._log.change(
                "The settings name another server.",
                address=str(address),
                service=service,
            )
        self._address = address
        self.service = service

    def mark_unreachable(self) -> None:
        """Records that the server accepts no connections."""
        if self._down_since is None:
            self._down_since = self._clock.monotonic()
            self._log.change(
                "The server accepts no connections.",
                incarnation=self.incarnation,
            )
            self._notify_ready()

    def mark_reachable(self) -> None:
        """Records that the server accepted a connection."""
        if self._down_since is None:
            return
        down_s = self._clock.monotonic() - self._down_since
        self._down_since = None
        self._log.change(
            "The server accepts connections again.",
            incarnation=self.incarnation,
            down_s=round(down_s, 3),
        )
        self._notify_ready()

    def set_domain_evacuated(self, evacuated: bool) -> None:
        """Sets whether the operator evacuates the failure domain."""
        if evacuated == self._is_domain_evacuated:
            return
        self._is_domain_evacuated = evacuated
        self._log.change(
            "The failure domain is evacuated; the server gets no requests."
            if evacuated
            else "The failure domain is back in use; the server gets requests."
        )

    def refusal(self) -> NotRun | None:
        if self._is_domain_evacuated:
            return NotRun(
                ResultCode.DOMAIN_EMPTIED,
                "The operator evacuates the failure domain of the target.",
                _EVACUATED_RETRY_AFTER_S,
            )
        refusal = super().refusal()
        if refusal is None and self._down_since is not None:
            return NotRun(
                ResultCode.SERVER_DOWN,
                "The backend server accepts no connections.",
                _DOWN_RETRY_AFTER_S,
            )
        return refusal

    def warm_fraction(self, now: float) -> float:
        if self._view is None:
            return 0.0
        return 0.5 if now < self._cold_until else 1.0

    def _refresh(self, heartbeat: Registration) -> bool:
        """Accepts a further heartbeat of the current process."""
        if heartbeat.started_ms and not self._process.started_ms:
            # A response stated the incarnation only.
            self._process = heartbeat.process
        if heartbeat.sequence <= self._sequence:
            return False
        self._sequence = heartbeat.sequence
        self._apply(heartbeat)
        return False

    def _has_ended(self, process: ServerProcess) -> bool:
        """Returns whether `process` ended or is leaving, as far as is known."""
        return (
            process in self._ended
            or ServerProcess(process.incarnation) in self._ended
        )

    def _is_outdated(self, process: ServerProcess) -> bool:
        """Returns whether a heartbeat of `process` is taken to be outdated.

        It is if the process did not start after the current one, whose own
        heartbeats still arrive.
        """
        current = self._process
        if process.incarnation != current.incarnation:
            return False
        if process.started_ms > current.started_ms:
            return False
        return (
            self._clock.monotonic() - self._last_heartbeat
            < ACCEPT_OLDER_AFTER_S
        )

    def _replace(self, heartbeat: Registration) -> None:
        previous = self._process
        if previous.incarnation and not _started_before(
            heartbeat.process, previous
        ):
            self._remember_ended(previous)
        self._start_process(heartbeat.process, heartbeat.sequence)
        self._apply(heartbeat)
        self._view = ServerView(
            heartbeat.address or self._address,
            ServerState.READY,
            heartbeat.incarnation,
            None,
            self._health_path,
            self._clock.monotonic(),
        )
        self._down_since = None
        self._log.change(
            "The server registered.",
            life=heartbeat.process.key,
            before=previous.key,
            service=heartbeat.service,
            slots=heartbeat.slots,
        )
        self._notify_ready()

    def _start_process(self, process: ServerProcess, sequence: int) -> None:
        self._process = process
        self._sequence = sequence
        self._last_heartbeat = self._accepted_at = self._clock.monotonic()
        self.process_count += 1

    def _apply(self, heartbeat: Registration) -> None:
        now = self._clock.monotonic()
        self._last_heartbeat = now
        self._cold_until = now + heartbeat.warmup_left_s
        if heartbeat.slots:
            self.slots = heartbeat.slots
        if heartbeat.service:
            self.service = heartbeat.service

    def _remember_ended(self, process: ServerProcess) -> None:
        self._ended[process] = None
        while len(self._ended) > MAX_ENDED_PROCESSES:
            del self._ended[next(iter(self._ended))]


def _started_before(process: ServerProcess, other: ServerProcess) -> bool:
    """Returns whether `process` is an earlier start of the same incarnation."""
    if process.incarnation != other.incarnation:
        return False
    return 0 < process.started_ms < other.started_ms
