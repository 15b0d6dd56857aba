"""Interface for running one attempt of a call at one target."""

import abc

import msgspec

from radishwind.entry.call import Call
from radishwind.membership.directory import Member
from radishwind.outcomes import Outcome
from radishwind.routing.chooser import LoadReport


class AttemptResult(msgspec.Struct, frozen=True):
    """The result of one attempt.

    Attributes:
      outcome: the outcome.
      load: the load report of the target, if it sent one.
    """

    outcome: Outcome
    load: LoadReport | None = None


class AttemptRunner(abc.ABC):
    """Runs one attempt at one target."""

    @abc.abstractmethod
    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        """Runs `call` at `member`; never raises for a failure of a peer."""
