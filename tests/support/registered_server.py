"""A server beside a node as its heartbeats tell it, for tests."""

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.target.registered_server import RegisteredServer

#: Where it receives requests.
SERVER_ADDRESS = Address("10.0.0.1", 80)


def make_registered_server(clock: ManualClock) -> RegisteredServer:
    """Returns a server of which nothing was heard yet."""
    return RegisteredServer("t", "s", SERVER_ADDRESS, clock, lambda ready: None)


def refusal_code(server: RegisteredServer) -> ResultCode | None:
    """Returns why nothing is sent to the server; `None` if it gets work."""
    refused = server.refusal()
    return refused.code if refused else None
