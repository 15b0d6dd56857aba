"""Looks for first peers, by the settings and the contacts in the store."""

from collections.abc import Callable
from collections.abc import Iterable
import random

import anyio

from radishwind.core import Clock
from radishwind.http.types import Address
from radishwind.membership import Gossip
from radishwind.membership.actions import Call
from radishwind.membership.contacts import MAX_CONTACTS
from radishwind.membership.discovery import backoff_s
from radishwind.membership.discovery import ContactFinder
from radishwind.membership.discovery import DiscoveryOptions
from radishwind.membership.ranking import ranks_among_first
from radishwind.settings import NodeSettings


class PeerSearch:
    """Joins the first peers, and again where a node finds itself alone."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        clock: Clock,
        rng: random.Random,
        gossip: Gossip,
        finder: ContactFinder,
        options: DiscoveryOptions,
        start: Callable[[Iterable[Call]], None],
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
            await anyio.sleep(self._next_look_s(looks, failures))

    async def _look(self) -> bool:
        """Reads the contacts and joins those not known; `False` if failed."""
        if self._alone() and self._settings.seeds:
            self._join(self._settings.seeds)
        contacts = await self._finder.read()
        if contacts is None:
            return False
        facts = self._gossip.table.members.values()
        known = {f.address for f in facts if not f.gone}
        strangers = tuple(c for c in contacts if str(c) not in known)
        self._join(strangers)
        if self._is_contact():
            return await self._finder.enter()
        return True

    def _join(self, contacts: tuple[Address, ...]) -> None:
        self._start(self._gossip.join(contacts, self._clock.monotonic()))

    def _next_look_s(self, looks: int, failures: int) -> float:
        """Returns the pause until the next look (s).

        Args:
          looks: looks that succeeded since the start.
          failures: looks that failed since the last success.
        """
        jitter = 0.5 + self._rng.random()
        if failures or self._alone() or looks <= self._options.early_looks:
            return backoff_s(self._options, failures or looks) * jitter
        return self._options.check_period_s * jitter

    def _alone(self) -> bool:
        facts = self._gossip.table.members.values()
        return sum(not fact.gone for fact in facts) <= 1

    def _is_contact(self) -> bool:
        facts = self._gossip.table.members.values()
        names = [
            fact.name
            for fact in facts
            if fact.failure_domain == self._settings.failure_domain
            and not fact.gone
        ]
        return ranks_among_first(self._settings.target, names, MAX_CONTACTS)
