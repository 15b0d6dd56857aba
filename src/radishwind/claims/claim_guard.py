"""The interface that stands between a keyed call and its attempts."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Runs the attempts of a call.
Execute: TypeAlias = Callable[["Call"], Awaitable[Outcome]]


class ClaimGuard(abc.ABC):
    """Lets a call with an idempotency key run at most once."""

    @abc.abstractmethod
    async def run(self, call: "Call", execute: Execute) -> Outcome:
        """Returns the outcome of `call`, running it unless it ran before.

        Args:
          call: any call; one without a key is just executed.
          execute: runs its attempts; called at most once.
        """


class NoClaims(ClaimGuard):
    """Remembers nothing."""

    async def run(self, call: "Call", execute: Execute) -> Outcome:
        return await execute(call)
