import anyio
import msgspec
import pytest
from tests.support.claim_cluster import Cluster
from tests.support.claim_cluster import STORE
from tests.support.in_process_sender import Fault

from radishwind.claims.claim_record import CLAIM_PREFIX
from radishwind.core import ResultCode
from radishwind.http import ConnectFailedError
from radishwind.http import Response
from radishwind.http.types import BodyStream
from radishwind.http.types import get_header
from radishwind.store import Delete
from radishwind.store import EtcdStore
from radishwind.store import StoreEntry

pytestmark = pytest.mark.anyio


@pytest.fixture
async def site():
    async with Site() as site:
        yield site


class Site:
    """A cluster with two running entry nodes, `a` and `b`."""

    def __init__(self, **options) -> None:
        self.cluster = Cluster(1, **options)

    async def __aenter__(self) -> "Site":
        self.a = self.cluster.node("entry-a")
        self.b = self.cluster.node("entry-b")
        self.tasks = anyio.create_task_group()
        await self.tasks.__aenter__()
        for node in (self.a, self.b):
            self.tasks.start_soon(node.main)
        await anyio.wait_all_tasks_blocked()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.tasks.cancel_scope.cancel()
        await self.tasks.__aexit__(None, None, None)

    @property
    def runs(self) -> int:
        return self.cluster.servers.runs["k"]

    async def write_updates(self) -> None:
        """Writes all pending updates of claims."""
        for node in (self.a, self.b):
            while node.claims.updates.pending_count:
                assert await node.claims.updates.flush()

    async def claims(self) -> list[dict]:
        """Returns the claims in the store, decoded."""
        entries = await self.entries()
        return [msgspec.json.decode(entry.value) for entry in entries]

    async def entries(self) -> tuple[StoreEntry, ...]:
        return await EtcdStore(self.cluster.sender, STORE).list(CLAIM_PREFIX)


def _summary(response: Response) -> tuple[int, str | None, int]:
    """Returns status, outcome and result code of a response."""
    code = get_header(response.headers, "radishwind-code") or "0"
    outcome = get_header(response.headers, "radishwind-outcome")
    return response.status, outcome, int(code)


async def _refuse_connection(request) -> Response:
    raise ConnectFailedError("refused")


async def test_duplicate_gets_the_recorded_response_at_any_node(site):
    await site.a.send("k", b"x")
    await site.a.claims.updates.flush()

    for node in (site.a, site.b):
        response = await node.send("k", b"x")
        assert response.body == b"booked x"
        assert get_header(response.headers, "radishwind-replayed") == "true"

    assert site.runs == 1


async def test_same_key_with_another_body_is_refused(site):
    await site.a.send("k", b"x")

    for node in (site.a, site.b):
        assert _summary(await node.send("k", b"y")) == (422, "not-run", 2004)

    assert site.runs == 1


async def test_response_is_not_disclosed_to_another_caller(site):
    await site.a.send("k", b"x", ("Radishwind-Caller", "kiosk-1"))

    response = await site.a.send("k", b"x", ("Radishwind-Caller", "kiosk-2"))

    assert _summary(response) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)


async def test_duplicate_of_a_call_with_a_too_large_response_is_unknown(site):
    await site.a.send("k", b"x" * 40_000)
    await site.a.claims.updates.flush()

    response = await site.b.send("k", b"x" * 40_000)

    assert _summary(response) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)
    assert site.runs == 1


async def test_claim_of_a_crashed_node_is_running_until_its_deadline(site):
    site.a.sender.resumed = anyio.Event()
    with anyio.CancelScope() as caller:
        site.tasks.start_soon(site.a.send, "k", b"x")
        await anyio.wait_all_tasks_blocked()
        site.a.crash()
        caller.cancel()

    running = await site.b.send("k", b"x")
    site.cluster.clock.advance(10)
    unknown = await site.b.send("k", b"x")

    assert _summary(running) == (409, "unknown", ResultCode.CLAIM_RUNNING)
    assert get_header(running.headers, "retry-after") is not None
    assert _summary(unknown) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)
    assert site.runs == 0


