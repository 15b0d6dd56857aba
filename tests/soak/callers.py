"""Callers that keep sending, and what they were told."""

import asyncio
import collections
import dataclasses
import random
import uuid

import aiohttp

from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Instance
from tests.soak.accounts import Accounts

#: Statuses by which a node says that the request has not run and never will.
NOT_RUN = frozenset({408, 421, 429, 503})


@dataclasses.dataclass(slots=True)
class Told:
    """What callers were told.

    Attributes:
      accounts: whose keys the requests carry; `None` for none.
      not_run: names of requests that have not run, by what they were told.
      faults: promises seen broken at once.
      statuses: answers by status; 0 for none.
    """

    accounts: Accounts | None = None
    not_run: set[str] = dataclasses.field(default_factory=set)
    faults: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )


async def call_for(
    instance: Instance, seed: int, per_s: float, told: Told, done: asyncio.Event
) -> None:
    """Sends requests to the node of `instance` over kept connections."""
    rng = random.Random(seed)
    timeout = aiohttp.ClientTimeout(total=1.5)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        asyncio.TaskGroup() as tasks,
    ):
        while not done.is_set():
            service = rng.choice(("library", "sessions"))
            tasks.create_task(ask(session, instance, service, told))
            await asyncio.sleep(rng.expovariate(per_s))


async def ask(
    session: aiohttp.ClientSession,
    instance: Instance,
    service: str,
    told: Told,
    account: str = "",
) -> int:
    """Sends one request and checks the answer; returns its status.

    Args:
      session: sends it.
      instance: whose node it goes to.
      service: what it asks for.
      told: takes what it is told.
      account: whose key it carries; any account's by default.
    """
    name = uuid.uuid4().hex[:16]
    headers = {"Host": HOST, "Attempt-Id": name, "Timeout-Ms": "1500"}
    if told.accounts is not None:
        headers["Tenant"] = "forged"
        headers["Authorization"] = told.accounts.authorize(name, account)
    # The library sends a request again by itself where it is idempotent.
    method = "POST"
    url = f"http://{instance.caller_address}/{service}/x"
    status = 0
    try:
        async with session.request(method, url, headers=headers) as answer:
            body = await answer.read()
            status = answer.status
            _check(told, name, answer, body)
    except (aiohttp.ClientError, TimeoutError):
        # No answer promises nothing; `statuses` counts it.
        status = 0
    told.statuses[status] += 1
    return status


def _check(
    told: Told, name: str, answer: aiohttp.ClientResponse, body: bytes
) -> None:
    signature = answer.headers.get("Response-Signature", "")
    if answer.status in NOT_RUN:
        told.not_run.add(name)
    if answer.status == 404:
        told.faults.append(f"{name}: 404 for a route that always was")
    if signature and not signature.endswith(f".{name}"):
        told.faults.append(f"{name}: signed for another: {signature}")
    if answer.status != 200:
        return
    if not signature or body != f"done {name}".encode():
        told.faults.append(f"{name}: 200 with {signature!r} and {body!r}")
