"""The interface by which the entry side runs one attempt at one target."""

import abc
import dataclasses

from radishwind.entry.call import Call
from radishwind.membership.directory import Member
from radishwind.outcomes import Outcome
from radishwind.routing.chooser import LoadReport


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
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