async def test_node_that_resumes_after_the_deadline_runs_nothing(site):
    resumed = site.a.sender.resumed = anyio.Event()
    responses = []

    async def send() -> None:
        responses.append(await site.a.send("k", b"x"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.wait_all_tasks_blocked()
        site.cluster.clock.advance(10)
        resumed.set()

    assert _summary(responses[0]) == (
        503,
        "not-run",
        ResultCode.DEADLINE_PASSED,
    )
    assert site.runs == 0
    assert (await site.b.send("k", b"x")).status == 409  # Not yet released.
    await site.a.claims.updates.flush()
    assert (await site.b.send("k", b"x")).status == 200


async def test_call_that_did_not_run_can_be_retried_at_once(site):
    handlers = site.cluster.handlers
    servers = [address for address in handlers if address.port == 80]
    for address in servers:
        handlers[address] = _refuse_connection
    assert _summary(await site.a.send("k", b"x"))[1] == "not-run"
    for address in servers:
        handlers[address] = site.cluster.servers.handle

    # The claim is still in the store, but this node knows that nothing ran.
    assert len(await site.claims()) == 1
    assert (await site.a.send("k", b"x")).status == 200

    await site.write_updates()
    assert [claim["state"] for claim in await site.claims()] == ["done"]


async def test_keyed_call_is_never_reported_as_not_run_in_a_store_outage(site):
    await site.a.send("known", b"x")
    site.cluster.store.is_down = True

    for node in (site.a, site.b):
        assert _summary(await node.send("k", b"x")) == (
            503,
            "unknown",
            ResultCode.CLAIM_UNCHECKED,
        )
    known = await site.a.send("known", b"x")
    again = await site.b.send("known", b"x")

    assert known.body == b"booked x"
    assert _summary(again) == (503, "unknown", ResultCode.CLAIM_UNCHECKED)
    assert site.runs == 0


async def test_claim_that_was_certainly_not_written_is_not_looked_up(site):
    await site.a.send("earlier", b"x")  # The node holds a lease now.
    await site.write_updates()
    site.cluster.store.is_down = True

    await site.a.send("k", b"x")

    assert site.a.claims.updates.pending_count == 0


async def test_calls_are_not_sent_to_a_store_that_failed(site):
    site.cluster.store.is_down = True
    await site.a.send("k", b"x")
    sent = len(site.cluster.sender.sent)

    for number in range(20):
        response = await site.a.send(f"k{number}", b"x")

    assert len(site.cluster.sender.sent) == sent
    assert get_header(response.headers, "retry-after") is not None


async def test_claim_whose_response_is_lost_is_confirmed_by_a_read(site):
    site.cluster.sender.next_faults = [None, Fault.RESPONSE_LOST]

    assert (await site.a.send("k", b"x")).status == 200

    assert site.runs == 1


async def test_new_lease_is_granted_after_the_store_lost_one(site):
    await site.a.send("earlier", b"x")

    async def refuse(request) -> Response:
        return Response(404, (), b"etcdserver: requested lease not found")

    site.cluster.handlers[STORE] = refuse
    assert _summary(await site.a.send("k", b"x"))[1] == "unknown"
    site.cluster.handlers[STORE] = site.cluster.store.handle
    site.cluster.clock.advance(1)

    assert (await site.a.send("k", b"x")).status == 200
    leases = [e.lease_id for e in await site.entries()]
    assert len(set(leases)) == 2


async def test_unconfirmed_claim_is_removed_later(site):
    lost, refused = Fault.RESPONSE_LOST, Fault.REFUSED
    site.cluster.sender.next_faults = [None, lost, refused]
    assert _summary(await site.a.send("k", b"x"))[1] == "unknown"
    assert len(await site.claims()) == 1

    site.cluster.clock.advance(1)
    assert await site.a.claims.updates.flush()

    assert await site.claims() == []
    assert (await site.b.send("k", b"x")).status == 200
    assert site.runs == 1


async def test_call_gets_an_outcome_while_the_store_hangs():
    async with Site(store_wait_s=0.01) as site:
        site.cluster.sender.faults[STORE] = Fault.HANGS

        assert _summary(await site.a.send("k", b"x")) == (
            503,
            "unknown",
            ResultCode.CLAIM_UNCHECKED,
        )


async def test_call_whose_caller_disconnected_is_completed(site):
    resumed = site.a.sender.resumed = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.a.send, "k", b"x")
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    resumed.set()
    await site.a.claims.guard.wait_idle()

    assert (await site.a.send("k", b"x")).body == b"booked x"
    assert site.runs == 1


async def test_duplicate_waits_for_a_running_call_at_the_same_node():
    async with Site(repeat_wait_s=30.0) as site:
        resumed = site.a.sender.resumed = anyio.Event()
        responses = []

        async def send() -> None:
            responses.append(await site.a.send("k", b"x"))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send)
            await anyio.wait_all_tasks_blocked()
            resumed.set()

        assert [response.body for response in responses] == [b"booked x"] * 3
        assert site.runs == 1


