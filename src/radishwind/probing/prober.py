"""The task that probes the server beside; one probe at a time."""

import collections
from collections.abc import Callable
from typing import Any

import anyio
import msgspec

from radishwind.admission.gate import Admission
from radishwind.admission.gate import Ticket
from radishwind.core.clock import Clock
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import Request
from radishwind.http.types import whole_body
from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator
from radishwind.probing.policy import Occupancy
from radishwind.probing.policy import ProbeDecision
from radishwind.probing.policy import ProbePolicy
from radishwind.target.backend_server import BackendServer
from radishwind.target.backend_server import ServerState
from radishwind.target.backend_server import ServerView

#: How often the policy is asked (s).
POLL_INTERVAL_S = 0.25

#: How long a probe may take (s); it costs no more than that.
PROBE_TIMEOUT_S = 0.5

#: The caller that a probe's slot is charged to.
CALLER = "radishwind-probe"

_GOOD_STATUSES = range(200, 400)


class _Health(msgspec.Struct, frozen=True):
    """The part of a health answer that is understood."""

    state: ServerState | None = None
    warm: float | None = None


class Prober:
    """Asks the server's health endpoint when the policy says so.

    A probe holds a slot like a request, so it never joins a full server.
    `on_connect_failed` is called when the server takes no connection.
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
        self._began = clock.monotonic()
        self._budget = ProbeBudget()
        self._policy = ProbePolicy(self._budget, health)
        self._decisions: collections.Counter[ProbeDecision] = (
            collections.Counter()
        )

    def set_budget_share(self, share: float) -> None:
        """Takes the share of slot time that probing may cost."""
        now = self._clock.monotonic()
        self._budget.set_rate(share, self._admission.slots, now)

    async def run(self) -> None:
        """Probes until cancelled."""
        while True:
            await self.tick()
            await anyio.sleep(POLL_INTERVAL_S)

    async def tick(self) -> None:
        """Probes once if the policy says so."""
        view = self._server.view
        if view is None or not view.health_path or not self._server.listed:
            return
        now = self._clock.monotonic()
        in_doubt = self._server.draining or self._server.warm_fraction(now) < 1
        occupancy = Occupancy(
            self._admission.slots,
            self._admission.in_flight,
            self._admission.queued,
        )
        decision = self._policy.decide(occupancy, in_doubt, now)
        self._decisions[decision] += 1
        if decision is ProbeDecision.PROBE:
            await self._probe(view)

    async def _probe(self, view: ServerView) -> None:
        began = self._clock.monotonic()
        ticket = Ticket(CALLER, began + PROBE_TIMEOUT_S, began, lambda: None)
        self._admission.offer(ticket, began)
        health = None
        try:
            if ticket.admitted:
                health = await self._ask(view)
        finally:
            now = self._clock.monotonic()
            self._admission.release(ticket, now, 0.0)
        if ticket.refused is not None:
            return
        self._policy.record_probe(now - began, health is not None, now)
        if health is not None and health.state is not None:
            self._server.record_health(health.state, health.warm)

    async def _ask(self, view: ServerView) -> _Health | None:
        """Returns what the server tells; `None` if it does not do well."""
        fields = (("Host", str(view.address)),)
        request = Request("GET", view.health_path, fields)
        try:
            with anyio.fail_after(PROBE_TIMEOUT_S):
                response = await self._sender.send(
                    view.address, request, PROBE_TIMEOUT_S
                )
                body = await whole_body(response.body)
        except ConnectFailedError:
            self._on_connect_failed()
            return None
        except (SendError, TimeoutError):
            return None
        try:
            health = msgspec.json.decode(body, type=_Health)
        except msgspec.MsgspecError:
            health = _Health()
        good = health.state is not None or response.status in _GOOD_STATUSES
        return health if good else None

    @property
    def cost_s(self) -> float:
        """What probing cost since the start (s)."""
        return self._budget.spent_s

    def status(self) -> dict[str, Any]:
        """Returns what probing cost, and why it was not done."""
        elapsed_s = max(1e-9, self._clock.monotonic() - self._began)
        slot_s = elapsed_s * max(1, self._admission.slots)
        return {
            "probes": self._decisions[ProbeDecision.PROBE],
            "cost_s": round(self._budget.spent_s, 6),
            "share_of_slot_time": round(self._budget.spent_s / slot_s, 6),
            "decisions": {
                d.name.lower(): n for d, n in self._decisions.items()
            },
        }
