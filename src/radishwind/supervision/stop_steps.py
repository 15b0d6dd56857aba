"""The steps of a stop, each of which runs whether or not others fail."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import ParamSpec

from radishwind.supervision.failure_log import failure_log

_P = ParamSpec("_P")


class StopSteps:
    """Runs the steps of a stop; an error in one does not cut the others.

    Attributes:
      first_error: the first error of a step, or the error that caused the
        stop; `None` if there was none.
    """

    def __init__(self) -> None:
        self.first_error: Exception | None = None

    def record(self, name: str, exc: Exception) -> None:
        """Records an error in the step `name`, or the cause of the stop."""
        self.first_error = self.first_error or exc
        failure_log().record(f"stop.{name}", exc)

    def call(
        self,
        name: str,
        step: Callable[_P, object],
        /,
        *args: _P.args,
        **kwargs: _P.kwargs,
    ) -> None:
        """Runs a step that does not wait."""
        try:
            step(*args, **kwargs)
        except Exception as exc:
            self.record(name, exc)

    async def run(
        self,
        name: str,
        step: Callable[_P, Awaitable[object]],
        /,
        *args: _P.args,
        **kwargs: _P.kwargs,
    ) -> None:
        """Runs a step."""
        try:
            await step(*args, **kwargs)
        except Exception as exc:
            self.record(name, exc)
