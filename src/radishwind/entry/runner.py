"""The interface by which the entry side runs one attempt at one target."""

import abc

import msgspec

from radishwind.entry.call import Call
from radishwind.membership.directory import Member
from radishwind.outcomes import Outcome
from radishwind.routing.chooser import LoadReport


class AttemptResult(msgspec.Struct, frozen=True):
    """What became of one attempt.

    Attributes:
      outcome: the outcome.
      load: the target's load, where it told it.
    """

    outcome: Outcome
    load: LoadReport | None = None


class AttemptRunner(abc.ABC):
    """Runs one attempt at one target."""

    @abc.abstractmethod
    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        """Runs `call` at `member`; never raises for what a peer does."""
