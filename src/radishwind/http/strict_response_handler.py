"""A stricter version of aiohttp's client protocol.

It rejects two things that aiohttp accepts: a response without a length whose
connection is reset instead of closed, and bytes that arrive while no request is
in progress, which would be taken for the response to the next one.
"""

from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception

_FIRST_FINAL_STATUS = 200


class StrictResponseHandler(ResponseHandler):
    """Treats resets and unsolicited bytes as errors of the connection."""

    def set_response_params(self, **params: Any) -> None:
        # A request starts, so the previous response no longer counts.
        self._payload = None
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        message, _ = data
        if message.code < _FIRST_FINAL_STATUS:
            # The final response is still due.
            self._payload = None
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            set_exception(payload, ClientPayloadError(f"reset: {exc!r}"), exc)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        if data and self._is_idle() and self.transport is not None:
            self.force_close()
            self.transport.abort()
            return
        super().data_received(data)

    def _is_idle(self) -> bool:
        """Returns whether the last response is complete and none is due."""
        return self._payload is not None and self._payload.is_eof()
