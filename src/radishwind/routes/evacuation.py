"""Failure domains that the operator evacuated; their revision only rises."""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.telemetry.part_logger import PartLogger


class EvacuatedDomains(msgspec.Struct, frozen=True):
    """The evacuated failure domains as of one revision of the store.

    Attributes:
      revision: revision of the store; 0 if nothing is known yet.
      names: failure domains whose servers get no new requests.
    """

    revision: int = 0
    names: frozenset[str] = frozenset()

    def with_change(
        self, name: str, revision: int, *, evacuated: bool
    ) -> "EvacuatedDomains":
        """Returns the evacuated domains after one change.

        Args:
          name: the failure domain.
          revision: revision of the change.
          evacuated: whether it is now evacuated; false if it was restored.
        """
        names = self.names | {name} if evacuated else self.names - {name}
        return EvacuatedDomains(revision, names)


class EvacuationState:
    """Holds the newest evacuated domains and notifies listeners of changes.

    Attributes:
      domains: the evacuated domains of the highest revision received.
    """

    def __init__(self, clock: Clock) -> None:
        self._log = PartLogger("routes", clock)
        self._listeners: list[Callable[[EvacuatedDomains], None]] = []
        self.domains = EvacuatedDomains()

    @property
    def names(self) -> frozenset[str]:
        """Failure domains whose servers get no new requests."""
        return self.domains.names

    def subscribe(self, listener: Callable[[EvacuatedDomains], None]) -> None:
        """Registers `listener`, called after each change of the names."""
        self._listeners.append(listener)

    def adopt(self, domains: EvacuatedDomains, source: str) -> bool:
        """Adopts `domains` if their revision is higher.

        Args:
          domains: the evacuated domains received.
          source: where they were received from, for the log.

        Returns:
          Whether the names changed.
        """
        previous = self.domains
        if domains.revision <= previous.revision:
            return False
        self.domains = domains
        if domains.names == previous.names:
            return False
        self._log.change(
            "The evacuated failure domains changed.",
            domains=" ".join(sorted(domains.names)),
            before=" ".join(sorted(previous.names)),
            revision=domains.revision,
            source=source,
        )
        for listener in self._listeners:
            listener(domains)
        return True
