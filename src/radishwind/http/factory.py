"""Creates servers and senders; imports only the chosen HTTP library."""

import enum

from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.sender import Sender
from radishwind.http.server import Server
from radishwind.http.server_limits import ServerLimits


class HttpLibrary(enum.StrEnum):
    """The libraries that implement `Server` and `Sender`."""

    HTTPTOOLS = "httptools"
    AIOHTTP = "aiohttp"
    HYPERCORN_HTTPX = "hypercorn-httpx"


def make_server(
    library: HttpLibrary,
    limits: ServerLimits | None = None,
    memory: ConnectionMemory | None = None,
) -> Server:
    """Creates a server that does not listen yet.

    Args:
      library: the HTTP library.
      limits: of the listener.
      memory: bounds what the connections of all listeners hold, except those of
        hypercorn; by default only those of this one are counted.
    """
    limits = limits or ServerLimits()
    if library is HttpLibrary.HYPERCORN_HTTPX:
        from radishwind.http.hypercorn_server import HypercornServer

        return HypercornServer(limits)
    if library is HttpLibrary.AIOHTTP:
        from radishwind.http.aiohttp_server import AiohttpServer

        return AiohttpServer(limits, memory=memory)
    from radishwind.http.httptools_server import HttptoolsServer

    return HttptoolsServer(limits, memory=memory)


def make_sender(
    library: HttpLibrary,
    connections: int,
    memory: ConnectionMemory | None = None,
) -> Sender:
    """Creates a sender.

    Args:
      library: the HTTP library.
      connections: maximum number of connections to one address.
      memory: bounds what all connections hold; those of httptools only.
    """
    if library is HttpLibrary.HYPERCORN_HTTPX:
        from radishwind.http.httpx_sender import HttpxSender

        return HttpxSender(connections)
    if library is HttpLibrary.AIOHTTP:
        from radishwind.http.aiohttp_sender import AiohttpSender

        return AiohttpSender(connections)
    from radishwind.http.httptools_sender import HttptoolsSender

    return HttptoolsSender(connections, memory=memory)
