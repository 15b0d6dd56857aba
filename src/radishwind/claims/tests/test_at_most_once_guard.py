import anyio
import msgspec
import pytest
from tests.support.claim_cluster import Cluster
from tests.support.claim_cluster import STORE
from tests.support.direct import Fault

from radishwind.claims.claim_record import CLAIM_PREFIX
from radishwind.core import ResultCode
from radishwind.http import ConnectFailedError
from radishwind.http import Response
from radishwind.http.types import BodyStream
from radishwind.http.types import header
from radishwind.store import Delete
from radishwind.store import EtcdStore
from radishwind.store import StoreEntry

pytestmark = pytest.mark.anyio


@pytest.fixture
async def site():
    async with Site() as site:
        yield site


class Site:
    """A cluster with two entry nodes that run."""

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

    async def settle(self) -> None:
        for node in (self.a, self.b):
            while node.claims.updates.pending_count:
                assert await node.claims.updates.flush()

    async def claims(self) -> list[dict]:
        entries = await self.entries()
        return [msgspec.json.decode(entry.value) for entry in entries]

    async def entries(self) -> tuple[StoreEntry, ...]:
        return await EtcdStore(self.cluster.sender, STORE).list(CLAIM_PREFIX)


def _told(response: Response) -> tuple[int, str | None, int]:
    code = header(response.headers, "radishwind-code") or "0"
    outcome = header(response.headers, "radishwind-outcome")
    return response.status, outcome, int(code)


async def _cut(request) -> Response:
    raise ConnectFailedError("refused")


async def test_repeat_gets_the_recorded_answer_at_any_node(site):
    await site.a.send("k", b"x")
    await site.a.claims.updates.flush()

    for node in (site.a, site.b):
        response = await node.send("k", b"x")
        assert response.body == b"booked x"
        assert header(response.headers, "radishwind-replayed") == "true"

    assert site.runs == 1


async def test_same_key_with_another_body_is_refused(site):
    await site.a.send("k", b"x")

    for node in (site.a, site.b):
        assert _told(await node.send("k", b"y")) == (422, "not-run", 2004)

    assert site.runs == 1


async def test_answer_is_not_told_to_another_named_caller(site):
    await site.a.send("k", b"x", ("Radishwind-Caller", "kiosk-1"))

    response = await site.a.send("k", b"x", ("Radishwind-Caller", "kiosk-2"))

    assert _told(response) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)


async def test_too_large_answer_is_told_unknown_and_never_run_again(site):
    await site.a.send("k", b"x" * 40_000)
    await site.a.claims.updates.flush()

    response = await site.b.send("k", b"x" * 40_000)

    assert _told(response) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)
    assert site.runs == 1


async def test_claim_of_a_node_that_died_is_running_and_then_unknown(site):
    site.a.sender.paused = anyio.Event()
    with anyio.CancelScope() as caller:
        site.tasks.start_soon(site.a.send, "k", b"x")
        await anyio.wait_all_tasks_blocked()
        site.a.crash()
        caller.cancel()

    running = await site.b.send("k", b"x")
    site.cluster.clock.advance(10)
    unknown = await site.b.send("k", b"x")

    assert _told(running) == (409, "unknown", ResultCode.CLAIM_RUNNING)
    assert header(running.headers, "retry-after") is not None
    assert _told(unknown) == (409, "unknown", ResultCode.CLAIM_UNKNOWN)
    assert site.runs == 0


