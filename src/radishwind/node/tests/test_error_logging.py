"""An unexpected error of a handler is logged without what it says."""

import eliot
import pytest

from radishwind.core import ManualClock
from radishwind.http import Request
from radishwind.node.error_logging import with_error_logging
from radishwind.telemetry import PartLogger

pytestmark = pytest.mark.anyio


async def test_kind_and_place_are_logged_and_not_the_text():
    async def broken(request):
        raise KeyError("an idempotency key")

    lines = []
    handle = with_error_logging(broken, PartLogger("node", ManualClock()))
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
