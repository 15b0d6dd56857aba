"""aiohttp's client protocol, stricter about what is a whole answer.

Two things that aiohttp lets pass are refused here: an answer without a length
whose connection is reset instead of ended, and bytes that arrive while no
request waits, which would be taken for the answer to the next one.
"""

from typing import Any

from aiohttp import ClientPayloadError
from aiohttp.client_proto import ResponseHandler
from aiohttp.helpers import set_exception


class StrictResponseHandler(ResponseHandler):
    """Takes a reset for a broken answer and unasked bytes for a fault."""

    def set_response_params(self, **params: Any) -> None:
        # A request begins: the answer before is no longer the last word.
        self._payload = None
        super().set_response_params(**params)

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
        """Returns whether the last answer is whole and none is due."""
        return self._payload is not None and self._payload.is_eof()
