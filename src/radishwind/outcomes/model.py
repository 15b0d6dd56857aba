"""The three possible outcomes of an attempt.

A request that is not idempotent may be retried only after `NotRun`. The result
code and the text for the caller are taken from these values alone.
"""

from typing import TypeAlias

import msgspec

from radishwind.core.codes import ResultCode
from radishwind.http.types import Response


class NotRun(msgspec.Struct, frozen=True):
    """No byte of the request reached the server, or the server refused it.

    Attributes:
      code: the reason, from the 2000 or 3000 family.
      detail: explanation for the caller, one sentence.
      retry_after_s: time after which a retry is likely to be accepted (s);
        `None` if it is not known or a retry is of no use.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None


class Done(msgspec.Struct, frozen=True):
    """The server responded.

    Attributes:
      response: the response of the server; its body may still be streaming.
    """

    response: Response


class Unknown(msgspec.Struct, frozen=True):
    """The request may have run; it is not known whether it did.

    Attributes:
      code: the reason, from the 4000 family; 2005 if the body of a repeated
        request did not end.
      detail: explanation for the caller, one sentence.
      retry_after_s: time after which a repetition of the request may return
        its outcome (s); `None` if it can't.
    """

    code: ResultCode
    detail: str
    retry_after_s: float | None = None


Outcome: TypeAlias = NotRun | Done | Unknown
