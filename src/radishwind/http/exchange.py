"""A request on a connection of a listener, from its head to its response."""

import asyncio

from radishwind.http.connection_memory import REQUEST_OVERHEAD_BYTES
from radishwind.http.incoming_body import IncomingBody
from radishwind.http.types import abort_body
from radishwind.http.types import Request
from radishwind.http.types import Response


class Exchange:
    """A received request and its response.

    Attributes:
      request: the request.
      closes_connection: whether it is the last one of its sender on the
        connection.
      body: the body of the request, if it is still being received.
      accepts_chunks: whether the sender supports chunked encoding.
      may_overlap: whether other requests may run at the same time; `None` until
        it is needed.
      response: the response; `None` until the handler has returned it.
      task: runs the handler and writes the response; `None` until it starts.
      head_bytes: length of the head of the request (bytes).
    """

    __slots__ = (
        "accepts_chunks",
        "body",
        "closes_connection",
        "head_bytes",
        "may_overlap",
        "request",
        "response",
        "task",
    )

    def __init__(
        self,
        request: Request,
        closes_connection: bool,
        body: IncomingBody | None,
    ) -> None:
        self.request = request
        self.closes_connection = closes_connection
        self.body = body
        self.accepts_chunks = True
        self.may_overlap: bool | None = None
        self.response: Response | None = None
        self.task: asyncio.Task[None] | None = None
        self.head_bytes = 0

    @property
    def has_streamed_response(self) -> bool:
        """Whether the response is received while it is passed on."""
        if self.response is None or isinstance(self.response.body, bytes):
            return False
        return not self.response.body.is_fully_buffered

    @property
    def held_bytes(self) -> int:
        """Approximate memory of the request and its response.

        A response that is received while it is passed on is left out.
        """
        held = REQUEST_OVERHEAD_BYTES + self.head_bytes
        if self.body is not None:
            held += self.body.held_bytes
        elif isinstance(self.request.body, bytes):
            held += len(self.request.body)
        response = self.response
        if response is not None and isinstance(response.body, bytes):
            held += len(response.body)
        return held

    def cancel(self) -> None:
        """Cancels the request; aborts a response that will not be read.

        Aborting its body releases the slot that the response holds.
        """
        if self.task is not None:
            self.task.cancel()
        if self.response is not None:
            abort_body(self.response.body)
