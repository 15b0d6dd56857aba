"""A stall of the event loop is no quiet period of a planned stop."""

import asyncio
import time

import pytest

from radishwind.core import SystemClock
from radishwind.http import Address
from radishwind.http import Response
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.server_limits import ServerLimits
from radishwind.node.requests_in_progress import RequestsInProgress

pytestmark = pytest.mark.anyio

REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
QUIET_S = 0.2
CONNECTIONS = 5


async def respond(request):
    return Response(200, (), b"ok", 2)


async def test_requests_that_arrive_in_a_stall_are_answered_before_the_close():
    requests = RequestsInProgress(respond, SystemClock())
    server = HttptoolsServer(ServerLimits())
    address = await server.start(requests.handle, Address("127.0.0.1", 0))
    connections = [
        await asyncio.open_connection(address.host, address.port)
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(0)
    for _, writer in connections:
        writer.write(REQUEST)
    # The event loop doesn't run for longer than the quiet period.
    time.sleep(2 * QUIET_S)  # noqa: ASYNC251
    await requests.wait_quiet(QUIET_S)
    await server.close(1.0)

    for reader, writer in connections:
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()
