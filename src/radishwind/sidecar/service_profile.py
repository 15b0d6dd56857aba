"""What nodes found of a service's servers, kept for those that start.

After a start a node knows nothing of the server beside it, and learns it while
the callers of a whole loss of power come back. So one node of each service
tells the others what it found, and keeps it in the platform's store: how many
requests at once are best, and how far apart the pace changes. A node that
starts or hears of it takes it for a beginning; what it sees itself soon
outweighs it.
"""

from collections.abc import Callable
from typing import Annotated

import anyio
import msgspec

from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.admission.concurrency_estimator import Knee
from radishwind.core.clock import Clock
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.membership.rumor_bus import RumorBus
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.target.change_grid import ChangeGrid
from radishwind.target.change_grid import MAX_INTERVAL_S
from radishwind.target.change_grid import MIN_INTERVAL_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.telemetry.logs import PartLogger

PREFIX = "radishwind/habits/"

#: The topic of the rumor that tells findings, and how long it is kept (s): as
#: long as a start of all takes, with the time that the callers wait.
TOPIC = "habits"
_RUMOR_S = 60.0

#: Nodes of a service that learn for the others before they have callers: one
#: may stand beside a server whose pace never changes.
LEARNERS = 2

#: How often a node compares what it finds with what is kept (s).
LOOK_S = 1.0

#: A node writes no two findings closer together (s): with 1,100 services whose
#: findings all change at once that is 110 writes a second, of the 400 that the
#: platform allows to all.
LEAST_GAP_S = 10.0

#: LocalEstimates that differ by less than these parts are the same.
_SAME_PART = 0.05
_SAME_SLOWER = 0.25
_SAME_PERIOD = 0.02

#: A start asks the store so often, and so far apart (s); what it would tell is
#: worth nothing once it has been seen.
READS = 5
READ_AGAIN_S = 0.4


class ServiceProfile(msgspec.Struct, frozen=True, rename="kebab"):
    """What was found of the servers of one service.

    Attributes:
      part: of its slots that a server has best in use; 1 for all.
      slower: how many times as long runs take beyond it.
      period_s: time between moments of change of the pace (s); 0 if none.
    """

    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    slower: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    period_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTERVAL_S)] = 0.0

    @property
    def knee(self) -> Knee | None:
        """The same as a learner takes it."""
        return Knee(self.part, self.slower) if self.part < 1 else None

    def is_like(self, other: "ServiceProfile") -> bool:
        """Returns whether both tell the same."""
        return (
            abs(self.part - other.part) <= _SAME_PART
            and abs(self.slower - other.slower) <= _SAME_SLOWER * other.slower
            and abs(self.period_s - other.period_s)
            <= _SAME_PERIOD * other.period_s
        )


def read_record(value: bytes) -> ServiceProfile | None:
    """Returns the record in `value`; `None` where nobody can read it."""
    try:
        record = msgspec.json.decode(value, type=ServiceProfile)
    except (msgspec.MsgspecError, ValueError):
        return None
    if 0 < record.period_s < MIN_INTERVAL_S:
        return None
    return record


class LocalEstimates(msgspec.Struct, frozen=True):
    """Where a node's own findings are.

    Attributes:
      room: learns how many requests at once are best.
      pulse: learns when the pace changes.
    """

    concurrency_estimator: ConcurrencyEstimator
    load_monitor: LoadMonitor

    @property
    def change_grid(self) -> ChangeGrid:
        """When the pace changes."""
        return self.load_monitor.change_grid

    def expect(self, record: ServiceProfile) -> None:
        """Begins with what others found."""
        self.concurrency_estimator.set_prior(record.knee)
        self.load_monitor.expect_interval(record.period_s)

    def merged(self, kept: ServiceProfile) -> ServiceProfile:
        """Returns what is to be kept: what was found, else what was kept."""
        knee = self.concurrency_estimator.knee
        part, slower = kept.part, kept.slower
        if knee is not None:
            part, slower = knee.slot_fraction, knee.slowdown
        elif self.concurrency_estimator.has_no_knee:
            part, slower = 1.0, 1.0
        period_s = self.change_grid.interval_s
        if not period_s and not self.change_grid.is_expected_refuted:
            period_s = kept.period_s
        return ServiceProfile(
            part, max(1.0, slower), min(MAX_INTERVAL_S, period_s)
        )


