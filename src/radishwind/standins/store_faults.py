"""Injects faults into the calls of the platform's store stand-in."""

import asyncio
import collections
from collections.abc import Mapping

from aiohttp import web
import msgspec

from radishwind.standins.odd_answers import spoil_answer


class StoreFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The faults in force until they are replaced.

    A connection on which a response was lost returns nothing further.

    Attributes:
      down: empty, `busy` (status 503), `many` (status 429), `reset` (the
        connection is reset) or `silent` (no response).
      only: the nodes to which `down`, `cut` and `mute` apply, by IP address;
        empty for all. A node is known by the address of the store that it
        calls, or by its own.
      cut: whether the open connections are reset when the faults are set.
      mute: whether the open connections return nothing from then on; new ones
        are served.
      delay_ms: the delay before each call is processed (ms).
      lose_answers: the number of next transactions whose response is lost.
      late_s: the delay after which a transaction whose response was lost is
        applied, if its conditions still hold (s).
      lose_watch_answers: the number of next watch responses with events that
        are lost.
      odd_answer: empty, or what is odd about the answers, see `OddAnswer`.
    """

    down: str = ""
    only: tuple[str, ...] = ()
    cut: bool = False
    mute: bool = False
    delay_ms: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    lose_watch_answers: int = 0
    odd_answer: str = ""


class FaultInjector:
    """Applies the faults to calls and connections, and counts what it did.

    Attributes:
      injected: how often each fault took effect, by its name and the address
        of the node, as of `StoreFaults.only`.
    """

    def __init__(self) -> None:
        self._faults = StoreFaults()
        self._answers_to_lose = 0
        self._watch_answers_to_lose = 0
        self._connections: dict[asyncio.BaseTransport, str] = {}
        self._mute_connections: set[asyncio.BaseTransport] = set()
        self.injected: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def faults(self) -> StoreFaults:
        """The faults in force."""
        return self._faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._faults = faults
        self._answers_to_lose = faults.lose_answers
        self._watch_answers_to_lose = faults.lose_watch_answers
        self._drop_closed_connections()
        for transport, node in list(self._connections.items()):
            if faults.only and node not in faults.only:
                continue
            if faults.mute:
                self._mute_connections.add(transport)
                self.injected["mute", node] += 1
            if faults.cut:
                transport.abort()  # type: ignore[attr-defined]
                self.injected["cut", node] += 1

    def cut_all(self) -> None:
        """Resets all open connections."""
        self._drop_closed_connections()
        for transport in self._connections:
            transport.abort()  # type: ignore[attr-defined]

    def record_connection(self, request: web.Request) -> None:
        """Records the connection of a call, so that faults can affect it."""
        self._drop_closed_connections()
        if request.transport is not None:
            self._connections[request.transport] = node_of(request)

    def is_down_for(self, request: web.Request) -> bool:
        """Returns whether the call is to be refused now."""
        faults = self._faults
        if not faults.down:
            return False
        nodes = {node_of(request), request.remote}
        return not faults.only or bool(nodes & set(faults.only))

    async def refuse(self, request: web.Request) -> web.StreamResponse:
        """Refuses a call as the faults in force say."""
        self.injected[self._faults.down, node_of(request)] += 1
        return await send_fault(request, self._faults.down)

    def is_mute(self, request: web.Request) -> bool:
        """Returns whether the connection of the call returns nothing."""
        return request.transport in self._mute_connections

    def loses_watch_answer(self, request: web.Request) -> bool:
        """Returns whether this watch response is lost, and counts the loss."""
        if self._watch_answers_to_lose <= 0:
            return False
        self._watch_answers_to_lose -= 1
        self.injected["lost watch answer", node_of(request)] += 1
        return True

    def loses_answer(self, request: web.Request) -> bool:
        """Returns whether a transaction's response is lost, and counts it."""
        if self._answers_to_lose <= 0:
            return False
        self._answers_to_lose -= 1
        self.injected["lost answer", node_of(request)] += 1
        return True

    def spoil(
        self, request: web.Request, response: web.StreamResponse
    ) -> web.StreamResponse:
        """Returns the response as `odd_answer` says, and counts it."""
        is_whole = isinstance(response, web.Response) and not response.prepared
        if not self._faults.odd_answer or not is_whole:
            return response
        self.injected["odd answer", node_of(request)] += 1
        assert isinstance(response, web.Response)
        return spoil_answer(response, self._faults.odd_answer)

    def record_reads(
        self, request: web.Request, items: Mapping[str, str]
    ) -> None:
        """Counts the odd items that a node reads.

        Args:
          request: the call of the node.
          items: what is odd about each, by key.
        """
        for oddity in items.values():
            self.injected[f"odd record {oddity}", node_of(request)] += 1

    def _drop_closed_connections(self) -> None:
        for transport in list(self._connections):
            if transport.is_closing():
                del self._connections[transport]
                self._mute_connections.discard(transport)


async def send_fault(request: web.Request, fault: str) -> web.StreamResponse:
    """Responds as `fault` says: `busy`, `many`, `silent` or `reset`."""
    if fault == "busy":
        return web.json_response({}, status=503)
    if fault == "many":
        return web.json_response({}, status=429)
    if fault == "silent":
        return await never_respond()
    transport = request.transport
    if transport is not None:
        transport.abort()
    return web.Response(status=503)


def node_of(request: web.Request) -> str:
    """Returns the address by which the node that sent `request` is known.

    Each node of a deployment calls the store at an address of its own; their
    connections all come from the same address of the loopback interface.
    """
    if request.transport is None:
        return ""
    return str(request.transport.get_extra_info("sockname")[0])


async def never_respond() -> web.StreamResponse:
    """Holds the response, and so the connection, for ever."""
    await asyncio.Event().wait()
    return web.Response(status=503)
