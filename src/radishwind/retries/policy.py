"""The interface of the retry policy, and the simplest that is safe."""

import abc
from typing import TYPE_CHECKING

from radishwind.http.types import BodyStream
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call


class RetryPolicy(abc.ABC):
    """Decides after each attempt whether there is another."""

    def record_first_attempt(self, call: "Call", now: float) -> None:  # noqa: B027
        """Notes that the first attempt of `call` begins.

        Args:
          call: the call.
          now: monotonic time (s).
        """

    @abc.abstractmethod
    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        """Returns whether to try again.

        Args:
          call: the call.
          outcome: of the attempt that just ended.
          attempts: how many there were.
          now: monotonic time (s).
        """


def is_safe_to_retry(call: "Call", outcome: Outcome) -> bool:
    """Returns whether another attempt breaks no promise."""
    if isinstance(outcome, Done):
        return False
    if isinstance(call.request.body, BodyStream):
        return False
    return isinstance(outcome, NotRun) or call.idempotent


class CappedRetryPolicy(RetryPolicy):
    """Tries up to `most` attempts, without a budget."""

    def __init__(self, most: int = 3) -> None:
        self._most = most

    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= self._most or now >= call.deadline:
            return False
        return is_safe_to_retry(call, outcome)
