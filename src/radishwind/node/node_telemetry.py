"""Connects metrics and the burn ledger to a node."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import anyio

from radishwind.burn import BurnLedger
from radishwind.burn import ServiceMinutes
from radishwind.core import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.entry.observer import CallObserver
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.types import MAX_MESSAGE_BYTES
from radishwind.membership import Directory
from radishwind.node.admin import AdminListener
from radishwind.node.admin import json_response
from radishwind.peers import PeerClient
from radishwind.peers import PeerError
from radishwind.peers import PeerListener
from radishwind.settings import NodeSettings
from radishwind.supervision import run_contained

#: Maximum number of peers called at once for their ledgers, and the timeout of
#: each call (s).
_MAX_CONCURRENT_CALLS = 32
_LEDGER_TIMEOUT_S = 2.0

_BURN_CONTROL_NAME = "burn"

_ledger_decoder = JsonDecoder[list[ServiceMinutes]](
    list[ServiceMinutes], "a burn ledger", MAX_MESSAGE_BYTES
)


class NodeTelemetry:
    """Metrics of a node, and the burn ledgers of the fleet.

    Metrics are recorded only if the settings enable them; the burn ledger is
    always kept.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        directory: Directory,
        client: PeerClient,
    ) -> None:
        self._settings = settings
        self._directory = directory
        self._client = client
        self._ledger = BurnLedger(clock)
        self._metrics: Any = None
        if settings.metrics:
            from radishwind.telemetry.node_metrics import NodeMetrics

            self._metrics = NodeMetrics(
                {
                    "radishwind.target": settings.target,
                    "radishwind.service": settings.service,
                    "radishwind.failure_domain": settings.failure_domain,
                }
            )

    @property
    def observers(self) -> tuple[CallObserver, ...]:
        """Observers that the entry pipeline notifies of ended calls."""
        if self._metrics is None:
            return (self._ledger,)
        return (self._ledger, self._metrics)

    def add_to(self, admin: AdminListener, peers: PeerListener) -> None:
        """Registers `/v1/metrics`, `/v1/burn` and the control call `burn`."""
        admin.add("GET", "/v1/metrics", self._handle_metrics)
        admin.add("GET", "/v1/burn", self._handle_burn)
        peers.add_control_handler(_BURN_CONTROL_NAME, self._handle_peer_burn)

    def counter(
        self,
        name: str,
        unit: str,
        text: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Registers a metric that only grows.

        Args:
          name: name of the metric.
          unit: unit of its values.
          text: description of the metric.
          read: returns the current value by kind.
        """
        if self._metrics is not None:
            self._metrics.add_counter(name, unit, text, read)

    def gauge(
        self,
        name: str,
        unit: str,
        text: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Registers a metric that may rise and fall.

        Args:
          name: name of the metric.
          unit: unit of its values.
          text: description of the metric.
          read: returns the current value by kind.
        """
        if self._metrics is not None:
            self._metrics.add_gauge(name, unit, text, read)

    async def _handle_metrics(self, request: Request) -> Response:
        body = b'{"resource_metrics": []}'
        if self._metrics is not None:
            body = self._metrics.as_json()
        return Response(200, (("Content-Type", "application/json"),), body)

    async def _handle_peer_burn(self, request: Request) -> Response:
        return json_response(self._ledger.services())

    async def _handle_burn(self, request: Request) -> Response:
        """Responds with the ledgers of all nodes that could be reached."""
        ledgers = [self._ledger.services()]
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_CALLS)

        async def gather(call_peer: Callable[[], Awaitable[bytes]]) -> None:
            async with limiter:
                try:
                    body = await call_peer()
                    ledgers.append(_ledger_decoder.decode(body))
                except (PeerError, MalformedInputError):
                    return

        async with anyio.create_task_group() as tasks:
            for member in self._directory.members():
                if member.name == self._settings.target:
                    continue
                address = member.address
                tasks.start_soon(
                    run_contained,
                    "burn.ledgers",
                    gather,
                    lambda a=address: self._client.call(
                        a, _BURN_CONTROL_NAME, b"{}", _LEDGER_TIMEOUT_S
                    ),
                )
        return json_response(ledgers)
