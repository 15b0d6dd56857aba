"""The measured profile of a service's servers, shared by its nodes.

A node that has just started knows nothing of its backend server and would have
to measure it while all callers come back at once, for example after a power
loss. So one node of each service publishes its measurements as a rumor and
writes them to the platform's store: the best number of concurrent requests and
the interval between changes of the pace. Other nodes, running or starting, use
this profile as a prior, which their own measurements soon outweigh.
"""

from collections.abc import Callable
from typing import Annotated

import anyio
import msgspec

from radishwind.admission.concurrency_estimator import ConcurrencyEstimator
from radishwind.admission.concurrency_estimator import Knee
from radishwind.core.clock import Clock
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding.sizes import MAX_VALUE_BYTES
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.membership.rumor_bus import RumorBus
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.target.change_grid import ChangeGrid
from radishwind.target.change_grid import MAX_INTERVAL_S
from radishwind.target.change_grid import MIN_INTERVAL_S
from radishwind.target.load_monitor import LoadMonitor
from radishwind.telemetry.part_logger import PartLogger

KEY_PREFIX = "radishwind/habits/"

#: Topic of the rumor that carries a profile.
TOPIC = "habits"

#: A rumor lives as long as a start of the whole system takes, including the
#: time that callers wait.
_RUMOR_TTL_S = 60.0

#: Nodes of a service that measure their server before it gets requests. Two,
#: since one server may have a pace that never changes.
EARLY_LEARNERS = 2

#: Interval between comparisons of the measurements with the stored profile.
COMPARE_INTERVAL_S = 1.0

#: Minimum time between two writes of a node. With 1,100 services whose profiles
#: all change at once, this gives 110 writes/s of the 400 writes/s that the
#: platform grants to all nodes together.
MIN_WRITE_INTERVAL_S = 10.0

#: Profiles whose fields differ by less than these tolerances count as equal.
_PART_TOLERANCE = 0.05
_SLOWER_REL_TOLERANCE = 0.25
_PERIOD_REL_TOLERANCE = 0.02

#: Number of attempts to read the stored profile at a start, and the time
#: between them. Once the node has its own measurements the stored ones are
#: worthless.
MAX_READ_ATTEMPTS = 5
READ_RETRY_DELAY_S = 0.4


class ServiceProfile(msgspec.Struct, frozen=True, rename="kebab"):
    """Measured properties of the servers of one service.

    Attributes:
      part: best number of concurrent requests of a server as a fraction of its
        slots; 1 for all slots.
      slower: factor by which runs take longer beyond that number.
      period_s: interval between changes of the pace (s); 0 if there is none.
    """

    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 1.0
    slower: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.0
    period_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_INTERVAL_S)] = 0.0

    @property
    def knee(self) -> Knee | None:
        """The knee as the concurrency estimator takes it; `None` for none."""
        return Knee(self.part, self.slower) if self.part < 1 else None

    def is_like(self, other: "ServiceProfile") -> bool:
        """Returns whether both profiles are equal within the tolerances."""
        return (
            abs(self.part - other.part) <= _PART_TOLERANCE
            and abs(self.slower - other.slower)
            <= _SLOWER_REL_TOLERANCE * other.slower
            and abs(self.period_s - other.period_s)
            <= _PERIOD_REL_TOLERANCE * other.period_s
        )


_decoder = JsonDecoder[ServiceProfile](
    ServiceProfile, "a profile", MAX_VALUE_BYTES
)


def decode_profile(value: bytes) -> ServiceProfile | None:
    """Returns the profile encoded in `value`; `None` if it is malformed."""
    try:
        profile = _decoder.decode(value)
    except MalformedInputError:
        return None
    if 0 < profile.period_s < MIN_INTERVAL_S:
        return None
    return profile


class LocalEstimates(msgspec.Struct, frozen=True):
    """The estimators of this node that a profile is made of.

    Attributes:
      concurrency_estimator: learns the best number of concurrent requests.
      load_monitor: learns when the pace changes.
    """

    concurrency_estimator: ConcurrencyEstimator
    load_monitor: LoadMonitor

    @property
    def change_grid(self) -> ChangeGrid:
        """The time points at which the pace may change."""
        return self.load_monitor.change_grid

    def set_prior(self, profile: ServiceProfile) -> None:
        """Makes `profile` the prior of the estimators."""
        self.concurrency_estimator.set_prior(profile.knee)
        self.load_monitor.expect_interval(profile.period_s)

    def merge_into(self, stored: ServiceProfile) -> ServiceProfile:
        """Returns `stored` with each property that was measured here."""
        knee = self.concurrency_estimator.knee
        part, slower = stored.part, stored.slower
        if knee is not None:
            part, slower = knee.slot_fraction, knee.slowdown
        elif self.concurrency_estimator.has_no_knee:
            part, slower = 1.0, 1.0
        period_s = self.change_grid.interval_s
        if not period_s and not self.change_grid.is_expected_refuted:
            period_s = stored.period_s
        return ServiceProfile(
            part, max(1.0, slower), min(MAX_INTERVAL_S, period_s)
        )