async def test_paused_entry_node_that_resumes_too_late_runs_nothing(site):
    resume = site.a.sender.paused = anyio.Event()
    responses = []

    async def send() -> None:
        responses.append(await site.a.send("k", b"x"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.wait_all_tasks_blocked()
        site.cluster.clock.advance(10)
        resume.set()

    assert _told(responses[0]) == (503, "not-run", ResultCode.DEADLINE_PASSED)
    assert site.runs == 0
    assert (await site.b.send("k", b"x")).status == 409  # Not released yet.
    await site.a.claims.updates.flush()
    assert (await site.b.send("k", b"x")).status == 200


async def test_call_that_did_not_run_may_be_sent_again_at_once(site):
    handlers = site.cluster.handlers
    servers = [address for address in handlers if address.port == 80]
    for address in servers:
        handlers[address] = _cut
    assert _told(await site.a.send("k", b"x"))[1] == "not-run"
    for address in servers:
        handlers[address] = site.cluster.servers.handle

    # The claim is still written, and this node knows that nothing ran.
    assert len(await site.claims()) == 1
    assert (await site.a.send("k", b"x")).status == 200

    await site.settle()
    assert [claim["state"] for claim in await site.claims()] == ["done"]


async def test_store_outage_is_never_told_as_not_run_for_a_keyed_call(site):
    await site.a.send("known", b"x")
    site.cluster.store.down = True

    for node in (site.a, site.b):
        assert _told(await node.send("k", b"x")) == (
            503,
            "unknown",
            ResultCode.CLAIM_UNCHECKED,
        )
    known = await site.a.send("known", b"x")
    again = await site.b.send("known", b"x")

    assert known.body == b"booked x"
    assert _told(again) == (503, "unknown", ResultCode.CLAIM_UNCHECKED)
    assert site.runs == 0


async def test_claim_that_was_surely_not_written_is_not_looked_for(site):
    await site.a.send("earlier", b"x")  # Now there is a lease.
    await site.settle()
    site.cluster.store.down = True

    await site.a.send("k", b"x")

    assert site.a.claims.updates.pending_count == 0


async def test_store_that_failed_is_not_asked_by_each_call(site):
    site.cluster.store.down = True
    await site.a.send("k", b"x")
    sent = len(site.cluster.sender.sent)

    for number in range(20):
        response = await site.a.send(f"k{number}", b"x")

    assert len(site.cluster.sender.sent) == sent
    assert header(response.headers, "retry-after") is not None


async def test_lost_answer_of_a_claim_is_settled_by_reading(site):
    site.cluster.sender.next_faults = [None, Fault.ANSWER_LOST]

    assert (await site.a.send("k", b"x")).status == 200

    assert site.runs == 1


async def test_lease_that_the_store_lost_is_granted_anew(site):
    await site.a.send("earlier", b"x")

    async def refuse(request) -> Response:
        return Response(404, (), b"etcdserver: requested lease not found")

    site.cluster.handlers[STORE] = refuse
    assert _told(await site.a.send("k", b"x"))[1] == "unknown"
    site.cluster.handlers[STORE] = site.cluster.store.handle
    site.cluster.clock.advance(1)

    assert (await site.a.send("k", b"x")).status == 200
    leases = [e.lease_id for e in await site.entries()]
    assert len(set(leases)) == 2


async def test_claim_that_cannot_be_settled_is_removed_later(site):
    lost, refused = Fault.ANSWER_LOST, Fault.REFUSED
    site.cluster.sender.next_faults = [None, lost, refused]
    assert _told(await site.a.send("k", b"x"))[1] == "unknown"
    assert len(await site.claims()) == 1

    site.cluster.clock.advance(1)
    assert await site.a.claims.updates.flush()

    assert await site.claims() == []
    assert (await site.b.send("k", b"x")).status == 200
    assert site.runs == 1


async def test_hanging_store_gives_a_final_answer():
    async with Site(store_wait_s=0.01) as site:
        site.cluster.sender.faults[STORE] = Fault.HANGS

        assert _told(await site.a.send("k", b"x")) == (
            503,
            "unknown",
            ResultCode.CLAIM_UNCHECKED,
        )


async def test_call_whose_caller_went_away_is_recorded(site):
    resume = site.a.sender.paused = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(site.a.send, "k", b"x")
        await anyio.wait_all_tasks_blocked()
        tasks.cancel_scope.cancel()
    resume.set()
    await site.a.claims.guard.wait_idle()

    assert (await site.a.send("k", b"x")).body == b"booked x"
    assert site.runs == 1


async def test_repeat_waits_for_the_first_that_runs_at_the_same_node():
    async with Site(repeat_wait_s=30.0) as site:
        resume = site.a.sender.paused = anyio.Event()
        responses = []

        async def send() -> None:
            responses.append(await site.a.send("k", b"x"))

        async with anyio.create_task_group() as tasks:
            for _ in range(3):
                tasks.start_soon(send)
            await anyio.wait_all_tasks_blocked()
            resume.set()

        assert [response.body for response in responses] == [b"booked x"] * 3
        assert site.runs == 1


async def test_idempotent_and_unkeyed_calls_go_on_without_the_store(site):
    site.cluster.store.down = True

    assert (await site.a.send("", b"x")).status == 200
    assert (await site.a.send("k", b"x", method="GET")).status == 200


async def test_spent_budget_is_told_not_run_only_to_a_first_sending():
    async with Site(writes_per_s=0.1) as site:
        await site.b.send("k", b"x")
        await site.settle()
        await site.a.send("last of the budget", b"x")

        first = await site.a.send("new", b"x")
        repeat = await site.a.send("k", b"x")

        assert _told(first) == (503, "not-run", ResultCode.CLAIM_UNAVAILABLE)
        assert repeat.body == b"booked x"


async def test_results_are_written_in_groups(site):
    for number in range(10):
        await site.a.send(f"k{number}", b"x")
    sent = len(site.cluster.sender.sent)

    await site.a.claims.updates.flush()

    assert len(site.cluster.sender.sent) == sent + 1
    claims = await site.claims()
    assert [claim["state"] for claim in claims] == ["done"] * 10


async def test_group_with_a_claim_that_lapsed_is_written_singly(site):
    for number in range(3):
        await site.a.send(f"k{number}", b"x")
    store = EtcdStore(site.cluster.sender, STORE)
    lapsed = (await site.entries())[0]
    await store.transact((), (Delete(lapsed.key),))

    await site.a.claims.updates.flush()

    claims = await site.claims()
    assert [claim["state"] for claim in claims] == ["done"] * 2


class _Pieces(BodyStream):
    def __init__(self, *pieces: bytes) -> None:
        self._pieces = pieces

    async def __aiter__(self):
        for piece in self._pieces:
            yield piece

    def abort(self) -> None:
        pass


async def test_streamed_request_is_compared_by_its_body(site):
    assert (await site.a.send("k", _Pieces(b"x", b"y"))).body == b"booked xy"

    assert (await site.a.send("k", _Pieces(b"xy"))).body == b"booked xy"
    assert _told(await site.a.send("k", _Pieces(b"x", b"z")))[0] == 422
    assert site.runs == 1


async def test_keyed_request_too_large_to_hold_is_not_run(site):
    response = await site.a.send("k", _Pieces(*[b"x" * 1024] * 1025))

    assert _told(response) == (413, "not-run", ResultCode.REQUEST_TOO_LARGE)
    assert await site.claims() == []


@pytest.mark.parametrize("size", [100, 20_000])
async def test_streamed_answer_is_whole_and_recorded_if_small(site, size):
    async def stream(request) -> Response:
        return Response(200, (), _Pieces(b"a" * size, b"b" * size, b"c"))

    for address in list(site.cluster.handlers):
        if address.port == 80:
            site.cluster.handlers[address] = stream

    response = await site.a.send("k", b"x")
    body = response.body
    if isinstance(body, BodyStream):
        body = b"".join([piece async for piece in body])
    repeat = await site.a.send("k", b"x")

    assert body == b"a" * size + b"b" * size + b"c"
    assert repeat.status == (200 if size == 100 else 409)
