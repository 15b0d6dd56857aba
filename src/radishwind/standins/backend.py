"""A stand-in for a backend server: slots and a service time."""

import dataclasses
import random

import anyio

from radishwind.http.types import BodyStream
from radishwind.http.types import Request
from radishwind.http.types import Response


@dataclasses.dataclass(frozen=True, slots=True)
class BackendOptions:
    """How the stand-in behaves.

    Attributes:
      name: told in each answer.
      slots: requests it runs at once; more wait inside it.
      service_s: mean time a request runs (s), exponentially distributed.
    """

    name: str
    slots: int = 9
    service_s: float = 0.005


class BackendStandin:
    """Answers with its name and a count of what it ran."""

    def __init__(self, options: BackendOptions, rng: random.Random) -> None:
        self._options = options
        self._rng = rng
        self._slots = anyio.Semaphore(options.slots)
        self.ran = 0

    async def handle(self, request: Request) -> Response:
        """Runs one request."""
        size = 0
        if isinstance(request.body, BodyStream):
            async for piece in request.body:
                size += len(piece)
        else:
            size = len(request.body)
        async with self._slots:
            self.ran += 1
            if self._options.service_s:
                mean = self._options.service_s
                await anyio.sleep(self._rng.expovariate(1 / mean))
        text = (
            f"{self._options.name} ran {request.method} {request.path} "
            f"({size} bytes)\n"
        )
        return Response(200, (("Content-Type", "text/plain"),), text.encode())
