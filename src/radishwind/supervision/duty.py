"""A duty in the background, and what is known of it."""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from typing import Any

import anyio
import msgspec


class Duty(msgspec.Struct, frozen=True):
    """Work that a node does beside its requests, until it is cancelled.

    Attributes:
      name: identifies the duty in the log and in the metrics.
      run: does the work. It is called again after an error, so it must not
        depend on what an earlier call left unfinished.
      may_end: whether the work is done once `run` returns. Otherwise its
        return counts as an error.
    """

    name: str
    run: Callable[[], Coroutine[Any, Any, None]]
    may_end: bool = False


class DutyStatus(msgspec.Struct, frozen=True):
    """State of a duty.

    Attributes:
      name: name of the duty.
      is_running: whether it runs; false during a pause after an error.
      failure_count: errors since the start of the process.
      last_error: type of the last error; empty if there was none.
    """

    name: str
    is_running: bool
    failure_count: int
    last_error: str


class DutyEndedError(Exception):
    """A duty returned that should run until it is cancelled."""


async def run_together(duties: Iterable[Duty]) -> None:
    """Runs duties without supervision: an error in one of them ends all."""
    async with anyio.create_task_group() as tasks:
        for duty in duties:
            tasks.start_soon(duty.run, name=duty.name)
