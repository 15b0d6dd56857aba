"""The interface by which the pipeline runs a call on the backend server."""

import abc
from collections.abc import Callable

from radishwind.entry.call import Call
from radishwind.http.types import Response
from radishwind.outcomes.model import Outcome
from radishwind.target.backend_server import ServerView


class Exchange(abc.ABC):
    """Sends calls to the server and determines their outcomes."""

    @abc.abstractmethod
    async def send(
        self, call: Call, view: ServerView, is_alone: bool
    ) -> Outcome:
        """Runs `call` on the server; its deadline has not passed yet.

        Args:
          call: the call to run.
          view: the server as last announced.
          is_alone: whether nothing else runs on the server meanwhile.
        """

    @abc.abstractmethod
    def wrap_stream(
        self,
        call: Call,
        response: Response,
        is_alone: bool,
        on_ended: Callable[[], None],
    ) -> Response:
        """Returns a streamed `response` that calls `on_ended` once at its end.

        Args:
          call: the call that it answers.
          response: as returned by `send`, with a stream as its body.
          is_alone: whether nothing else ran on the server.
          on_ended: called when the slot is free again.
        """
