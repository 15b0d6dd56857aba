"""A streamed body can be sent to another node only while it is unread."""

from collections.abc import AsyncIterator

import pytest

from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http import BodyStream
from radishwind.http import Request
from radishwind.outcomes import NotRun
from radishwind.retries.fleet import FleetRetryBudget
from radishwind.retries.fleet import FleetRetryPolicy


class Upload(BodyStream):
    def __init__(self, is_unread):
        self._is_unread = is_unread

    @property
    def is_unread(self):
        return self._is_unread

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield b"x"

    def abort(self):
        pass


@pytest.mark.parametrize("is_unread", [True, False])
def test_upload_is_retried_only_while_it_is_unread(is_unread):
    retries = FleetRetryPolicy(FleetRetryBudget(0.2, 20.0, 10.0, lambda: 1))
    request = Request("POST", "/", (), Upload(is_unread), 100_000)
    call = Call("c", "s", request, ServiceRules(), False, 9.0, 9_000, "")
    refused = NotRun(ResultCode.CONNECT_FAILED, "no")

    assert retries.should_retry(call, refused, 1, 0.0) is is_unread
