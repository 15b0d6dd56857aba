"""Finds peers to join, by the seed addresses and the contacts in the store."""

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

#: Interval at which a node checks whether contacts of its failure domain are
#: gone (s). A contact that is gone at two checks in a row had enough time to
#: restart, which takes 2 s after a loss of power.
GONE_CONTACT_CHECK_PERIOD_S = 5.0

#: Delays after a search at which a node joins the contacts that it found and
#: still doesn't know as members (s). If a whole fleet starts at once, contacts
#: that were not up at the first attempt may belong to a separate group: in
#: virtual time, 12 nodes that started within 0.8 s remained split into groups
#: of nine and three.
MISSING_CONTACT_CHECKS_S = (0.5, 1.0, 2.0, 4.0, 8.0, 16.0)


class PeerSearch:
    """Joins peers at the start, and again while a node knows no living member.

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
        contact_registry: ContactRegistry,
        options: DiscoveryOptions,
        send: Callable[[Iterable[OutgoingMessage]], None],
    ) -> None:
        """Creates the search; `run` starts it.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: source of the jitter.
          gossip: starts anti-entropy with the contacts found.
          contact_registry: reads and writes the contacts in the store.
          options: how often the store is called.
          send: sends the messages of `gossip`.
        """
        self._settings = settings
        self._clock = clock
        self._rng = rng
        self._gossip = gossip
        self._contact_registry = contact_registry
        self._options = options
        self._send = send
        self._own_address = Address.parse(gossip.own_record.address)
        # The contacts that were gone at the last check.
        self._gone_before: frozenset[Address] = frozenset()
        # The other contacts of all failure domains, as last read.
        self._contacts: tuple[Address, ...] = ()
        self.found_no_peers = False

    async def run(self) -> None:
        """Searches for peers until cancelled."""
        self._join(self._settings.seeds)
        await anyio.sleep(self._rng.random() * self._options.spread_s)
        successes = 0
        failures = 0
        while True:
            if self._is_alone() or self._should_be_contact():
                if await self._search():
                    successes += 1
                    failures = 0
                else:
                    failures += 1
            await self._wait_for_next_search(successes, failures)

    async def _search(self) -> bool:
        """Reads the contacts and joins unknown ones; `False` on a failure.

        A node that registered as a contact reads the contacts again: of two
        nodes that register at the same time the later one sees the other, so
        that no group remains separate.
        """
        if self._is_alone() and self._settings.seeds:
            self._join(self._settings.seeds)
        if not await self._read_and_join():
            return False
        if not self._should_be_contact():
            return True
        registration = await self._contact_registry.register()
        if (
            registration is RegistrationResult.WRITTEN
            and not await self._read_and_join(newest=True)
        ):
            return False
        if registration is RegistrationResult.FAILED:
            return False
        self._update_found_no_peers()
        return True

    def _update_found_no_peers(self) -> None:
        if self._contacts or self._contact_registry.contacts != (
            self._own_address,
        ):
            return
        self.found_no_peers = True

    async def _read_and_join(self, *, newest: bool = False) -> bool:
        contacts = await self._contact_registry.read_contacts(newest=newest)
        if contacts is None:
            return False
        self._contacts = contacts
        self._join(self._missing_contacts())
        return True

    def _missing_contacts(self) -> tuple[Address, ...]:
        """Returns the contacts at whose address no living member is known."""
        records = self._gossip.table.members.values()
        known = {record.address for record in records if not record.is_gone}
        return tuple(c for c in self._contacts if str(c) not in known)

    def _join(self, contacts: tuple[Address, ...]) -> None:
        self._send(self._gossip.join(contacts, self._clock.monotonic()))

    async def _wait_for_next_search(
        self, successes: int, failures: int
    ) -> None:
        """Waits until a search is due or a contact should be replaced."""
        jitter = 0.5 + self._rng.random()
        started = self._clock.monotonic()
        missing_checks = [
            started + s * jitter for s in MISSING_CONTACT_CHECKS_S
        ]
        gone_check = started + GONE_CONTACT_CHECK_PERIOD_S
        while True:
            now = self._clock.monotonic()
            due = started + self._pause_s(successes, failures) * jitter
            if now >= due:
                return
            wake = min(due, gone_check, *missing_checks[:1])
            await anyio.sleep(max(0.0, wake - now))
            now = self._clock.monotonic()
            if missing_checks and now >= missing_checks[0]:
                del missing_checks[0]
                self._join(self._missing_contacts())
            if now >= gone_check:
                gone_check = now + GONE_CONTACT_CHECK_PERIOD_S
                if self._should_replace_contact():
                    return

    def _should_replace_contact(self) -> bool:
        """Returns whether this node is to take the place of a gone contact.

        It is if the contact was gone at two checks in a row. Starting nodes
        find the others by the contacts; if all contacts were gone, they would
        find only other starting nodes.
        """
        gone = self._gone_contacts()
        still_gone = gone & self._gone_before
        self._gone_before = gone
        for address in still_gone:
            self._contact_registry.mark_unreachable(address)
        return bool(still_gone) and self._should_be_contact()

    def _gone_contacts(self) -> frozenset[Address]:
        """Returns the contacts that are gone; none if this node is one."""
        contacts = self._contact_registry.contacts
        own = self._gossip.own_record.address
        if any(str(contact) == own for contact in contacts):
            return frozenset()
        records = self._gossip.table.members.values()
        living = {record.address for record in records if not record.is_gone}
        return frozenset(c for c in contacts if str(c) not in living)

    def _pause_s(self, successes: int, failures: int) -> float:
        """Returns the pause until the next search, without jitter (s).

        Args:
          successes: number of successful searches since the start.
          failures: number of failed searches since the last successful one.
        """
        if (
            failures
            or self._is_alone()
            or successes <= self._options.early_checks
        ):
            return backoff_delay_s(self._options, failures or successes)
        return self._options.check_period_s

    def _is_alone(self) -> bool:
        """Returns whether no other living member is known."""
        records = self._gossip.table.members.values()
        return sum(not record.is_gone for record in records) <= 1

    def _should_be_contact(self) -> bool:
        """Returns whether it ranks among the first of its failure domain."""
        records = self._gossip.table.members.values()
        names = [
            record.name
            for record in records
            if record.failure_domain == self._settings.failure_domain
            and not record.is_gone
        ]
        return ranks_among_first(
            self._settings.target, names, self._options.contacts
        )
