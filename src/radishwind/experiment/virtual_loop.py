"""An event loop whose time goes on only when nobody has anything to do."""

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
    """Goes on to the next timer instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("expected a task or a timer, all wait for none")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs tasks as usual and takes no time to wait."""

    def __init__(self) -> None:
        self._skipping_selector = _TimeSkippingSelector()
        super().__init__(self._skipping_selector)

    def time(self) -> float:
        return self._skipping_selector.now


class VirtualClock(Clock):
    """The time of the running loop."""

    def monotonic(self) -> float:
        return asyncio.get_running_loop().time()

    def now(self) -> datetime.datetime:
        return _EPOCH + datetime.timedelta(seconds=self.monotonic())


def run_in_virtual_time(main: Coroutine[Any, Any, _T]) -> _T:
    """Returns what `main` returns, run in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
