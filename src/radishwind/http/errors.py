"""Errors of sending, told apart by whether a byte can have been sent."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class SendError(RadishwindError):
    """An exchange failed."""


class ConnectFailedError(SendError):
    """No connection was made, so no byte of the request was sent."""

    code = ResultCode.CONNECT_FAILED


class ExchangeBrokenError(SendError):
    """The exchange broke after the connection was there; bytes may be sent."""

    code = ResultCode.EXCHANGE_BROKEN


class RequestRejectedError(RadishwindError):
    """A received request breaks the rules or limits of HTTP."""

    code = ResultCode.REQUEST_MALFORMED


class RequestTooLargeError(RequestRejectedError):
    """The body is larger than the limit."""

    code = ResultCode.REQUEST_TOO_LARGE


class SenderTooSlowError(RequestRejectedError):
    """The sender paused too long within the body."""

    code = ResultCode.SENDER_TOO_SLOW
