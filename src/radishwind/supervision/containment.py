"""Contains errors in listeners and in short tasks."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import ParamSpec
from typing import TypeVar

from radishwind.supervision.cancellation import is_cancelled
from radishwind.supervision.failure_log import failure_log

_P = ParamSpec("_P")
_T = TypeVar("_T")


def notify(
    name: str,
    listener: Callable[_P, object],
    /,
    *args: _P.args,
    **kwargs: _P.kwargs,
) -> bool:
    """Calls a listener; an error in it is logged and counted.

    Args:
      name: identifies the listener in the log and in the metrics.
      listener: the listener.
      *args: its arguments.
      **kwargs: its keyword arguments.

    Returns:
      Whether it returned without an error.
    """
    try:
        listener(*args, **kwargs)
    except Exception as exc:
        failure_log().record(name, exc)
        return False
    return True


async def run_contained(
    name: str,
    work: Callable[_P, Awaitable[_T]],
    /,
    *args: _P.args,
    **kwargs: _P.kwargs,
) -> _T | None:
    """Runs a short task; an error in it is logged and counted.

    Args:
      name: identifies the task in the log and in the metrics.
      work: the task.
      *args: its arguments.
      **kwargs: its keyword arguments.

    Returns:
      Its result; `None` after an error.
    """
    try:
        return await work(*args, **kwargs)
    except asyncio.CancelledError as exc:
        if is_cancelled():
            raise
        failure_log().record(name, exc)
        return None
    except Exception as exc:
        failure_log().record(name, exc)
        return None