class ProfileSynchronizer:
    """The task that reads what was kept, and keeps what is found."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: Store,
        findings: LocalEstimates,
        service: Callable[[], str],
        is_on_duty: Callable[[], bool],
        first_start: bool,
        rumor_bus: RumorBus | None = None,
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          store: the platform's store.
          findings: of this node.
          service: returns the service of the server beside.
          is_on_duty: returns whether this node is the one that keeps.
          first_start: whether nothing can have been kept.
          rumor_bus: tells the nodes that run; by default nobody.
        """
        self._clock = clock
        self._store = store
        self._findings = findings
        self._service = service
        self._is_on_duty = is_on_duty
        self._first_start = first_start
        self._kept = ServiceProfile()
        self._kept_at = 0.0
        self._log = PartLogger("habits", clock)
        # What this node told last, or heard.
        self._told = ServiceProfile()
        self._rumor_bus = rumor_bus or NullRumorBus()
        self._rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def run(self) -> None:
        """Runs until cancelled."""
        if not self._first_start:
            await self._read()
        self._kept_at = self._clock.monotonic()
        while True:
            await anyio.sleep(LOOK_S)
            found = self._findings.merged(self._kept)
            # For the next life of the server beside.
            self._findings.concurrency_estimator.set_prior(found.knee)
            self._tell(found)
            if self._is_due(found):
                await self._keep(found)

    async def _read(self) -> None:
        for _ in range(READS):
            try:
                # What is seconds old is as good: what this node sees itself
                # soon outweighs it.
                entry = await self._store.get(
                    PREFIX + self._service(), allow_stale=True
                )
            except StoreError as exc:
                self._log.info("Habits unread.", reason=str(exc)[:120])
                await anyio.sleep(READ_AGAIN_S)
                continue
            record = read_record(entry.value) if entry else None
            if record is not None:
                self._kept = record
                self._findings.expect(record)
                self._log.change(
                    "Begins with what others found.",
                    part=record.part,
                    slower=record.slower,
                    period_s=record.period_s,
                )
            return

    def _tell(self, found: ServiceProfile) -> None:
        """Tells the nodes that run what this one found, if that is its part."""
        if found.is_like(self._told) or not self._is_on_duty():
            return
        self._told = found
        version = self._clock.wall_ms()
        self._rumor_bus.publish(
            TOPIC, self._service(), version, _encode(found), _RUMOR_S
        )

    def _on_rumor(self, key: str, value: bytes) -> None:
        """Begins with what another node of the service found."""
        if key != self._service():
            return
        record = read_record(value)
        if record is None:
            self._log.warning("A rumor of habits is malformed.")
            return
        if record.is_like(self._told):
            return
        self._told = record
        self._findings.expect(record)
        self._log.info(
            "Hears what another found.",
            part=record.part,
            slower=record.slower,
            period_s=record.period_s,
        )

    def _is_due(self, found: ServiceProfile) -> bool:
        if found.is_like(self._kept) or not self._is_on_duty():
            return False
        return self._clock.monotonic() - self._kept_at >= LEAST_GAP_S

    async def _keep(self, found: ServiceProfile) -> None:
        self._kept_at = self._clock.monotonic()
        key = PREFIX + self._service()
        try:
            await self._store.transact((), (Put(key, _encode(found)),))
        except StoreError as exc:
            self._log.info("Habits not kept.", reason=str(exc)[:120])
            return
        self._kept = found
        self._log.change(
            "Keeps what was found.",
            part=found.part,
            slower=found.slower,
            period_s=found.period_s,
        )


def _encode(record: ServiceProfile) -> bytes:
    return msgspec.json.encode(
        ServiceProfile(
            round(record.part, 3),
            round(record.slower, 2),
            round(record.period_s, 5),
        )
    )
