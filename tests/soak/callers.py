"""Callers that send requests continuously and check the responses."""

import asyncio
import collections
import dataclasses
import random
import uuid

import aiohttp

from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_server import ENDLESS_SUFFIX
from tests.soak.account_keys import AccountKeys
from tests.soak.node_exits import UnansweredRequest
from tests.soak.server_notices import ServerNotices

#: Response statuses that guarantee that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})

#: Timeout of a request (s), far beyond the time limit that it states.
_TIMEOUT_S = 6.0

#: Time after which callers close idle connections (s): less than four fifths of
#: the idle timeout of the configuration.
_IDLE_S = 10.0


@dataclasses.dataclass(slots=True)
class CallerResults:
    """The responses that callers received.

    Attributes:
      accounts: source of the keys that requests carry; `None` for no keys.
      not_run: IDs of the requests that were reported as not run.
      violations: guarantees that a response violated by itself.
      statuses: number of responses by status; 0 stands for no response.
      notices: what responses stated of servers.
      unanswered: the requests whose connection ended without an answer.
    """

    accounts: AccountKeys | None = None
    not_run: set[str] = dataclasses.field(default_factory=set)
    violations: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    notices: ServerNotices = dataclasses.field(default_factory=ServerNotices)
    unanswered: list[UnansweredRequest] = dataclasses.field(
        default_factory=list
    )


async def send_load(
    instance: Instance,
    seed: int,
    per_s: float,
    results: CallerResults,
    stop: asyncio.Event,
) -> None:
    """Sends requests to the node of `instance` over persistent connections.

    Args:
      instance: instance whose node receives the requests.
      seed: seed of the services and send times.
      per_s: mean rate of the requests (1/s); the intervals are exponential.
      results: records the responses.
      stop: ends the load when set.
    """
    rng = random.Random(seed)
    timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
    # Kept until the node closes them; callers give up idle ones earlier.
    connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=_IDLE_S)
    async with (
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
        asyncio.TaskGroup() as tasks,
    ):
        while not stop.is_set():
            service = rng.choice(("library", "sessions"))
            tasks.create_task(send_request(session, instance, service, results))
            await asyncio.sleep(rng.expovariate(per_s))


async def send_request(
    session: aiohttp.ClientSession,
    instance: Instance,
    service: str,
    results: CallerResults,
    account: str = "",
) -> int:
    """Sends one request, checks the response and returns its status.

    Args:
      session: HTTP client session.
      instance: instance whose node receives the request.
      service: requested service.
      results: records the response.
      account: account whose key the request carries; a random one by default.

    Returns:
      The status of the response; 0 if none arrived.
    """
    request_id = uuid.uuid4().hex[:16]
    headers = {"Host": HOST, "Attempt-Id": request_id, "Timeout-Ms": "1500"}
    if results.accounts is not None:
        headers["Tenant"] = "forged"
        headers["Authorization"] = results.accounts.authorize(
            request_id, account
        )
    loop = asyncio.get_running_loop()
    results.notices.record_request(request_id, instance.place.name, loop.time())
    # aiohttp retries requests with idempotent methods by itself, so use POST.
    method = "POST"
    # Some requests may get a response without end, where a fault says so.
    suffix = ENDLESS_SUFFIX if request_id[0] == "0" else "/x"
    url = f"http://{instance.caller_address}/{service}{suffix}"
    status = 0
    has_head = False
    sent_at = loop.time()
    try:
        async with session.request(method, url, headers=headers) as response:
            has_head = True
            body = await response.read()
            status = response.status
            results.notices.record_response(
                instance.place.name, response.headers, loop.time()
            )
            _check_response(results, request_id, response, body)
    except aiohttp.ClientConnectorError:
        # Nothing was sent.
        status = 0
    except (aiohttp.ClientError, TimeoutError) as exc:
        # Without a response nothing is guaranteed; `statuses` counts it as 0.
        status = 0
        if not has_head:
            results.unanswered.append(
                UnansweredRequest(
                    request_id,
                    instance.place.name,
                    sent_at,
                    loop.time(),
                    repr(exc),
                )
            )
    results.statuses[status] += 1
    return status


def _check_response(
    results: CallerResults,
    request_id: str,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> None:
    signature = response.headers.get("Response-Signature", "")
    if response.status in NOT_RUN:
        results.not_run.add(request_id)
    if response.status == 404:
        results.violations.append(
            f"{request_id}: 404 for a route that always was"
        )
    if signature and not signature.endswith(f".{request_id}"):
        results.violations.append(
            f"{request_id}: signed for another: {signature}"
        )
    if response.status != 200:
        return
    if not signature or body != f"done {request_id}".encode():
        results.violations.append(
            f"{request_id}: 200 with {signature!r} and {body!r}"
        )
