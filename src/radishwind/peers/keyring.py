"""Fleet secrets known to this node; decides what it signs and requires.

A node signs messages as soon as it knows the secret and there are client
accounts. It refuses unsigned messages only after the other nodes have had time
to read the secret.
"""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.store.position import StorePosition
from radishwind.store.position import UNKNOWN_POSITION
from radishwind.supervision import Duty
from radishwind.supervision import Listeners
from radishwind.telemetry.part_logger import PartLogger

#: If accounts come into force while nodes run, unsigned messages are accepted
#: for this time (s), in which the other nodes adopt the same configuration
#: version and read the secret.
UNSIGNED_GRACE_S = 10.0

#: A replaced secret is still accepted for this time (s).
OLD_SECRET_VALID_S = 30.0


class Keyring:
    """The current secret and, during a rotation, the previous one.

    Attributes:
      has_accounts: whether there are client accounts; if so, messages are
        signed.
      position: position in the store of the record of the newest secret.
      may_be_outdated: whether other nodes may know a newer secret.
      is_signing_paused: whether nothing is signed, regardless of secret and
        accounts.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("peers", clock)
        self._newest: bytes | None = None
        self._older: bytes | None = None
        self._older_valid_until = 0.0
        self._grace_until = 0.0
        self._accounts_known = False
        self._listeners: Listeners[()] = Listeners("peers.keyring")
        self.has_accounts = False
        self.position = UNKNOWN_POSITION
        self.may_be_outdated = False
        self.is_signing_paused = False

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers a listener for changes of the secret.

        It is called when a secret is missing, possibly outdated, or updated.
        """
        self._listeners.add(listener)

    @property
    def retries(self) -> Duty:
        """The duty that calls again the listeners that failed."""
        return self._listeners.retries

    def set_has_accounts(self, has_accounts: bool, *, with_grace: bool) -> None:
        """Sets whether there are client accounts.

        Args:
          has_accounts: whether there are any.
          with_grace: whether other nodes may not know of them yet, so that
            unsigned messages are accepted for `UNSIGNED_GRACE_S`.
        """
        self._accounts_known = True
        if has_accounts == self.has_accounts:
            return
        self.has_accounts = has_accounts
        if has_accounts and with_grace:
            self._grace_until = self._clock.monotonic() + UNSIGNED_GRACE_S
        self._log.change(
            "Messages between nodes are signed."
            if has_accounts
            else "Messages between nodes are not signed any more.",
            secret_known=int(self._newest is not None),
        )
        if self.lacks_secret:
            self._call_listeners()

    def update_secret(self, secret: bytes, position: StorePosition) -> None:
        """Sets the secret of the record at `position`, if that is newer."""
        if position <= self.position:
            return
        self.position = position
        if secret == self._newest:
            return
        self._older = self._newest
        self._older_valid_until = self._clock.monotonic() + OLD_SECRET_VALID_S
        self._newest = secret
        self._log.change(
            "Knows the secret of the fleet.",
            era=position.era,
            revision=position.revision,
            replaced=int(self._older is not None),
        )
        self._call_listeners()

    def suspect_outdated(self) -> None:
        """Records that another node may know a newer secret."""
        self.may_be_outdated = True
        self._call_listeners()

    def _call_listeners(self) -> None:
        self._listeners.notify()

    @property
    def has_secret(self) -> bool:
        """Whether a secret is known."""
        return self._newest is not None

    @property
    def newest_secret(self) -> bytes | None:
        """The newest secret; `None` if none is known."""
        return self._newest

    @property
    def lacks_secret(self) -> bool:
        """Whether messages should be signed but no secret is known."""
        return self.has_accounts and self._newest is None

    @property
    def signing_secret(self) -> bytes | None:
        """The secret to sign with; `None` if nothing is signed.

        A node that knows a secret signs even before it knows whether there are
        accounts, since the other nodes may already require signatures.
        """
        if self.is_signing_paused:
            return None
        return (
            self._newest
            if self.has_accounts or not self._accounts_known
            else None
        )

    @property
    def accepted_secrets(self) -> tuple[bytes, ...]:
        """The secrets accepted in signatures, newest first."""
        if not self.has_accounts or self._newest is None:
            return ()
        if self._older is None:
            return (self._newest,)
        if self._clock.monotonic() >= self._older_valid_until:
            self._older = None
            return (self._newest,)
        return (self._newest, self._older)

    @property
    def requires_signatures(self) -> bool:
        """Whether unsigned messages are refused."""
        if not self.has_accounts or self._newest is None:
            return False
        return not self.in_grace_period

    @property
    def in_grace_period(self) -> bool:
        """Whether unsigned messages are accepted for a limited time."""
        if not self._grace_until:
            return False
        if self._clock.monotonic() < self._grace_until:
            return True
        self._grace_until = 0.0
        return False
