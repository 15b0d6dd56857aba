"""An event loop in virtual time, which advances only when no task can run."""

import asyncio
from collections.abc import Coroutine
import datetime
import selectors
from typing import Any
from typing import TypeVar

from radishwind.core.clock import Clock

_T = TypeVar("_T")

_EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)


class _TimeSkippingSelector(selectors.SelectSelector):
    """Advances the virtual time to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError(
                "deadlock in virtual time: all tasks wait and no timer is set"
            )
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks as usual; waiting takes no real time."""

    def __init__(self) -> None:
        self._skipping_selector = _TimeSkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        return self._skipping_selector.now


class VirtualClock(Clock):
    """The time of the running event loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        return _EPOCH + datetime.timedelta(seconds=self.monotonic())


def run_in_virtual_time(main: Coroutine[Any, Any, _T]) -> _T:
    """Runs `main` in virtual time and returns its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
