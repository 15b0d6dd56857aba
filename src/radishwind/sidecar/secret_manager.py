"""Reads the fleet secret from the store, or creates it there.

The record lies under the prefix of the membership contacts, which each node
lists at its start anyway. A node that finds no record writes one on the
condition that none exists, so exactly one writer wins. Nodes announce the
revision of the record to each other by a rumor, never the secret itself.
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
from radishwind.decoding.sizes import MAX_VALUE_BYTES
from radishwind.membership.contact_records import (
    CONTACTS_KEY_PREFIX as CONTACTS_PREFIX,
)
from radishwind.membership.rumor_bus import RumorBus
from radishwind.peers.keyring import Keyring
from radishwind.store.base import Compare
from radishwind.store.base import Put
from radishwind.store.base import Store
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreError
from radishwind.store.base import TxnResult
from radishwind.store.position import StorePosition
from radishwind.store.position import UNKNOWN_POSITION
from radishwind.telemetry.part_logger import PartLogger

#: Cannot collide with a contact record, since no failure domain has this name.
KEY = CONTACTS_PREFIX + ".peers"

#: Topic of the rumor that carries the revision of the record.
TOPIC = "peer-secret"
_RUMOR_TTL_S = 60.0

SECRET_BYTES = 32

#: Time that a node which is not to create the record waits for the one that is.
CREATOR_WAIT_S = 1.0

#: Duration of the listing of the contacts, with time for a busy store.
_LISTING_S = 0.05

#: Number of stale reads that wait for a record just created, and the delay
#: before each. Used during the grace period, when no message is refused yet and
#: all nodes would otherwise send linearizable reads at the same time.
_STALE_READS = 3
_STALE_READ_DELAY_S = 2.0

#: Backoff between attempts to read or create the record.
_INITIAL_BACKOFF_S = 0.2
_MAX_BACKOFF_S = 2.0

#: Backoff between reads for a newer secret than the known one. Forged messages
#: cause such reads too.
_INITIAL_REFRESH_BACKOFF_S = 1.0
_MAX_REFRESH_BACKOFF_S = 60.0


class SecretRecord(msgspec.Struct, frozen=True):
    """The record in the store.

    Attributes:
      secret: the secret shared by all nodes of the fleet.
    """

    secret: bytes

    def __repr__(self) -> str:
        # A representation may be logged and must not reveal the secret.
        return "SecretRecord(...)"


_decoder = JsonDecoder[SecretRecord](SecretRecord, "a secret", MAX_VALUE_BYTES)
_rumor_decoder = JsonDecoder[int](
    NonNegativeInt, "a position", MAX_RUMOR_VALUE_BYTES
)


def decode_record(value: bytes) -> SecretRecord | None:
    """Returns the record encoded in `value`; `None` if it is malformed."""
    try:
        record = _decoder.decode(value)
    except MalformedInputError:
        return None
    return record if len(record.secret) == SECRET_BYTES else None


class SecretManager:
    """The task that provides a keyring with the secret when it needs one."""

    def __init__(
        self,
        *,
        keyring: Keyring,
        store: Store,
        clock: Clock,
        rng: random.Random,
        rumor_bus: RumorBus,
        is_creator: Callable[[], bool],
        spread_s: float,
        entropy: Callable[[int], bytes],
    ) -> None:
        """Wires the task.

        Args:
          keyring: gets the secret.
          store: the platform's store.
          clock: the clock.
          rng: randomizes the backoff.
          rumor_bus: announces the revision of the record.
          is_creator: returns whether this node is the one to create the record.
          spread_s: latest start of the first listing of the contacts (s), which
            usually brings the secret.
          entropy: returns as many bytes as requested, from a cryptographically
            secure source.
        """
        self._keyring = keyring
        self._store = store
        self._clock = clock
        self._rng = rng
        self._rumor_bus = rumor_bus
        self._is_creator = is_creator
        self._spread_s = spread_s
        self._entropy = entropy
        self._log = PartLogger("peers", clock)
        self._backoff = Backoff(rng, _INITIAL_BACKOFF_S, _MAX_BACKOFF_S)
        self._refresh_backoff = Backoff(
            rng, _INITIAL_REFRESH_BACKOFF_S, _MAX_REFRESH_BACKOFF_S
        )
        self._next_refresh_at = 0.0
        self._rumored = UNKNOWN_POSITION
        self._is_restore_due = False
        self._last_refresh_failed = False
        self._wake_up = anyio.Event()
        self._rumor_received = anyio.Event()
        rumor_bus.subscribe(TOPIC, self._on_rumor)
        keyring.subscribe(self._on_keyring_changed)

    def on_listed(self, entry: StoreEntry) -> None:
        """Accepts an entry that was listed together with the contacts."""
        if entry.key == KEY:
            self._apply(entry)

    def on_new_era(self) -> None:
        """Restores the secret in a store that came back from a copy."""
        if self._is_creator() and self._keyring.has_secret:
            self._is_restore_due = True
            self._wake_up.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        await anyio.sleep(self._spread_s + _LISTING_S)
        # An earlier call may have failed at what woke it.
        self._wake_up.set()
        while True:
            await self._wake_up.wait()
            self._wake_up = anyio.Event()
            if self._keyring.lacks_secret:
                await self._obtain()
            elif self._is_restore_due:
                await self._restore()
            elif self._keyring.has_accounts and self._is_refresh_due():
                await self._refresh()

    def _is_refresh_due(self) -> bool:
        """Returns whether the record should be read again now."""
        is_rumored = self._rumored > self._keyring.position
        if not is_rumored and not self._keyring.may_be_outdated:
            return False
        self._keyring.may_be_outdated = False
        if is_rumored and not self._last_refresh_failed:
            return True
        return self._clock.monotonic() >= self._next_refresh_at

    def _on_keyring_changed(self) -> None:
        self._wake_up.set()

    def _on_rumor(self, key: str, value: bytes) -> None:
        try:
            number = _rumor_decoder.decode(value)
        except MalformedInputError as exc:
            self._log.warning(
                "Ignored a malformed rumor of the secret's position.",
                reason=str(exc)[:120],
            )
            return
        position = StorePosition.from_number(number)
        if position <= self._keyring.position:
            return
        self._rumored = max(self._rumored, position)
        self._rumor_received.set()
        self._wake_up.set()

    async def _obtain(self) -> None:
        """Returns once the secret is known or no longer needed."""
        if not self._is_creator() and not self._is_rumored():
            with anyio.move_on_after(CREATOR_WAIT_S):
                await self._rumor_received.wait()
        for _ in range(_STALE_READS):
            if not self._keyring.in_grace_period or not self._is_rumored():
                break
            await anyio.sleep(_STALE_READ_DELAY_S)
            if not self._keyring.lacks_secret or await self._read_or_create(
                may_lag=True
            ):
                return
        while self._keyring.lacks_secret:
            if await self._read_or_create():
                self._backoff.record_success()
                return
            await anyio.sleep(self._backoff.record_failure())

    async def _restore(self) -> None:
        """Writes the secret again if the store has lost it.

        Otherwise the next node that starts would create another one.
        """
        while self._is_restore_due:
            try:
                entry = await self._store.get(KEY)
                if entry is None or decode_record(entry.value) is None:
                    self._is_restore_due = not await self._write_again(entry)
                else:
                    self._is_restore_due = False
                    self._apply(entry)
                    self._announce(self._keyring.position)
            except StoreError as exc:
                self._log.info(
                    "Failed to restore the secret in the store.",
                    reason=str(exc)[:120],
                )
            if self._is_restore_due:
                await anyio.sleep(self._backoff.record_failure())
        self._backoff.record_success()

    async def _write_again(self, malformed: StoreEntry | None) -> bool:
        """Writes the known secret; returns whether no other node did before.

        Raises:
          StoreError: the store failed.
        """
        secret = self._keyring.newest_secret
        if secret is None:
            return True
        result = await self._put(SecretRecord(secret), malformed)
        if not result.succeeded:
            return False
        self._log.change(
            "Restored the secret in the store.",
            era=result.era,
            revision=result.revision,
        )
        self._keyring.update_secret(secret, result.position)
        self._announce(result.position)
        return True

    async def _refresh(self) -> None:
        """Reads the record once; backs off while that brings nothing new."""
        known_position = self._keyring.position
        now = self._clock.monotonic()
        try:
            entry = await self._store.get(KEY)
        except StoreError as exc:
            self._log.info(
                "Failed to read the secret from the store.",
                reason=str(exc)[:120],
            )
            self._last_refresh_failed = True
            # The record may have changed, unlike after a read without news.
            self._next_refresh_at = now + self._backoff.record_failure()
            return
        self._last_refresh_failed = False
        self._backoff.record_success()
        self._next_refresh_at = now + self._refresh_backoff.record_failure()
        # Otherwise a rumor of a record that was removed since would cause reads
        # forever.
        self._rumored = UNKNOWN_POSITION
        if entry is not None:
            self._apply(entry)
        if self._keyring.position > known_position:
            self._refresh_backoff.record_success()

    async def _read_or_create(self, *, may_lag: bool = False) -> bool:
        """Reads the record; creates it if there is none or a malformed one.

        Args:
          may_lag: whether the record may be too new for a stale read; then
            one that returns no record proves nothing, and none is created.

        Returns:
          Whether the secret is known now.
        """
        try:
            # A stale read suffices if it returns a secret: a node that holds a
            # newer one refuses messages signed by the old one, and then the
            # record is read again.
            entry = await self._store.get(KEY, allow_stale=True)
            if entry is None and may_lag:
                return False
            if entry is None:
                entry = await self._store.get(KEY)
            if entry is None or decode_record(entry.value) is None:
                return await self._create(entry)
        except StoreError as exc:
            self._log.info(
                "Failed to read or create the secret in the store.",
                reason=str(exc)[:120],
            )
            return False
        self._apply(entry)
        return True

    async def _create(self, malformed: StoreEntry | None) -> bool:
        """Writes a new secret unless another node wrote one meanwhile.

        Args:
          malformed: the malformed record to replace; `None` if there is none.

        Returns:
          Whether this node's secret became that of the fleet.

        Raises:
          StoreError: the store failed; a later read shows whether the write was
            applied.
        """
        record = SecretRecord(self._entropy(SECRET_BYTES))
        result = await self._put(record, malformed)
        if not result.succeeded:
            return False
        self._log.change(
            "Created the secret.", era=result.era, revision=result.revision
        )
        self._keyring.update_secret(record.secret, result.position)
        self._announce(result.position)
        return True

    async def _put(
        self, record: SecretRecord, malformed: StoreEntry | None
    ) -> TxnResult:
        """Writes a record if there is still none but the malformed one."""
        return await self._store.transact(
            (Compare(KEY, malformed.mod_revision if malformed else 0),),
            (Put(KEY, msgspec.json.encode(record)),),
        )

    def _apply(self, entry: StoreEntry) -> None:
        record = decode_record(entry.value)
        if record is None:
            self._log.error(
                "The record of the secret in the store is malformed.",
                revision=entry.mod_revision,
            )
            return
        self._keyring.update_secret(record.secret, entry.position)

    def _announce(self, position: StorePosition) -> None:
        value = msgspec.json.encode(position.number)
        self._rumor_bus.publish(
            TOPIC, "record", position.number, value, _RUMOR_TTL_S
        )

    def _is_rumored(self) -> bool:
        return self._rumored > UNKNOWN_POSITION
