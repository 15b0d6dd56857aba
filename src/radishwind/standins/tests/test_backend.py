import random

import anyio
import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.http import Request
from radishwind.standins.backend import BackendFaults
from radishwind.standins.backend import BackendOptions
from radishwind.standins.backend import BackendStandin

pytestmark = pytest.mark.anyio


def make_backend(**options):
    fields = {"name": "t", "service_s": 0.0, "probe_s": 0.0} | options
    crashes = []
    backend = BackendStandin(
        BackendOptions(**fields),
        random.Random(1),
        ManualClock(),
        lambda: crashes.append(True),
    )
    return backend, crashes


async def test_sheds_when_queue_is_full_and_stops_cancelled_request():
    backend, _ = make_backend(slots=1, queue_length=0, service_s=3600.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backend.handle, Request("GET", "/a"))
        await anyio.wait_all_tasks_blocked()
        shed = await backend.handle(Request("GET", "/b"))
        tasks.cancel_scope.cancel()

    assert shed.status == 503
    assert ("Radishwind-Shed", "1") in shed.headers
    assert backend.counters.runs == {"GET /a": 1}
    assert backend.counters.cancelled == 1
    await backend.wait_until_idle()


async def test_queued_request_runs_when_slot_becomes_free():
    backend, _ = make_backend(slots=1)
    async with anyio.create_task_group() as tasks:
        for number in range(5):
            tasks.start_soon(backend.handle, Request("GET", f"/{number}"))

    assert len(backend.counters.runs) == 5
    assert backend.counters.max_in_flight == 1


async def test_sheds_queued_request_and_stops_running_one_at_deadline():
    backend, _ = make_backend(slots=1, service_s=3600.0)
    late = Request("GET", "/", (("Radishwind-Timeout-Ms", "20"),))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backend.handle, Request("GET", "/first"))
        await anyio.wait_all_tasks_blocked()
        queued = await backend.handle(late)
        tasks.cancel_scope.cancel()
    ran = await backend.handle(late)

    assert (queued.status, ran.status) == (503, 504)
    assert backend.counters.late == 1


async def test_faults_are_set_by_json_and_malformed_ones_are_rejected():
    backend, crashes = make_backend()

    malformed = await backend.handle(
        Request("POST", "/standin/faults", (), b"{1")
    )
    body = b'{"fail_fast": true, "told_state": "ready", "draining": false}'
    await backend.handle(Request("POST", "/standin/faults", (), body))
    failed = await backend.handle(Request("GET", "/x"))
    health = await backend.handle(Request("GET", "/healthz"))
    backend.faults = BackendFaults(draining=True, told_state="ready")
    drained = await backend.handle(Request("GET", "/x"))
    backend.faults = BackendFaults()
    await backend.handle(Request("GET", "/standin-crash"))

    assert malformed.status == 400
    assert (failed.status, drained.status) == (500, 503)
    assert msgspec.json.decode(health.body)["state"] == "ready"
    assert crashes == [True]


async def test_counts_probes_that_arrive_while_all_slots_are_in_use():
    backend, _ = make_backend(slots=1, service_s=0.01)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(backend.handle, Request("GET", "/a"))
        await anyio.wait_all_tasks_blocked()
        tasks.start_soon(backend.handle, Request("GET", "/healthz"))
    await backend.handle(Request("GET", "/healthz"))
    response = await backend.handle(Request("GET", "/standin/counters"))

    counters = msgspec.json.decode(response.body)
    assert (counters["probes"], counters["probes_into_full"]) == (2, 1)
