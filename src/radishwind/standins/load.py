"""A small sample load: open loop, seeded, for trying things out.

It is no bench: it tells what became of the requests, not how fast a node is.
Each request starts at its own time, whatever became of those before.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

import anyio

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import SendError
from radishwind.http.problems import OUTCOME_FIELD
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.http.types import read_body
from radishwind.http.types import Request

#: How long a connection may take (s).
_CONNECT_TIMEOUT_S = 1.0

#: Reads for one booking, on average.
_READS_PER_BOOKING = 4
_SPOTS = ("recco", "levanto", "varazze", "andora")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the load.

    Attributes:
      at_s: when it starts, from the start of the load (s).
      entry: the caller listener it goes to.
      service: the service it asks.
      request: what is sent.
    """

    at_s: float
    entry: Address
    service: str
    request: Request


@dataclasses.dataclass(slots=True)
class LoadCounts:
    """What became of the requests to one service.

    Attributes:
      requests: requests sent.
      answered: answered by a server.
      not_run: told "not run", or no connection was made.
      unknown: told "unknown", or the connection broke.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0


def plan_load(
    entries: Sequence[Address], per_s: float, length_s: float, seed: int
) -> list[PlannedRequest]:
    """Returns a load of forecasts read and sessions booked.

    Args:
      entries: caller listeners, chosen from at random.
      per_s: mean rate (requests/s); gaps are exponential.
      length_s: how long requests start (s).
      seed: seeds times and choices.
    """
    rng = random.Random(seed)
    plan: list[PlannedRequest] = []
    at_s = rng.expovariate(per_s)
    while at_s < length_s:
        entry = rng.choice(entries)
        if rng.randrange(_READS_PER_BOOKING + 1):
            service, request = "bollettino", _read(rng.choice(_SPOTS))
        else:
            service, request = "prenota", _booking(f"load-{seed}-{len(plan)}")
        plan.append(PlannedRequest(at_s, entry, service, request))
        at_s += rng.expovariate(per_s)
    return plan


async def run_load(
    sender: Sender, plan: Iterable[PlannedRequest]
) -> dict[str, LoadCounts]:
    """Sends each request at its time; returns the counts by service."""
    counts: dict[str, LoadCounts] = {}
    start = anyio.current_time()

    async def send(planned: PlannedRequest) -> None:
        count = counts.setdefault(planned.service, LoadCounts())
        count.requests += 1
        await _send(sender, planned, count)

    async with anyio.create_task_group() as tasks:
        for planned in plan:
            await anyio.sleep_until(start + planned.at_s)
            tasks.start_soon(send, planned)
    return counts


def format_counts(counts: dict[str, LoadCounts]) -> str:
    """Returns the counts as text, a line a service."""
    form = "{:<12} {:>9} {:>9} {:>9} {:>9}"
    lines = [
        form.format("service", "requests", "answered", "not run", "unknown")
    ]
    lines += [
        form.format(
            service,
            count.requests,
            count.answered,
            count.not_run,
            count.unknown,
        )
        for service, count in sorted(counts.items())
    ]
    return "\n".join(lines)


async def _send(
    sender: Sender, planned: PlannedRequest, count: LoadCounts
) -> None:
    try:
        response = await sender.send(
            planned.entry, planned.request, _CONNECT_TIMEOUT_S
        )
        await read_body(response.body)
    except ConnectFailedError:
        count.not_run += 1
        return
    except SendError:
        count.unknown += 1
        return
    _count_answer(response.headers, count)


def _count_answer(headers: Headers, count: LoadCounts) -> None:
    told = get_header(headers, OUTCOME_FIELD.lower())
    if told is None:
        count.answered += 1
    elif told == "not-run":
        count.not_run += 1
    else:
        count.unknown += 1


def _read(spot: str) -> Request:
    return Request("GET", f"/bollettino/spots/{spot}")


def _booking(key: str) -> Request:
    body = b"seats=2"
    fields = (("Idempotency-Key", key), ("Content-Type", "text/plain"))
    return Request("POST", "/prenota/sessions", fields, body, len(body))
