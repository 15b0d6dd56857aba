"""Interface of the guard through which every call is executed."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Executes a call: dispatches its attempts and returns the outcome.
Execute: TypeAlias = Callable[["Call"], Awaitable[Outcome]]


class ClaimGuard(abc.ABC):
    """Ensures that a call with an idempotency key runs at most once."""

    @abc.abstractmethod
    async def run(self, call: "Call", execute: Execute) -> Outcome:
        """Executes `call` unless it is a duplicate; returns its outcome.

        Args:
          call: the call, with or without an idempotency key; without one it is
            executed unconditionally.
          execute: executes the call; called at most once.
        """


class NoClaims(ClaimGuard):
    """Executes every call; does not detect duplicates."""

    async def run(self, call: "Call", execute: Execute) -> Outcome:
        return await execute(call)
