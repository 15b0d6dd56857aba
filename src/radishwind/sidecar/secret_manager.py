"""Keeps the secret of the fleet: finds it in the store, or makes it there.

The record lies beside the contacts of membership, which each start lists
anyway. Who finds none writes one on the condition that there is none, so that
one writer wins. Nodes tell each other that there is a record, never the
secret.
"""

from collections.abc import Callable
import random

import anyio
import msgspec

from radishwind.core.clock import Clock
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
from radishwind.store.budgeted_store import Backoff
from radishwind.telemetry.logs import PartLogger

#: No failure domain has this name.
KEY = CONTACTS_PREFIX + ".peers"

#: The topic of the rumor that tells the revision of the record, and how long
#: it is kept (s).
TOPIC = "peer-secret"
_RUMOR_S = 60.0

SECRET_BYTES = 32

#: Who isn't to make the record waits this long for who is (s).
OTHERS_WAIT_S = 1.0

#: What listing the contacts takes (s), with time for a busy store.
_LISTING_S = 0.05

#: Answers of the store that may be old are read so often, and so far apart (s),
#: until they show a record just made: while nothing is refused yet, where all
#: nodes at once would ask for the newest.
_AGED_READS = 3
_AGED_S = 2.0

#: Pauses between looks that brought nothing new (s).
_FIRST_PAUSE_S = 0.2
_LONGEST_PAUSE_S = 2.0

#: Pauses between looks for a newer secret than the one known (s). Forged
#: messages cause them too.
_FIRST_DOUBT_S = 1.0
_LONGEST_DOUBT_S = 60.0


class SecretRecord(msgspec.Struct, frozen=True):
    """The record in the store.

    Attributes:
      secret: of all nodes.
    """

    secret: bytes

    def __repr__(self) -> str:
        # What is shown may be logged.
        return "SecretRecord(...)"


def read_record(value: bytes) -> SecretRecord | None:
    """Returns the record in `value`; `None` where there is no good one."""
    try:
        record = msgspec.json.decode(value, type=SecretRecord)
    except (msgspec.MsgspecError, ValueError):
        return None
    return record if len(record.secret) == SECRET_BYTES else None


