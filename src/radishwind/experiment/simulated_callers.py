"""Simulated external callers: they time out, back off and retry."""

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

#: Host of all routes.
HOST = "play.example"

#: Callers back off for at most this fraction of the time left to the deadline,
#: also when a `Retry-After` field asks for more.
_MAX_BACKOFF_FRACTION = 1 / 3

#: Upper bound of the random backoff without a `Retry-After` field (s).
_MAX_DEFAULT_BACKOFF_S = 0.05

#: Sends a request to a running node; returns `None` if the connection failed.
SendRequest = Callable[[Request], Awaitable[Response | None]]


class SimulatedCallers:
    """Sends requests, retries them and records their outcomes."""

    def __init__(
        self, send: SendRequest, rng: random.Random, clock: Clock
    ) -> None:
        """Initializes the callers.

        Args:
          send: sends a request to some node.
          rng: random number generator.
          clock: time source.
        """
        self._send_to_any_node = send
        self._rng = rng
        self._clock = clock
        self._sent = 0
        self.records: list[RequestRecord] = []

    async def send_with_retries(
        self, kind: RequestKind, load_start: float
    ) -> None:
        """Sends one request and retries it as its kind allows.

        Args:
          kind: kind of the request.
          load_start: start of the load (s, monotonic).
        """
        began = self._clock.monotonic()
        outcome, attempts = RequestOutcome.FAILED, 0
        while attempts <= kind.returns:
            attempts += 1
            left_s = began + kind.timeout_s - self._clock.monotonic()
            if left_s <= 0:
                break
            response = await self._send(kind, left_s)
            if response is not None and response.status == 200:
                is_in_aim = self._clock.monotonic() - began <= kind.aim_s
                outcome = (
                    RequestOutcome.IN_AIM if is_in_aim else RequestOutcome.LATE
                )
                break
            is_refused = response is not None and response.status == 503
            outcome = (
                RequestOutcome.REFUSED if is_refused else RequestOutcome.FAILED
            )
            if not is_refused and not kind.idempotent:
                break
            await anyio.sleep(self._backoff_s(response, left_s))
        duration_s = self._clock.monotonic() - began
        self.records.append(
            RequestRecord(
                kind, began - load_start, duration_s, outcome, attempts
            )
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
        retry_after = (
            get_header(response.headers, "retry-after") if response else None
        )
        wait_s = (
            float(retry_after)
            if retry_after
            else _MAX_DEFAULT_BACKOFF_S * self._rng.random()
        )
        return min(wait_s, left_s * _MAX_BACKOFF_FRACTION)


def make_request(kind: RequestKind, name: str, left_s: float) -> Request:
    """Returns a request of `kind` whose deadline is `left_s` away (s)."""
    method = "GET" if kind.idempotent else "POST"
    return build_simulated_request(
        method, HOST, f"/{kind.name}/x", SimulatedRequest(name, left_s)
    )
