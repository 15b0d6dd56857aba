"""Interface for observers of the results of calls."""

import abc

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.outcomes.model import Outcome


class CallObserver(abc.ABC):
    """Receives the result of every request once."""

    @abc.abstractmethod
    def finished(self, call: Call, outcome: Outcome, elapsed_s: float) -> None:
        """Called when `call` has its final outcome.

        Args:
          call: the call.
          outcome: its final outcome; the response body may still be streaming.
          elapsed_s: time from the arrival of the request to the outcome (s).
        """

    def disconnected(self, call: Call, elapsed_s: float) -> None:  # noqa: B027
        """Called when the caller disconnected before it was answered.

        Args:
          call: the call.
          elapsed_s: time since the arrival of the request (s).
        """

    def rejected(self, exc: CallRejectedError) -> None:  # noqa: B027
        """Called when a request could not be classified and was rejected."""
