"""Decides which configuration a node has in force; pure."""

import enum

from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import Snapshot


class Source(enum.StrEnum):
    """Where a record was seen."""

    STORE = "store"
    PEER = "peer"


class Verdict(enum.Enum):
    """What to do about a record."""

    NEWER = "read it whole and adopt it"
    SAME = "it is in force"
    OLDER = "the other end lags"
    REFUSED = "never adopt it; tell operators"


class Adopter:
    """Holds the configuration in force; it only ever moves forward.

    Attributes:
      snapshot: the configuration in force.
      refusals: how many records or configurations were refused.
      last_refusal: why the last one was; empty while none was.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.refusals = 0
        self.last_refusal = ""
        self._reported: tuple[str, str] | None = None

    def classify(
        self, revision: int, change_id: str, source: Source, held: int
    ) -> Verdict:
        """Returns what to do about the newest revision seen somewhere.

        Args:
          revision: it; 0 if there is none.
          change_id: the change that made it.
          source: where it was seen.
          held: the revision in force when the reading began, since a newer
            one may have been adopted while an answer was on its way.
        """
        own = self.snapshot
        if revision > own.revision:
            return Verdict.NEWER
        if revision == own.revision:
            if change_id == own.change_id:
                return Verdict.SAME
            self._refuse(source, change_id, "the revision in force is another")
            return Verdict.REFUSED
        if source is Source.PEER or revision >= held:
            return Verdict.OLDER
        self._refuse(source, change_id, "it is lower than the one in force")
        return Verdict.REFUSED

    def adopt(self, snapshot: Snapshot) -> bool:
        """Puts `snapshot` in force if its revision is higher."""
        if snapshot.revision <= self.snapshot.revision:
            return False
        self.snapshot = snapshot
        return True

    def refuse(self, source: Source, exc: RevisionRefusedError) -> bool:
        """Notes a configuration that was not whole or malformed.

        Returns:
          Whether this is news; the same refusal again is not.
        """
        before = self.refusals
        self._refuse(source, "", str(exc))
        return self.refusals > before

    def _refuse(self, source: Source, change_id: str, why: str) -> None:
        refusal = (source, change_id + why)
        if refusal == self._reported:
            return
        self._reported = refusal
        self.refusals += 1
        self.last_refusal = (
            f"change {change_id or '(none)'} from the {source}: {why}; "
            f"in force is {self.snapshot.change_id or '(none)'}"
        )
