"""Callers of a play: they come by chance, wait, and come back as told."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio

from radishwind.core.clock import Clock
from radishwind.experiment.report import RequestOutcome
from radishwind.experiment.report import RequestRecord
from radishwind.experiment.scenario import RequestKind
from radishwind.http.types import get_header
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.platform.simulated_endpoints import build_simulated_request
from radishwind.platform.simulated_endpoints import SimulatedRequest

#: The host that every route is at.
HOST = "play.example"

#: Callers heed a time to come back up to this part of the time they have left.
_MAX_BACKOFF_FRACTION = 1 / 3

#: What a caller waits before it comes back where nothing tells (s).
_MAX_DEFAULT_BACKOFF_S = 0.05

#: Sends a request to a node that is up.
SendRequest = Callable[[Request], Awaitable[Response | None]]


class SimulatedCallers:
    """Sends requests and notes what became of them."""

    def __init__(
        self, send: SendRequest, rng: random.Random, clock: Clock
    ) -> None:
        """Makes callers.

        Args:
          send: sends a request to some node; `None` where the connection ended.
          rng: the random source.
          clock: the clock.
        """
        self._send_to_any_node = send
        self._rng = rng
        self._clock = clock
        self._sent = 0
        self.records: list[RequestRecord] = []

    async def send_with_retries(self, kind: RequestKind, since: float) -> None:
        """Sends one request, with its returns.

        Args:
          kind: of the request.
          since: when callers began to come (monotonic s).
        """
        began = self._clock.monotonic()
        end, tries = RequestOutcome.FAILED, 0
        while tries <= kind.returns:
            tries += 1
            left_s = began + kind.timeout_s - self._clock.monotonic()
            if left_s <= 0:
                break
            response = await self._send(kind, left_s)
            if response is not None and response.status == 200:
                in_aim = self._clock.monotonic() - began <= kind.aim_s
                end = RequestOutcome.IN_AIM if in_aim else RequestOutcome.LATE
                break
            refused = response is not None and response.status == 503
            end = RequestOutcome.REFUSED if refused else RequestOutcome.FAILED
            if not refused and not kind.idempotent:
                break
            await anyio.sleep(self._backoff_s(response, left_s))
        duration_s = self._clock.monotonic() - began
        self.records.append(
            RequestRecord(kind, began - since, duration_s, end, tries)
        )

    async def _send(self, kind: RequestKind, left_s: float) -> Response | None:
        self._sent += 1
        request = make_request(kind, f"c{self._sent}", left_s)
        try:
            async with asyncio.timeout(left_s):
                return await self._send_to_any_node(request)
        except TimeoutError:
            return None

    def _backoff_s(self, response: Response | None, left_s: float) -> float:
        told = get_header(response.headers, "retry-after") if response else None
        wait_s = (
            float(told) if told else _MAX_DEFAULT_BACKOFF_S * self._rng.random()
        )
        return min(wait_s, left_s * _MAX_BACKOFF_FRACTION)


def make_request(kind: RequestKind, name: str, left_s: float) -> Request:
    """Returns a request of `kind` with `left_s` (s) to its deadline."""
    method = "GET" if kind.idempotent else "POST"
    return build_simulated_request(
        method, HOST, f"/{kind.name}/x", SimulatedRequest(name, left_s)
    )
