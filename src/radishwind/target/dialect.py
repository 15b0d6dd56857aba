"""The interface by which a node speaks to the backend server beside it."""

import abc

import msgspec

from radishwind.entry.call import Call
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response


class ServerLoad(msgspec.Struct, frozen=True):
    """The load as the server itself tells it.

    Attributes:
      in_flight: requests running.
      queued: requests waiting at the server.
      slots: requests it runs at once.
      pace: how long work takes at this moment; 1 is as usual, 5 five times
        as long.
    """

    in_flight: int
    queued: int
    slots: int
    pace: float = 1.0


class ResponseMetadata(msgspec.Struct, frozen=True):
    """What the fields of an answer of the server tell.

    Attributes:
      matches_request: whether it names the request that it is to answer.
      incarnation: the incarnation that answers; empty if not told.
      is_not_run: whether the server says that it did not run the request.
      is_other_incarnation: whether it says that it is another incarnation than
        meant.
      is_authentic: whether the answer can be the server's own, as it made it.
      load: the server's load, where told.
      warmup_left_s: how much longer the server is cold (s), where told.
      headers: the fields that go on to the caller.
    """

    matches_request: bool = True
    incarnation: str = ""
    is_not_run: bool = False
    is_other_incarnation: bool = False
    is_authentic: bool = True
    load: ServerLoad | None = None
    warmup_left_s: float | None = None
    headers: Headers = ()


class ServerDialect(abc.ABC):
    """Makes requests for the server and reads its answers."""

    @abc.abstractmethod
    def build_request(
        self, call: Call, incarnation: str, left_s: float
    ) -> Request:
        """Returns `call` as the server gets it.

        Args:
          call: what to run.
          incarnation: the incarnation meant; empty for any.
          left_s: time left to the deadline (s).
        """

    @abc.abstractmethod
    def build_health_request(self, path: str) -> Request:
        """Returns a health check at `path`."""

    @abc.abstractmethod
    def parse_response(
        self, call: Call, response: Response
    ) -> ResponseMetadata:
        """Returns what the fields of the answer to `call` tell."""

    @abc.abstractmethod
    def parse_health_response(self, response: Response) -> ResponseMetadata:
        """Returns what the answer to a health check tells."""