async def test_idempotent_and_unkeyed_calls_do_not_need_the_store(site):
    site.cluster.store.is_down = True

    assert (await site.a.send("", b"x")).status == 200
    assert (await site.a.send("k", b"x", method="GET")).status == 200


async def test_duplicate_is_answered_while_the_write_budget_is_spent():
    async with Site(writes_per_s=0.1) as site:
        await site.b.send("k", b"x")
        await site.write_updates()
        await site.a.send("last of the budget", b"x")

        first = await site.a.send("new", b"x")
        duplicate = await site.a.send("k", b"x")

        assert _summary(first) == (503, "not-run", ResultCode.CLAIM_UNAVAILABLE)
        assert duplicate.body == b"booked x"


async def test_responses_are_recorded_in_batches(site):
    for number in range(10):
        await site.a.send(f"k{number}", b"x")
    sent = len(site.cluster.sender.sent)

    await site.a.claims.updates.flush()

    assert len(site.cluster.sender.sent) == sent + 1
    claims = await site.claims()
    assert [claim["state"] for claim in claims] == ["done"] * 10


async def test_batch_with_an_expired_claim_is_written_one_by_one(site):
    for number in range(3):
        await site.a.send(f"k{number}", b"x")
    store = EtcdStore(site.cluster.sender, STORE)
    expired = (await site.entries())[0]
    await store.transact((), (Delete(expired.key),))

    await site.a.claims.updates.flush()

    claims = await site.claims()
    assert [claim["state"] for claim in claims] == ["done"] * 2


class _ChunkedBody(BodyStream):
    def __init__(self, *chunks: bytes) -> None:
        self._chunks = chunks

    async def __aiter__(self):
        for chunk in self._chunks:
            yield chunk

    def abort(self) -> None:
        pass


async def test_streamed_requests_are_compared_by_their_bodies(site):
    assert (
        await site.a.send("k", _ChunkedBody(b"x", b"y"))
    ).body == b"booked xy"

    assert (await site.a.send("k", _ChunkedBody(b"xy"))).body == b"booked xy"
    assert _summary(await site.a.send("k", _ChunkedBody(b"x", b"z")))[0] == 422
    assert site.runs == 1


async def test_keyed_request_with_a_too_large_body_is_not_run(site):
    response = await site.a.send("k", _ChunkedBody(*[b"x" * 1024] * 1025))

    assert _summary(response) == (413, "not-run", ResultCode.REQUEST_TOO_LARGE)
    assert await site.claims() == []


@pytest.mark.parametrize("size", [100, 20_000])
async def test_streamed_response_is_complete_and_recorded_if_small(site, size):
    async def stream(request) -> Response:
        return Response(200, (), _ChunkedBody(b"a" * size, b"b" * size, b"c"))

    for address in list(site.cluster.handlers):
        if address.port == 80:
            site.cluster.handlers[address] = stream

    response = await site.a.send("k", b"x")
    body = response.body
    if isinstance(body, BodyStream):
        body = b"".join([chunk async for chunk in body])
    duplicate = await site.a.send("k", b"x")

    assert body == b"a" * size + b"b" * size + b"c"
    assert duplicate.status == (200 if size == 100 else 409)
