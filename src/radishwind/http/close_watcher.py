"""Notices that peers close connections from which nothing is read.

The end of a connection lies behind the bytes that were received before it, so
that it shows neither to a reader that has paused nor in the event loop. The
kernel tells it separately.
"""

import asyncio
from collections.abc import Callable
import select

#: How often the watched connections are checked (s).
CHECK_INTERVAL_S = 0.1


class CloseWatcher:
    """Checks connections for their end while any is watched."""

    def __init__(self) -> None:
        self._poll = select.poll()
        self._callbacks: dict[int, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None

    def watch(
        self, transport: asyncio.BaseTransport, on_closed: Callable[[], None]
    ) -> None:
        """Watches a connection until it is closed or no longer watched.

        Args:
          transport: of the connection; must not be closed while it is watched.
          on_closed: called once its peer has closed or reset it.
        """
        descriptor = _descriptor(transport)
        if descriptor < 0:
            return
        # A reset and an error are reported in any case.
        self._poll.register(descriptor, select.POLLRDHUP)
        self._callbacks[descriptor] = on_closed
        if self._timer is None:
            self._schedule()

    def unwatch(self, transport: asyncio.BaseTransport) -> None:
        """Stops watching a connection, if it is watched."""
        self._remove(_descriptor(transport))

    def _remove(self, descriptor: int) -> Callable[[], None] | None:
        callback = self._callbacks.pop(descriptor, None)
        if callback is not None:
            self._poll.unregister(descriptor)
        return callback

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._timer = None
        for descriptor, _ in self._poll.poll(0):
            callback = self._remove(descriptor)
            if callback is not None:
                callback()
        if self._callbacks:
            self._schedule()


def _descriptor(transport: asyncio.BaseTransport) -> int:
    """Returns the descriptor of the socket; -1 if there is none."""
    sock = transport.get_extra_info("socket")
    return -1 if sock is None else sock.fileno()
