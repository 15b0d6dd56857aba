"""Exit statuses, from sysexits.h where one fits, and the errors behind them."""

import traceback

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

_STATUS_BY_CODE = {
    ResultCode.SETTING_INVALID: 78,
    ResultCode.FILE_INVALID: 65,
    ResultCode.CHANGE_CONFLICT: 75,
    ResultCode.CHANGE_UNSETTLED: 74,
    ResultCode.STORE_UNAVAILABLE: 69,
    ResultCode.STORE_ANSWER_LOST: 74,
    ResultCode.ADMIN_UNAVAILABLE: 69,
}
_DEFAULT_STATUS = 70


def exit_status_for(code: ResultCode) -> int:
    """Returns the exit status for an error with the result code `code`."""
    return _STATUS_BY_CODE.get(code, _DEFAULT_STATUS)


def describe_error(exc: BaseException) -> tuple[ResultCode, str]:
    """Returns the result code of an error, and its text for an operator.

    The message of an unexpected error is omitted, since it may contain data of
    a caller.
    """
    if isinstance(exc, RadishwindError):
        return exc.code, str(exc)
    if isinstance(exc, OSError):
        code = ResultCode.SETTING_INVALID
        return code, f"RW-{int(code)}: the system refused: {exc}"
    code = ResultCode.INTERNAL_ERROR
    frames = traceback.extract_tb(exc.__traceback__)[-1:]
    place = "".join(f" at {f.name}, line {f.lineno}" for f in frames)
    return (
        code,
        f"RW-{int(code)}: {type(exc).__name__}{place}; please report it",
    )
