"""The interface of what wants to know how calls ended."""

import abc

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.outcomes.model import Outcome


class CallObserver(abc.ABC):
    """Told once of every request: how its call ended, or why it became none."""

    @abc.abstractmethod
    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        """Notes that `call` ended.

        Args:
          call: the call.
          outcome: its final outcome; a body may still be streaming.
          elapsed_s: from the request's arrival to the outcome (s).
        """

    def disconnected(self, call: Call, elapsed_s: float) -> None:  # noqa: B027
        """Notes that the caller of `call` left before it was answered.

        Args:
          call: the call.
          elapsed_s: from the request's arrival on (s).
        """

    def rejected(self, exc: CallRejectedError) -> None:  # noqa: B027
        """Notes that a request was refused before it became a call."""
