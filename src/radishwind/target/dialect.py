"""The interface by which a node communicates with its backend server."""

import abc

import msgspec

from radishwind.entry.call import Call
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response

#: Largest body of a health response (bytes).
MAX_HEALTH_BYTES = 64 * 1024


class ServerLoad(msgspec.Struct, frozen=True):
    """A load report of the server.

    Attributes:
      in_flight: requests running.
      queued: requests waiting at the server.
      slots: requests it runs at once.
      pace: current run time of work relative to the normal one; 1 is normal, 5
        is five times as long.
    """

    in_flight: int
    queued: int
    slots: int
    pace: float = 1.0


class ResponseMetadata(msgspec.Struct, frozen=True):
    """What the header fields of a server's response state.

    Attributes:
      matches_request: whether it can be the response to the request.
      names_request: whether it names that request.
      incarnation: the incarnation that answers; empty if not stated.
      is_not_run: whether the server states that it did not run the request.
      is_other_incarnation: whether it states that it is another incarnation
        than the one addressed.
      is_authentic: whether the response can be the server's own, unmodified.
      load: the server's load; `None` if not stated.
      warmup_left_s: remaining warm-up time of the server (s); `None` if not
        stated.
      states_limit: whether it states a request limit of the server, readable or
        not.
      limit_per_s: that limit, for all nodes together (requests/s); `None` if
        not stated or malformed.
      is_leaving: whether the server states that it is leaving.
      headers: the fields to forward to the caller.
    """

    matches_request: bool = True
    names_request: bool = True
    incarnation: str = ""
    is_not_run: bool = False
    is_other_incarnation: bool = False
    is_authentic: bool = True
    load: ServerLoad | None = None
    warmup_left_s: float | None = None
    states_limit: bool = False
    limit_per_s: float | None = None
    is_leaving: bool = False
    headers: Headers = ()


class VerifiedResponse(msgspec.Struct, frozen=True):
    """The server's own response to a request.

    Attributes:
      metadata: what its header fields state.
      incarnation: the incarnation that the request was sent to.
      sent_at: when the request was sent (monotonic s).
      is_success: whether the server ran the request successfully.
    """

    metadata: ResponseMetadata
    incarnation: str
    sent_at: float
    is_success: bool


class ServerDialect(abc.ABC):
    """Builds requests for the server and parses its responses."""

    @abc.abstractmethod
    def build_request(
        self, call: Call, incarnation: str, left_s: float
    ) -> Request:
        """Returns `call` as it is sent to the server.

        Args:
          call: the call to run.
          incarnation: the incarnation addressed; empty for any.
          left_s: time left until the deadline (s).
        """

    @abc.abstractmethod
    def build_health_request(self, path: str) -> Request:
        """Returns a health check at `path`."""

    @abc.abstractmethod
    def parse_response(
        self, call: Call, response: Response
    ) -> ResponseMetadata:
        """Returns what the header fields of the response to `call` state."""

    @abc.abstractmethod
    def parse_health_response(self, response: Response) -> ResponseMetadata:
        """Returns what the response to a health check states.

        A response that names a request is not that to a health check.
        """
