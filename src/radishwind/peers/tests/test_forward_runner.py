"""Attempts forwarded to the nodes of other targets."""

import pytest
from tests.support.calls import make_call
from tests.support.in_process_sender import InProcessSender

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.peers.attempts import build_attempt_response
from radishwind.peers.forward_runner import ForwardRunner
from radishwind.routing.chooser import LoadReport

pytestmark = pytest.mark.anyio

NODE = Member("other", "s", "a", Address("10.0.0.2", 80))
FIELD = ("Limit", "2")


@pytest.mark.parametrize(
    ("load", "expected"),
    [
        (LoadReport(6, 0, 0, 0.0), [("other", (FIELD,))]),
        (LoadReport(6, 0, 0, 0.0, limit_per_s=2.0), []),
    ],
)
async def test_limit_is_not_missed_if_an_earlier_version_does_not_report_it(
    load, expected
):
    sender = InProcessSender()

    async def answer(request):
        return build_attempt_response(
            "1.1", Done(Response(200, (FIELD,), b"ok", 2)), load
        )

    sender.handlers[NODE.address] = answer
    seen = []
    runner = ForwardRunner(
        node_name="own",
        clock=ManualClock(),
        target=None,
        sender=sender,
        on_unreported_limit=lambda name, fields: seen.append((name, fields)),
    )

    result = await runner.run(make_call(), NODE, "1.1")

    assert isinstance(result.outcome, Done)
    assert seen == expected
