"""Looks for first peers, by the settings and the contacts in the store."""

from collections.abc import Callable
from collections.abc import Iterable
import random

import anyio

from radishwind.core import Clock
from radishwind.http.types import Address
from radishwind.membership import Gossip
from radishwind.membership.contact_registry import backoff_delay_s
from radishwind.membership.contact_registry import ContactRegistry
from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.membership.contact_registry import RegistrationResult
from radishwind.membership.outgoing_message import OutgoingMessage
from radishwind.membership.ranking import ranks_among_first
from radishwind.settings import NodeSettings

#: How often a node looks whether a contact of its failure domain is gone (s).
#: One that is gone at two looks in a row has had time to start again, which
#: takes 2 s with a loss of power.
GONE_LOOK_S = 5.0

#: When a node that found peers tries the contacts that it doesn't know yet (s
#: after the look). In a start of all, those that were not up when they were
#: asked may be in another group: of 12 nodes that started within 0.8 s nine and
#: three knew only each other for good (in virtual time).
MISSING_CONTACT_CHECKS_S = (0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class PeerSearch:
    """Joins the first peers, and again where a node finds itself alone.

    Attributes:
      found_no_peers: whether the store once listed this node as its only
        contact. A node that starts later finds this one there.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        gossip: Gossip,
        finder: ContactRegistry,
        options: DiscoveryOptions,
        start: Callable[[Iterable[OutgoingMessage]], None],
    ) -> None:
        """Wires the search.

        Args:
          settings: of the node.
          clock: the clock.
          rng: the random source of pauses.
          gossip: opens anti-entropy with the contacts found.
          finder: reads and writes the contacts in the store.
          options: how often the store is asked.
          start: sends the messages that `gossip` wants sent.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._gossip = gossip
        self._finder = finder
        self._options = options
        self._start = start
        self._own = Address.parse(gossip.own_record.address)
        self._gone_before: frozenset[Address] = frozenset()
        # The contacts of all failure domains, as read last.
        self._contacts: tuple[Address, ...] = ()
        self.found_no_peers = False

    async def run(self) -> None:
        """Looks for peers until cancelled."""
        self._join(self._settings.seeds)
        await anyio.sleep(self._rng.random() * self._options.spread_s)
        looks = 0
        failures = 0
        while True:
            if self._alone() or self._is_contact():
                if await self._look():
                    looks += 1
                    failures = 0
                else:
                    failures += 1
            await self._until_next_look(looks, failures)

    async def _look(self) -> bool:
        """Reads the contacts and joins those not known; `False` if failed.

        Who has entered reads once more: of two that entered at the same time
        the later one sees the other, so that no group stays apart.
        """
        if self._alone() and self._settings.seeds:
            self._join(self._settings.seeds)
        if not await self._read_and_join():
            return False
        if not self._is_contact():
            return True
        entered = await self._finder.register()
        if (
            entered is RegistrationResult.WRITTEN
            and not await self._read_and_join(newest=True)
        ):
            return False
        if entered is RegistrationResult.FAILED:
            return False
        self._note_nobody()
        return True

    def _note_nobody(self) -> None:
        if self._contacts or self._finder.contacts != (self._own,):
            return
        self.found_no_peers = True

    async def _read_and_join(self, *, newest: bool = False) -> bool:
        contacts = await self._finder.read_contacts(newest=newest)
        if contacts is None:
            return False
        self._contacts = contacts
        self._join(self._missing())
        return True

    def _missing(self) -> tuple[Address, ...]:
        """Returns the contacts that this node knows no living member at."""
        facts = self._gossip.table.members.values()
        known = {fact.address for fact in facts if not fact.is_gone}
        return tuple(c for c in self._contacts if str(c) not in known)

    def _join(self, contacts: tuple[Address, ...]) -> None:
        self._start(self._gossip.join(contacts, self._clock.monotonic()))

    async def _until_next_look(self, looks: int, failures: int) -> None:
        """Waits for the time, or until a contact is to be replaced."""
        jitter = 0.5 + self._rng.random()
        began = self._clock.monotonic()
        missing_looks = [began + s * jitter for s in MISSING_CONTACT_CHECKS_S]
        gone_look = began + GONE_LOOK_S
        while True:
            now = self._clock.monotonic()
            due = began + self._pause_s(looks, failures) * jitter
            if now >= due:
                return
            wake = min(due, gone_look, *missing_looks[:1])
            await anyio.sleep(max(0.0, wake - now))
            now = self._clock.monotonic()
            if missing_looks and now >= missing_looks[0]:
                del missing_looks[0]
                self._join(self._missing())
            if now >= gone_look:
                gone_look = now + GONE_LOOK_S
                if self._is_to_replace_one():
                    return

    def _is_to_replace_one(self) -> bool:
        """Returns whether a contact stays gone and this node is to follow it.

        A node that starts finds the others by the contacts; were all of them
        gone for good it would stay alone with others that start.
        """
        gone = self._gone_contacts()
        stay_gone = gone & self._gone_before
        self._gone_before = gone
        for address in stay_gone:
            self._finder.mark_unreachable(address)
        return bool(stay_gone) and self._is_contact()

    def _gone_contacts(self) -> frozenset[Address]:
        """Returns the contacts that are gone; none if this node is one."""
        contacts = self._finder.contacts
        own = self._gossip.own_record.address
        if any(str(contact) == own for contact in contacts):
            return frozenset()
        facts = self._gossip.table.members.values()
        living = {fact.address for fact in facts if not fact.is_gone}
        return frozenset(c for c in contacts if str(c) not in living)

    def _pause_s(self, looks: int, failures: int) -> float:
        """Returns the usual pause until the next look (s).

        Args:
          looks: looks that succeeded since the start.
          failures: looks that failed since the last success.
        """
        if failures or self._alone() or looks <= self._options.early_checks:
            return backoff_delay_s(self._options, failures or looks)
        return self._options.check_period_s

    def _alone(self) -> bool:
        facts = self._gossip.table.members.values()
        return sum(not fact.is_gone for fact in facts) <= 1

    def _is_contact(self) -> bool:
        facts = self._gossip.table.members.values()
        names = [
            fact.name
            for fact in facts
            if fact.failure_domain == self._settings.failure_domain
            and not fact.is_gone
        ]
        return ranks_among_first(
            self._settings.target, names, self._options.contacts
        )
