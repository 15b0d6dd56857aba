"""The three outcomes of an attempt, as types.

A request that is not idempotent may be tried again only after `NotRun`. The
result code and the caller's text are made from these values alone.
"""

from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.types import Response


class NotRun(msgspec.Struct, frozen=True):
    """No byte of the request reached the server, or the server refused it.

    Attributes:
      code: why, from the 2000 or 3000 family.
      detail: a sentence for the caller.
      retry_after_s: when to come back (s), if that can help.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None


class Done(msgspec.Struct, frozen=True):
    """The server answered.

    Attributes:
      response: the server's answer; its body may still be streaming.
    """

    response: Response


class Unknown(msgspec.Struct, frozen=True):
    """The request may have run; nothing tells whether it did.

    Attributes:
      code: why, from the 4000 family; 2005 where the body of a repeated
        request did not end.
      detail: a sentence for the caller.
      retry_after_s: when asking again may tell more (s), if it can.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None


Outcome: TypeAlias = NotRun | Done | Unknown
