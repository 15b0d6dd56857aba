"""A small, seeded open-loop load generator for trying things out.

It reports the outcomes of requests and is not a benchmark of a node. Each
request starts at its planned time, independently of earlier requests.
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

#: Connect timeout (s).
_CONNECT_TIMEOUT_S = 1.0

#: The mean number of reads per booking.
_READS_PER_BOOKING = 4
_SPOTS = ("recco", "levanto", "varazze", "andora")


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the load.

    Attributes:
      at_s: the time at which it starts, from the start of the load (s).
      entry: the caller listener to which it is sent.
      service: the requested service.
      request: the request.
    """

    at_s: float
    entry: Address
    service: str
    request: Request


@dataclasses.dataclass(slots=True)
class LoadCounts:
    """The outcomes of the requests to one service.

    Attributes:
      requests: the number of requests sent.
      answered: the number answered by a backend server.
      not_run: the number reported as not run, or without a connection.
      unknown: the number with an unknown outcome, either reported by a node
        or because the connection broke.
    """

    requests: int = 0
    answered: int = 0
    not_run: int = 0
    unknown: int = 0


def plan_load(
    entries: Sequence[Address], per_s: float, length_s: float, seed: int
) -> list[PlannedRequest]:
    """Plans a load of forecast reads and session bookings.

    Args:
      entries: the caller listeners; each request goes to a random one.
      per_s: the mean rate of Poisson arrivals (requests/s).
      length_s: the period within which requests start (s).
      seed: the seed of the times and choices.
    """
    rng = random.Random(seed)
    plan: list[PlannedRequest] = []
    at_s = rng.expovariate(per_s)
    while at_s < length_s:
        entry = rng.choice(entries)
        if rng.randrange(_READS_PER_BOOKING + 1):
            service, request = "bollettino", _make_read(rng.choice(_SPOTS))
        else:
            service, request = (
                "prenota",
                _make_booking(f"load-{seed}-{len(plan)}"),
            )
        plan.append(PlannedRequest(at_s, entry, service, request))
        at_s += rng.expovariate(per_s)
    return plan


async def run_load(
    sender: Sender, plan: Iterable[PlannedRequest]
) -> dict[str, LoadCounts]:
    """Sends each request at its planned time; returns counts by service."""
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
    """Formats the counts as a table with one line for each service."""
    row_format = "{:<12} {:>9} {:>9} {:>9} {:>9}"
    lines = [
        row_format.format(
            "service", "requests", "answered", "not run", "unknown"
        )
    ]
    lines += [
        row_format.format(
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
    _count_outcome(response.headers, count)


def _count_outcome(headers: Headers, count: LoadCounts) -> None:
    outcome = get_header(headers, OUTCOME_FIELD.lower())
    if outcome is None:
        count.answered += 1
    elif outcome == "not-run":
        count.not_run += 1
    else:
        count.unknown += 1


def _make_read(spot: str) -> Request:
    return Request("GET", f"/bollettino/spots/{spot}")


def _make_booking(key: str) -> Request:
    body = b"seats=2"
    fields = (("Idempotency-Key", key), ("Content-Type", "text/plain"))
    return Request("POST", "/prenota/sessions", fields, body, len(body))
