"""Errors of exchanges and of received requests.

Errors of sending distinguish whether a byte of the request may have been sent.
"""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class SendError(RadishwindError):
    """An exchange failed."""


class ConnectFailedError(SendError):
    """No connection could be opened, so no byte of the request was sent."""

    code = ResultCode.CONNECT_FAILED


class ExchangeBrokenError(SendError):
    """The exchange broke on an open connection; bytes may have been sent."""

    code = ResultCode.EXCHANGE_BROKEN


class InvalidResponseError(ExchangeBrokenError):
    """The peer sent bytes that are not a valid response to the request."""


class ResponseMismatchError(InvalidResponseError):
    """The response received is not the one to the request sent."""

    code = ResultCode.ANSWER_MISMATCH


class ResponseTooLongError(InvalidResponseError):
    """The response exceeds a limit of its size."""


class RequestRejectedError(RadishwindError):
    """A received request violates the rules or limits of HTTP."""

    code = ResultCode.REQUEST_MALFORMED


class RequestTooLargeError(RequestRejectedError):
    """The body exceeds the size limit."""

    code = ResultCode.REQUEST_TOO_LARGE


class SenderTooSlowError(RequestRejectedError):
    """The sender paused too long while sending the body."""

    code = ResultCode.SENDER_TOO_SLOW
