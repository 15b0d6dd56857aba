"""The failure domains that the operator empties; revisions only rise."""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.telemetry.logs import PartLogger


class EvacuatedDomains(msgspec.Struct, frozen=True):
    """What the store said of them as of one revision.

    Attributes:
      revision: of the store; 0 where nothing is known.
      names: the failure domains whose servers get nothing new.
    """

    revision: int = 0
    names: frozenset[str] = frozenset()

    def with_change(
        self, name: str, revision: int, *, evacuated: bool
    ) -> "EvacuatedDomains":
        """Returns the same after one change.

        Args:
          name: the failure domain.
          revision: of the change.
          evacuated: whether it is emptied or taken back.
        """
        names = self.names | {name} if evacuated else self.names - {name}
        return EvacuatedDomains(revision, names)


class EvacuationState:
    """Holds the newest of them; listeners hear of each change once.

    Attributes:
      domains: the newest that is known.
    """

    def __init__(self, clock: Clock) -> None:
        self._log = PartLogger("routes", clock)
        self._listeners: list[Callable[[EvacuatedDomains], None]] = []
        self.domains = EvacuatedDomains()

    @property
    def names(self) -> frozenset[str]:
        """The failure domains whose servers get nothing new."""
        return self.domains.names

    def subscribe(self, listener: Callable[[EvacuatedDomains], None]) -> None:
        """Calls `listener` after each change."""
        self._listeners.append(listener)

    def adopt(self, told: EvacuatedDomains, source: str) -> bool:
        """Takes `told` if it is newer; returns whether others are named.

        Args:
          told: what was told.
          source: who told it, for the log.
        """
        before = self.domains
        if told.revision <= before.revision:
            return False
        self.domains = told
        if told.names == before.names:
            return False
        self._log.change(
            "Other failure domains are emptied.",
            domains=" ".join(sorted(told.names)),
            before=" ".join(sorted(before.names)),
            revision=told.revision,
            source=source,
        )
        for listener in self._listeners:
            listener(told)
        return True
