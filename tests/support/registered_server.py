"""A backend server known by its heartbeats, for tests."""

from radishwind.core import ManualClock
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.target.registered_server import RegisteredServer

#: Address at which it receives requests.
SERVER_ADDRESS = Address("10.0.0.1", 80)


def make_registered_server(clock: ManualClock) -> RegisteredServer:
    """Returns a server that has not registered yet."""
    return RegisteredServer("t", "s", SERVER_ADDRESS, clock, lambda ready: None)


def refusal_code(server: RegisteredServer) -> ResultCode | None:
    """Returns why the server gets no requests; `None` if it gets some."""
    refusal = server.refusal()
    return refusal.code if refusal else None
