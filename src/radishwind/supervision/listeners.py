"""Listeners of a change, each of which fails alone."""

from collections.abc import Callable
import random
from typing import Generic
from typing import ParamSpec

import anyio

from radishwind.core.backoff import Backoff
from radishwind.supervision.containment import notify
from radishwind.supervision.duty import Duty

#: Bounds of the pause before listeners that failed are called again (s). A
#: listener that always fails costs little at the longest one.
INITIAL_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 10.0

_P = ParamSpec("_P")


class Listeners(Generic[_P]):
    """Calls each listener of a change, whether or not others fail.

    A listener that failed is called again with the newest change, while the
    duty `retries` runs, so that a change is not adopted by half for good.

    Attributes:
      retries: calls again the listeners that failed.
    """

    def __init__(self, name: str) -> None:
        """Creates a list without listeners.

        Args:
          name: identifies the listeners in the log and in the metrics.
        """
        self._name = name
        self._listeners: list[Callable[_P, object]] = []
        self._failed: list[Callable[_P, object]] = []
        self._newest: Callable[[Callable[_P, object]], object] = _ignore
        self._has_failed = anyio.Event()
        self.retries = Duty(f"{name}.retries", self._retry)

    def add(self, listener: Callable[_P, object]) -> None:
        """Calls `listener` from now on at each change."""
        self._listeners.append(listener)

    def notify(self, *args: _P.args, **kwargs: _P.kwargs) -> None:
        """Calls each listener; errors are logged and counted."""
        self._newest = lambda listener: listener(*args, **kwargs)
        self._failed = self._call(tuple(self._listeners))

    def retry_failed(self) -> bool:
        """Calls again those that failed; returns whether none fails now."""
        self._failed = self._call(tuple(self._failed))
        return not self._failed

    def _call(
        self, listeners: tuple[Callable[_P, object], ...]
    ) -> list[Callable[_P, object]]:
        """Calls listeners with the newest change; returns those that fail."""
        newest = self._newest
        failed = [
            listener
            for listener in listeners
            if not notify(self._name, newest, listener)
        ]
        if failed:
            self._has_failed.set()
        return failed

    async def _retry(self) -> None:
        rng = random.Random()
        while True:
            await self._has_failed.wait()
            backoff = Backoff(rng, INITIAL_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
            while self._failed:
                await anyio.sleep(backoff.record_failure())
                self.retry_failed()
            self._has_failed = anyio.Event()


def _ignore(listener: Callable[_P, object]) -> None:
    """Stands for the newest change before the first."""
