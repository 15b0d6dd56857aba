"""The interface of an HTTP listener."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeAlias

from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response

Handler: TypeAlias = Callable[[Request], Awaitable[Response]]


class Server(abc.ABC):
    """Receives requests on one address and passes each to a handler."""

    @abc.abstractmethod
    async def start(self, handler: Handler, listen: Address) -> Address:
        """Listens and returns the bound address; port 0 picks a free one."""

    @abc.abstractmethod
    async def stop_listening(self) -> None:
        """Stops accepting connections; open ones are still served."""

    @abc.abstractmethod
    async def close(self, grace_s: float) -> None:
        """Waits up to `grace_s` (s) for exchanges in progress, then closes."""
