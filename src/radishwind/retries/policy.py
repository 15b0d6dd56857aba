"""Interface of retry policies, and the simplest safe policy."""

import abc
from typing import TYPE_CHECKING

from radishwind.http.types import BodyStream
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call


class RetryPolicy(abc.ABC):
    """Decides after each attempt whether the call is retried."""

    def record_first_attempt(self, call: "Call", now: float) -> None:  # noqa: B027
        """Records that the first attempt of `call` begins.

        Args:
          call: the call.
          now: monotonic time (s).
        """

    @abc.abstractmethod
    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        """Returns whether to start another attempt.

        Args:
          call: the call.
          outcome: the outcome of the latest attempt.
          attempts: number of attempts so far.
          now: monotonic time (s).
        """


def is_safe_to_retry(call: "Call", outcome: Outcome) -> bool:
    """Returns whether a retry cannot cause an unintended second run.

    A request that may have run is safe to retry only if it is idempotent. A
    streamed body can't be sent twice.
    """
    if isinstance(outcome, Done):
        return False
    if isinstance(call.request.body, BodyStream):
        return False
    return isinstance(outcome, NotRun) or call.idempotent


class CappedRetryPolicy(RetryPolicy):
    """Retries up to `max_attempts` attempts, without a budget."""

    def __init__(self, max_attempts: int = 3) -> None:
        self._max_attempts = max_attempts

    def should_retry(
        self, call: "Call", outcome: Outcome, attempts: int, now: float
    ) -> bool:
        if attempts >= self._max_attempts or now >= call.deadline:
            return False
        return is_safe_to_retry(call, outcome)
