"""Decides which configuration a node has in force, without any I/O."""

import enum

from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import Snapshot


class Source(enum.StrEnum):
    """Where a configuration was received from."""

    STORE = "store"
    PEER = "peer"


class Verdict(enum.Enum):
    """How a revision relates to the one in force, and what to do."""

    NEWER = "read it whole and adopt it"
    SAME = "it is in force"
    OLDER = "the other end lags"
    REFUSED = "never adopt it; tell operators"


class Adopter:
    """Holds the configuration in force, whose revision only rises.

    Attributes:
      snapshot: the configuration in force.
      refusals: number of refused records and configurations.
      last_refusal: reason of the last refusal; empty if there was none.
    """

    def __init__(self) -> None:
        self.snapshot = Snapshot()
        self.refusals = 0
        self.last_refusal = ""
        self._last_reported: tuple[str, str] | None = None

    def classify(
        self, revision: int, change_id: str, source: Source, held: int
    ) -> Verdict:
        """Returns how the newest revision of a source relates to the own one.

        Args:
          revision: newest revision of the source; 0 if it has none.
          change_id: ID of the change that produced it.
          source: where it was read.
          held: revision in force when the read began, since a newer one may
            have been adopted while the response was in transit.
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
        """Puts `snapshot` in force if its revision is higher.

        Returns:
          Whether it was adopted.
        """
        if snapshot.revision <= self.snapshot.revision:
            return False
        self.snapshot = snapshot
        return True

    def refuse(self, source: Source, exc: RevisionRefusedError) -> bool:
        """Records that a configuration was incomplete or malformed.

        Returns:
          Whether the refusal is new; false if it repeats the last one.
        """
        before = self.refusals
        self._refuse(source, "", str(exc))
        return self.refusals > before

    def _refuse(self, source: Source, change_id: str, reason: str) -> None:
        refusal = (source, change_id + reason)
        if refusal == self._last_reported:
            return
        self._last_reported = refusal
        self.refusals += 1
        self.last_refusal = (
            f"change {change_id or '(none)'} from the {source}: {reason}; "
            f"in force is {self.snapshot.change_id or '(none)'}"
        )
