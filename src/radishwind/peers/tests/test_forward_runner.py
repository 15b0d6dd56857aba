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


async def test_fields_of_a_forwarded_response_are_passed_on_with_its_load():
    sender = InProcessSender()
    load = LoadReport(6, 0, 0, 0.0)

    async def answer(request):
        outcome = Done(Response(200, (FIELD,), b"ok", 2))
        return build_attempt_response("1.1", outcome, load)

    sender.handlers[NODE.address] = answer
    seen = []
    runner = ForwardRunner(
        node_name="own",
        clock=ManualClock(),
        target=None,
        sender=sender,
        on_response=lambda *response: seen.append(response),
    )

    result = await runner.run(make_call(), NODE, "1.1")

    assert isinstance(result.outcome, Done)
    assert seen == [("other", (FIELD,), load)]
