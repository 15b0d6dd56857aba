"""Tells nodes that the store came back from a copy.

Only few nodes call the store at any time. A node that sees a new era in an
answer spreads its number as a rumor; the others then ask the store themselves,
since nothing is believed of the store but its own answers.
"""

from collections.abc import Callable
import random

import anyio
import msgspec

from radishwind.core.backoff import Backoff
from radishwind.core.clock import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.membership.rumor_bus import RumorBus
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.store.era_tracker import EraTracker
from radishwind.store.position import MAX_ERA
from radishwind.telemetry.part_logger import PartLogger

TOPIC = "era"
_RUMOR_TTL_S = 600.0

#: Rate at which all nodes together ask the store after a rumor (1/s).
_FLEET_READS_PER_S = 200.0

#: Attempts to ask the store after a rumor, and bounds of the pause between them
#: (s).
_MAX_ATTEMPTS = 8
_INITIAL_PAUSE_S = 0.2
_MAX_PAUSE_S = 2.0

_decoder = JsonDecoder[int](NonNegativeInt, "an era", MAX_RUMOR_VALUE_BYTES)


class EraNotices:
    """The task that spreads the era of the store and checks rumors of it."""

    def __init__(
        self,
        *,
        eras: EraTracker,
        store: Store,
        rumor_bus: RumorBus,
        node_count: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Wires the task.

        Args:
          eras: follows the era of the store.
          store: the platform's store.
          rumor_bus: spreads the era.
          node_count: returns how many nodes are known, including this one.
          clock: the clock.
          rng: spreads the calls of all nodes.
        """
        self._eras = eras
        self._store = store
        self._rumor_bus = rumor_bus
        self._node_count = node_count
        self._rng = rng
        self._log = PartLogger("store", clock)
        self._rumored_era = 0
        self._wake_up = anyio.Event()
        eras.subscribe(self._publish)
        rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def run(self) -> None:
        """Asks the store after each rumor of a new era, until cancelled."""
        # An earlier call may have failed at what woke it.
        self._wake_up.set()
        while True:
            await self._wake_up.wait()
            self._wake_up = anyio.Event()
            spread_s = self._node_count() / _FLEET_READS_PER_S
            await anyio.sleep(self._rng.random() * spread_s)
            await self._ask_store()

    async def _ask_store(self) -> None:
        """Calls the store until it has stated the rumored era, if it does."""
        backoff = Backoff(self._rng, _INITIAL_PAUSE_S, _MAX_PAUSE_S)
        for _ in range(_MAX_ATTEMPTS):
            if self._eras.era >= self._rumored_era:
                return
            try:
                await self._store.position()
                break
            except StoreError as exc:
                self._log.info(
                    "Failed to ask the store for its era.",
                    reason=str(exc)[:120],
                )
                await anyio.sleep(backoff.record_failure())
        if self._eras.era < self._rumored_era:
            self._log.warning(
                "The store did not confirm a rumor of its era.",
                rumored=self._rumored_era,
                era=self._eras.era,
            )

    def _publish(self) -> None:
        era = self._eras.era
        self._rumor_bus.publish(
            TOPIC, "era", era, msgspec.json.encode(era), _RUMOR_TTL_S
        )

    def _on_rumor(self, key: str, value: bytes) -> None:
        try:
            era = _decoder.decode(value)
        except MalformedInputError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        if not self._eras.era < era <= MAX_ERA:
            return
        self._rumored_era = era
        self._wake_up.set()