class SecretManager:
    """The task that gives a keyring the secret when it needs one."""

    def __init__(
        self,
        *,
        keyring: Keyring,
        store: Store,
        clock: Clock,
        rng: random.Random,
        rumor_bus: RumorBus,
        makes: Callable[[], bool],
        spread_s: float,
        entropy: Callable[[int], bytes],
    ) -> None:
        """Wires the task.

        Args:
          keyring: takes the secret.
          store: the platform's store.
          clock: the clock.
          rng: the random source of pauses.
          rumor_bus: tells that there is a record.
          makes: returns whether this node is the one to make the record.
          spread_s: how long the first listing of the contacts may take to
            begin (s), which mostly brings the secret.
          entropy: returns as many bytes as asked, from a safe source.
        """
        self._keyring = keyring
        self._store = store
        self._clock = clock
        self._rng = rng
        self._rumor_bus = rumor_bus
        self._makes = makes
        self._spread_s = spread_s
        self._entropy = entropy
        self._log = PartLogger("peers", clock)
        self._backoff = Backoff(rng, _FIRST_PAUSE_S, _LONGEST_PAUSE_S)
        self._doubts = Backoff(rng, _FIRST_DOUBT_S, _LONGEST_DOUBT_S)
        self._looks_again_at = 0.0
        self._heard = 0
        self._unread = False
        self._due = anyio.Event()
        self._told = anyio.Event()
        rumor_bus.subscribe(TOPIC, self._on_rumor)
        keyring.subscribe(self._wanted)

    def listed(self, entry: StoreEntry) -> None:
        """Takes an entry that was listed with the contacts."""
        if entry.key == KEY:
            self._take(entry)

    async def run(self) -> None:
        """Runs until cancelled."""
        await anyio.sleep(self._spread_s + _LISTING_S)
        while True:
            await self._due.wait()
            self._due = anyio.Event()
            if self._keyring.lacks_secret:
                await self._find()
            elif self._keyring.has_accounts and self._is_doubtful():
                await self._look_for_newer()

    def _is_doubtful(self) -> bool:
        """Returns whether the record should be read, by now."""
        rumored = self._heard > self._keyring.revision
        if not rumored and not self._keyring.may_be_outdated:
            return False
        self._keyring.may_be_outdated = False
        if rumored and not self._unread:
            return True
        return self._clock.monotonic() >= self._looks_again_at

    def _wanted(self) -> None:
        self._due.set()

    def _on_rumor(self, key: str, value: bytes) -> None:
        try:
            revision = msgspec.json.decode(value, type=int)
        except msgspec.MsgspecError as exc:
            self._log.warning("A rumor is malformed.", reason=str(exc)[:120])
            return
        if revision <= self._keyring.revision:
            return
        self._heard = max(self._heard, revision)
        self._told.set()
        self._due.set()

    async def _find(self) -> None:
        """Returns once the secret is known, or not needed any more."""
        if not self._makes() and not self._heard:
            with anyio.move_on_after(OTHERS_WAIT_S):
                await self._told.wait()
        for _ in range(_AGED_READS):
            if not self._keyring.in_grace_period or not self._heard:
                break
            await anyio.sleep(_AGED_S)
            if not self._keyring.lacks_secret or await self._look(patient=True):
                return
        while self._keyring.lacks_secret:
            if await self._look():
                self._backoff.record_success()
                return
            await anyio.sleep(self._backoff.record_failure())

    async def _look_for_newer(self) -> None:
        """Reads the record once, seldom where that brings nothing new."""
        before = self._keyring.revision
        now = self._clock.monotonic()
        self._looks_again_at = now + self._doubts.record_failure()
        try:
            entry = await self._store.get(KEY)
        except StoreError as exc:
            self._log.info("The secret is unread.", reason=str(exc)[:120])
            self._unread = True
            return
        self._unread = False
        # Else a rumor of a record that was removed would be followed for ever.
        self._heard = 0
        if entry is not None:
            self._take(entry)
        if self._keyring.revision > before:
            self._doubts.record_success()

    async def _look(self, *, patient: bool = False) -> bool:
        """Returns whether there is a secret now, made here if need be.

        Args:
          patient: whether an old answer without one settles nothing.
        """
        try:
            # An old answer will do where it shows a secret: who holds a newer
            # one refuses the old, and then the record is read again.
            entry = await self._store.get(KEY, allow_stale=True)
            if entry is None and patient:
                return False
            if entry is None:
                entry = await self._store.get(KEY)
            if entry is None or read_record(entry.value) is None:
                return await self._make(entry)
        except StoreError as exc:
            self._log.info("The secret is unread.", reason=str(exc)[:120])
            return False
        self._take(entry)
        return True

    async def _make(self, before: StoreEntry | None) -> bool:
        """Returns whether this node's secret is the one of the fleet.

        Args:
          before: a record that nobody can read; `None` for none.

        Raises:
          StoreError: the store failed; a later look finds what became of it.
        """
        record = SecretRecord(self._entropy(SECRET_BYTES))
        value = msgspec.json.encode(record)
        result = await self._store.transact(
            (Compare(KEY, before.mod_revision if before else 0),),
            (Put(KEY, value),),
        )
        if not result.succeeded:
            return False
        self._log.change("Made the secret.", revision=result.revision)
        self._keyring.update_secret(record.secret, result.revision)
        self._tell(result.revision)
        return True

    def _take(self, entry: StoreEntry) -> None:
        record = read_record(entry.value)
        if record is None:
            self._log.error(
                "The record of the secret is malformed.",
                revision=entry.mod_revision,
            )
            return
        self._keyring.update_secret(record.secret, entry.mod_revision)

    def _tell(self, revision: int) -> None:
        value = msgspec.json.encode(revision)
        self._rumor_bus.publish(TOPIC, "record", revision, value, _RUMOR_S)
