"""A pool of short tasks, each of which fails alone."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import ParamSpec

import anyio
import anyio.abc

from radishwind.supervision.containment import run_contained
from radishwind.supervision.duty import Duty

_P = ParamSpec("_P")


class TaskPool:
    """Runs short tasks while its duty runs.

    An error in a task neither ends the others nor the part that started it.

    Attributes:
      duty: runs the pool until it is cancelled, and then cancels its tasks.
    """

    def __init__(self, name: str) -> None:
        """Creates a pool.

        Args:
          name: identifies the tasks in the log and in the metrics.
        """
        self._name = name
        self._tasks: anyio.abc.TaskGroup | None = None
        self.duty = Duty(name, self._run)

    @property
    def is_running(self) -> bool:
        """Whether tasks can be started."""
        return self._tasks is not None

    def start_soon(
        self,
        work: Callable[_P, Awaitable[object]],
        /,
        *args: _P.args,
        **kwargs: _P.kwargs,
    ) -> bool:
        """Starts a task; returns false if the pool does not run."""
        if self._tasks is None:
            return False
        self._tasks.start_soon(
            lambda: run_contained(self._name, work, *args, **kwargs),
            name=self._name,
        )
        return True

    async def _run(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None
