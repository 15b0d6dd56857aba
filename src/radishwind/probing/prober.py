"""The task that probes the local server, one probe at a time."""

import collections
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from radishwind.admission.admission import Admission
from radishwind.admission.admission import Ticket
from radishwind.core.clock import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import Float
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator
from radishwind.probing.policy import Occupancy
from radishwind.probing.policy import ProbeDecision
from radishwind.probing.policy import ProbePolicy
from radishwind.target.backend_server import BackendServer
from radishwind.target.backend_server import ServerState
from radishwind.target.backend_server import ServerView
from radishwind.target.dialect import MAX_HEALTH_BYTES

#: Interval at which the policy is evaluated (s).
POLL_INTERVAL_S = 0.25

#: Timeout of a probe (s), and so the maximum cost of a probe.
PROBE_TIMEOUT_S = 0.5

#: Caller name to which the slot of a probe is charged.
CALLER = "radishwind-probe"

_HEALTHY_STATUSES = range(200, 400)


class _Health(msgspec.Struct, frozen=True):
    """The evaluated fields of a health response."""

    state: ServerState | None = None
    warm: Float | None = None


_health_decoder = JsonDecoder[_Health](
    _Health, "a health response", MAX_HEALTH_BYTES
)


class Prober:
    """Probes the health endpoint of the server when the policy allows.

    A probe holds a slot like a request, so that it never adds to a full server.
    `on_connect_failed` is called if the server accepts no connection.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sender: Sender,
        server: BackendServer,
        admission: Admission,
        health: HealthEstimator,
        on_connect_failed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._sender = sender
        self._server = server
        self._admission = admission
        self._on_connect_failed = on_connect_failed
        self._started_at = clock.monotonic()
        self._budget = ProbeBudget()
        self._policy = ProbePolicy(self._budget, health)
        self._decisions: collections.Counter[ProbeDecision] = (
            collections.Counter()
        )

    def set_budget_share(self, share: float) -> None:
        """Sets the share of slot time that probes may use."""
        now = self._clock.monotonic()
        self._budget.set_rate(share, self._admission.slots, now)

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            await self.tick()
            await anyio.sleep(POLL_INTERVAL_S)

    async def tick(self) -> None:
        """Probes once if the policy allows."""
        view = self._server.view
        if view is None or not view.health_path or not self._server.is_listed:
            return
        now = self._clock.monotonic()
        is_uncertain = (
            self._server.is_draining or self._server.warm_fraction(now) < 1
        )
        occupancy = Occupancy(
            self._admission.slots,
            self._admission.in_flight,
            self._admission.queued,
        )
        decision = self._policy.decide(occupancy, is_uncertain, now)
        self._decisions[decision] += 1
        if decision is ProbeDecision.PROBE:
            await self._probe(view)

    async def _probe(self, view: ServerView) -> None:
        started_at = self._clock.monotonic()
        ticket = Ticket(
            CALLER, started_at + PROBE_TIMEOUT_S, started_at, lambda: None
        )
        self._admission.offer(ticket, started_at)
        health = None
        try:
            if ticket.is_admitted:
                health = await self._send_probe(view)
        finally:
            now = self._clock.monotonic()
            self._admission.release(ticket, now, 0.0)
        if ticket.refusal is not None:
            return
        self._policy.record_probe(now - started_at, health is not None, now)
        if health is not None and health.state is not None:
            self._server.record_health(health.state, health.warm)

    async def _send_probe(self, view: ServerView) -> _Health | None:
        """Returns the health response; `None` if the server is unhealthy."""
        fields = (("Host", str(view.address)),)
        request = Request("GET", view.health_path, fields)
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                response = await self._sender.send(
                    view.address, request, PROBE_TIMEOUT_S
                )
                body = await read_body(response.body, MAX_HEALTH_BYTES)
        except ConnectFailedError:
            self._on_connect_failed()
            return None
        except (SendError, TimeoutError):
            return None
        try:
            health = _health_decoder.decode(body)
        except MalformedInputError:
            health = _Health()
        is_healthy = (
            health.state is not None or response.status in _HEALTHY_STATUSES
        )
        return health if is_healthy else None

    @property
    def cost_s(self) -> float:
        """Duration of all probes since the start (s)."""
        return self._budget.spent_s

    def status(self) -> dict[str, Any]:
        """Returns the cost of probes and the number of each decision."""
        elapsed_s = max(1e-9, self._clock.monotonic() - self._started_at)
        slot_s = elapsed_s * max(1, self._admission.slots)
        return {
            "probes": self._decisions[ProbeDecision.PROBE],
            "cost_s": round(self._budget.spent_s, 6),
            "share_of_slot_time": round(self._budget.spent_s / slot_s, 6),
            "decisions": {
                d.name.lower(): n for d, n in self._decisions.items()
            },
        }
