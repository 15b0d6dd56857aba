"""Failure domains that the operator evacuated; their position only rises.

A store that comes back from a copy has lost what the operator wrote since,
until the operator writes it again. Domains that were evacuated before therefore
stay evacuated for a while.
"""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.store.position import Era
from radishwind.store.position import StorePosition
from radishwind.supervision import Duty
from radishwind.supervision import Listeners
from radishwind.telemetry.part_logger import PartLogger

#: How long a domain stays evacuated that was so before the store came back from
#: a copy (s). The operator writes again what the copy lacks.
CARRIED_S = 10.0


class EvacuatedDomains(msgspec.Struct, frozen=True):
    """The evacuated failure domains as of one position of the store.

    Attributes:
      revision: revision of the store; 0 if nothing is known yet.
      names: failure domains whose servers get no new requests.
      era: era of the store; 0 if it states none.
    """

    revision: NonNegativeInt = 0
    names: frozenset[str] = frozenset()
    era: Era = 0

    @property
    def position(self) -> StorePosition:
        """The position of the store."""
        return StorePosition(self.era, self.revision)

    def with_change(
        self, name: str, position: StorePosition, *, evacuated: bool
    ) -> "EvacuatedDomains":
        """Returns the evacuated domains after one change.

        Args:
          name: the failure domain.
          position: position of the change.
          evacuated: whether it is now evacuated; false if it was restored.
        """
        names = self.names | {name} if evacuated else self.names - {name}
        return EvacuatedDomains(position.revision, names, position.era)


class EvacuationState:
    """Holds the newest evacuated domains and notifies listeners of changes.

    Attributes:
      domains: the evacuated domains of the highest position received.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("routes", clock)
        # Domains evacuated in an earlier era, and until when that counts
        # (monotonic s).
        self._carried: frozenset[str] = frozenset()
        self._carried_until = 0.0
        self._listeners: Listeners[EvacuatedDomains] = Listeners(
            "routes.evacuation"
        )
        self.domains = EvacuatedDomains()

    @property
    def names(self) -> frozenset[str]:
        """Failure domains whose servers get no new requests."""
        return self.domains.names | self._carried

    def subscribe(self, listener: Callable[[EvacuatedDomains], None]) -> None:
        """Registers `listener`, called after each change of the names."""
        self._listeners.add(listener)

    @property
    def retries(self) -> Duty:
        """The duty that calls again the listeners that failed."""
        return self._listeners.retries

    def adopt(self, domains: EvacuatedDomains, source: str) -> bool:
        """Adopts `domains` if their position is higher.

        Args:
          domains: the evacuated domains received.
          source: where they were received from, for the log.

        Returns:
          Whether the names in the store changed.
        """
        previous, names_before = self.domains, self.names
        if domains.position <= previous.position:
            return False
        self.domains = domains
        if domains.era > previous.era and previous.revision:
            self._carry(names_before - domains.names, previous)
        else:
            self._carried -= domains.names
        self._notify(names_before, source)
        return domains.names != previous.names

    def expire_carried(self) -> None:
        """Lets the domains go that an earlier era had evacuated, in time."""
        if not self._carried or self._clock.monotonic() < self._carried_until:
            return
        names_before = self.names
        self._carried = frozenset()
        self._notify(names_before, "earlier era expired")

    def _carry(self, names: frozenset[str], previous: EvacuatedDomains) -> None:
        """Keeps `names` evacuated although the store lacks them now."""
        self._carried = names
        self._carried_until = self._clock.monotonic() + CARRIED_S
        self._log.change(
            "Evacuations are of a new era of the store.",
            era=self.domains.era,
            revision=self.domains.revision,
            era_before=previous.era,
            revision_before=previous.revision,
            kept=" ".join(sorted(names)),
        )

    def _notify(self, names_before: frozenset[str], source: str) -> None:
        names = self.names
        if names == names_before:
            return
        self._log.change(
            "The evacuated failure domains changed.",
            domains=" ".join(sorted(names)),
            before=" ".join(sorted(names_before)),
            era=self.domains.era,
            revision=self.domains.revision,
            source=source,
        )
        in_force = msgspec.structs.replace(self.domains, names=names)
        self._listeners.notify(in_force)