class ProfileSynchronizer:
    """The task that reads, publishes and stores the profile of the service."""

    def __init__(
        self,
        *,
        clock: Clock,
        store: Store,
        estimates: LocalEstimates,
        service: Callable[[], str],
        is_on_duty: Callable[[], bool],
        first_start: bool,
        rumor_bus: RumorBus | None = None,
    ) -> None:
        """Wires the task.

        Args:
          clock: the clock.
          store: the platform's store.
          estimates: the estimators of this node.
          service: returns the service of the local backend server.
          is_on_duty: returns whether this node publishes and stores the
            profile for its service.
          first_start: whether the whole system starts for the first time, so
            that no profile can have been stored.
          rumor_bus: carries profiles between running nodes; by default none.
        """
        self._clock = clock
        self._store = store
        self._estimates = estimates
        self._service = service
        self._is_on_duty = is_on_duty
        self._first_start = first_start
        self._stored = ServiceProfile()
        self._stored_at = 0.0
        self._log = PartLogger("habits", clock)
        # The profile last published or received as a rumor.
        self._shared = ServiceProfile()
        self._rumor_bus = rumor_bus or NullRumorBus()
        self._rumor_bus.subscribe(TOPIC, self._on_rumor)

    async def run(self) -> None:
        """Runs until cancelled."""
        if not self._first_start:
            await self._read()
        self._stored_at = self._clock.monotonic()
        while True:
            await anyio.sleep(COMPARE_INTERVAL_S)
            profile = self._estimates.merge_into(self._stored)
            # Used after the next restart of the backend server.
            self._estimates.concurrency_estimator.set_prior(profile.knee)
            self._publish(profile)
            if self._is_write_due(profile):
                await self._write(profile)

    async def _read(self) -> None:
        for _ in range(MAX_READ_ATTEMPTS):
            try:
                # A read that is seconds old is good enough, since the node's
                # own measurements soon outweigh it.
                entry = await self._store.get(
                    KEY_PREFIX + self._service(), allow_stale=True
                )
            except StoreError as exc:
                self._log.info(
                    "Failed to read the service profile from the store.",
                    reason=str(exc)[:120],
                )
                await anyio.sleep(READ_RETRY_DELAY_S)
                continue
            profile = decode_profile(entry.value) if entry else None
            if profile is not None:
                self._stored = profile
                self._estimates.set_prior(profile)
                self._log.change(
                    "Starts with the stored service profile.",
                    part=profile.part,
                    slower=profile.slower,
                    period_s=profile.period_s,
                )
            return

    def _publish(self, profile: ServiceProfile) -> None:
        """Publishes a changed profile if this node is on duty."""
        if profile.is_like(self._shared) or not self._is_on_duty():
            return
        self._shared = profile
        version = self._clock.wall_ms()
        self._rumor_bus.publish(
            TOPIC, self._service(), version, _encode(profile), _RUMOR_TTL_S
        )

    def _on_rumor(self, key: str, value: bytes) -> None:
        """Makes the profile of another node of the service the prior."""
        if key != self._service():
            return
        profile = decode_profile(value)
        if profile is None:
            self._log.warning("Ignored a rumor with a malformed profile.")
            return
        if profile.is_like(self._shared):
            return
        self._shared = profile
        self._estimates.set_prior(profile)
        self._log.info(
            "Received the service profile from another node.",
            part=profile.part,
            slower=profile.slower,
            period_s=profile.period_s,
        )

    def _is_write_due(self, profile: ServiceProfile) -> bool:
        if profile.is_like(self._stored) or not self._is_on_duty():
            return False
        return self._clock.monotonic() - self._stored_at >= MIN_WRITE_INTERVAL_S

    async def _write(self, profile: ServiceProfile) -> None:
        self._stored_at = self._clock.monotonic()
        key = KEY_PREFIX + self._service()
        try:
            await self._store.transact((), (Put(key, _encode(profile)),))
        except StoreError as exc:
            self._log.info(
                "Failed to write the service profile to the store.",
                reason=str(exc)[:120],
            )
            return
        self._stored = profile
        self._log.change(
            "Stored the service profile.",
            part=profile.part,
            slower=profile.slower,
            period_s=profile.period_s,
        )


def _encode(profile: ServiceProfile) -> bytes:
    return msgspec.json.encode(
        ServiceProfile(
            round(profile.part, 3),
            round(profile.slower, 2),
            round(profile.period_s, 5),
        )
    )
