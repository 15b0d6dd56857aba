"""Keeps the stated limit of the server across a restart of its node.

The other nodes hold it as a rumor. A node that was killed learns from them that
its server is limited before a response tells it.
"""

from collections.abc import Callable

import msgspec

from radishwind.core.clock import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.numbers import NonNegativeFloat
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.membership.rumor_bus import RumorBus
from radishwind.target.server_process import ServerProcess
from radishwind.telemetry.part_logger import PartLogger

TOPIC = "stated-limit"

#: Lifetime of a record that is not renewed (s), and its age when it is.
RECORD_TTL_S = 20.0
RENEWAL_S = 8.0

#: Shortest time between two publications (s).
MIN_INTERVAL_S = 1.0


class LimitRecord(msgspec.Struct, frozen=True, array_like=True):
    """The limit of the server beside a node.

    Attributes:
      process: key of the server process.
      per_s: its limit (requests/s); `None` if it ended.
    """

    process: str
    per_s: NonNegativeFloat | None = None


_decoder = JsonDecoder[LimitRecord](
    LimitRecord, "a limit record", MAX_RUMOR_VALUE_BYTES
)


class LimitRecords:
    """Publishes the limit of the local server, and restores it."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rumor_bus: RumorBus,
        process: Callable[[], ServerProcess],
        on_restored: Callable[[float], None],
    ) -> None:
        """Creates the records and subscribes to those of other nodes.

        Args:
          node_name: the name of this node; only its own record is restored.
          clock: the clock.
          rumor_bus: distributes the record to all nodes.
          process: returns the current process of the server.
          on_restored: called with the limit in a record of that process
            (requests/s).
        """
        self._node_name = node_name
        self._clock = clock
        self._rumor_bus = rumor_bus
        self._process = process
        self._on_restored = on_restored
        self._log = PartLogger("target", clock)
        # The record of a previous process of this node.
        self._received: LimitRecord | None = None
        self._published = LimitRecord("")
        self._published_at = -RENEWAL_S
        rumor_bus.subscribe(TOPIC, self._on_rumor)

    def update(self, per_s: float | None) -> None:
        """Publishes the limit if it changed or its record has to be renewed.

        Args:
          per_s: the limit (requests/s); `None` for none.
        """
        if per_s is None and self._published.per_s is None:
            return
        record = LimitRecord(self._process().key, per_s)
        now = self._clock.monotonic()
        age_s = now - self._published_at
        if age_s < (RENEWAL_S if record == self._published else MIN_INTERVAL_S):
            return
        self._published, self._published_at = record, now
        self._rumor_bus.publish(
            TOPIC,
            self._node_name,
            self._clock.wall_ms(),
            msgspec.json.encode(record),
            RECORD_TTL_S,
        )

    def restore(self) -> None:
        """Restores the limit if a record is of the current process."""
        record = self._received
        if record is None or record.per_s is None:
            return
        if ServerProcess.from_key(record.process).may_equal(self._process()):
            self._on_restored(record.per_s)

    def _on_rumor(self, key: str, value: bytes) -> None:
        if key != self._node_name:
            return
        try:
            self._received = _decoder.decode(value)
        except MalformedInputError as exc:
            self._log.warning(
                "A record of the server's limit is malformed.", reason=str(exc)
            )
            return
        self.restore()
