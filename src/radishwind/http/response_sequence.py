"""Follows which response on a connection answers which request.

Where responses name their requests, a connection may carry another request only
after a response that named its own. The late copy of the response before is
recognized by the request that it names, and is skipped.
"""

import enum

from radishwind.http.heads import Framing
from radishwind.http.heads import has_body
from radishwind.http.response_check import ResponseCheck
from radishwind.http.response_check import ResponseMatch
from radishwind.http.types import Headers

#: Largest late copy of an earlier response that is skipped (bytes).
MAX_SKIPPED_BYTES = 256 * 1024


class CloseReason(enum.StrEnum):
    """Why a connection is closed although it still works."""

    #: A response named no request.
    UNIDENTIFIED = "unidentified"
    #: A response named a request other than the last two.
    FOREIGN = "foreign"
    #: A late copy of the response before was skipped.
    SURPLUS = "surplus"
    #: Bytes came while no request waited for a response.
    UNSOLICITED = "unsolicited"
    #: A response exceeded a limit of its size.
    TOO_LONG = "too-long"
    #: All connections together held more memory than they may.
    MEMORY = "memory"


class Verdict(enum.Enum):
    """What to do with a response."""

    ACCEPT = enum.auto()
    SKIP = enum.auto()
    REJECT = enum.auto()


class ResponseSequence:
    """The responses on one connection.

    Attributes:
      close_reason: why the connection must not carry another request; `None` if
        it may.
    """

    def __init__(self) -> None:
        self._check: ResponseCheck | None = None
        self._previous_check: ResponseCheck | None = None
        self.close_reason: CloseReason | None = None

    def start(self, check: ResponseCheck | None) -> None:
        """Starts with a request; `check` recognizes the response to it."""
        self._previous_check, self._check = self._check, check

    def judge(
        self, status: int, headers: Headers, framing: Framing, *, to_head: bool
    ) -> Verdict:
        """Returns what to do with the response that has this head.

        Args:
          status: the HTTP status.
          headers: the header fields.
          framing: how its body is delimited.
          to_head: whether the request was a HEAD request.
        """
        if self._check is None:
            return Verdict.ACCEPT
        match = self._check.match(status, headers)
        if match is ResponseMatch.OWN:
            return Verdict.ACCEPT
        if match is ResponseMatch.UNIDENTIFIED:
            # All responses before it named their requests, so that it is no
            # copy of one of them.
            self.close_reason = CloseReason.UNIDENTIFIED
            return Verdict.ACCEPT
        if to_head or self.close_reason is not None:
            return Verdict.REJECT
        if not self._is_late_copy(status, headers):
            return Verdict.REJECT
        if not _is_skippable(status, framing):
            return Verdict.REJECT
        self.close_reason = CloseReason.SURPLUS
        return Verdict.SKIP

    def _is_late_copy(self, status: int, headers: Headers) -> bool:
        """Returns whether the head is that of the response before."""
        if self._previous_check is None:
            return False
        match = self._previous_check.match(status, headers)
        return match is ResponseMatch.OWN


def _is_skippable(status: int, framing: Framing) -> bool:
    """Returns whether the end of the response can be found by its framing."""
    if not has_body(status):
        return False
    if framing.is_chunked:
        return True
    return framing.length is not None and framing.length <= MAX_SKIPPED_BYTES
