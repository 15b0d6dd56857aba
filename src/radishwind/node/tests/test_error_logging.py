"""Tests that unexpected errors of a handler are logged without their text."""

import asyncio

import anyio
import eliot
import pytest

from radishwind.core import ManualClock
from radishwind.http import Request
from radishwind.node.error_logging import with_error_logging
from radishwind.supervision import StrayCancellationError
from radishwind.telemetry import PartLogger

pytestmark = pytest.mark.anyio


async def test_type_and_location_are_logged_but_not_the_text():
    async def fail(request):
        raise KeyError("an idempotency key")

    lines = []
    handle = with_error_logging(fail, PartLogger("node", ManualClock()))
    eliot.add_destinations(lines.append)
    try:
        with pytest.raises(KeyError):
            await handle(Request("GET", "/"))
    finally:
        eliot.remove_destination(lines.append)

    line = lines[-1]
    assert line["text"] == "node: A request failed inside the node."
    assert (line["level"], line["kind"]) == ("error", "KeyError")
    assert line["at"].startswith("test_error_logging.py:")
    assert "idempotency" not in str(lines)


async def test_cancellation_of_what_a_request_waits_for_is_an_error():
    async def wait_for_what_is_cancelled(request):
        future = asyncio.get_running_loop().create_future()
        future.cancel()
        await future

    log = PartLogger("node", ManualClock())
    handle = with_error_logging(wait_for_what_is_cancelled, log)
    with pytest.raises(StrayCancellationError):
        await handle(Request("GET", "/"))


async def test_request_that_is_cancelled_ends():
    async def wait(request):
        await anyio.sleep_forever()

    log = PartLogger("node", ManualClock())
    handle = with_error_logging(wait, log)
    with anyio.move_on_after(0) as scope:
        await handle(Request("GET", "/"))

    assert scope.cancelled_caught
