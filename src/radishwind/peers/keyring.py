"""The secret of the fleet as one node knows it, and what follows from it.

A node signs as soon as it holds the secret and there are client accounts. It
refuses what isn't signed only once the others had time to learn the secret.
"""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.telemetry.logs import PartLogger

#: Where accounts come into force while nodes run, unsigned messages are taken
#: for so long (s): the others adopt the same version and read the secret.
LENIENT_S = 10.0

#: A secret that was replaced is accepted for so long (s).
RETIRE_S = 30.0


class Keyring:
    """The secrets that count.

    Attributes:
      in_use: whether there are client accounts, so that messages are signed.
      revision: of the store's record of the newest secret; 0 for none.
      doubted: whether others may know a newer secret.
      held: whether nothing is signed, whatever else.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("peers", clock)
        self._newest: bytes | None = None
        self._older: bytes | None = None
        self._older_until = 0.0
        self._lenient_until = 0.0
        self._decided = False
        self._listeners: list[Callable[[], None]] = []
        self.in_use = False
        self.revision = 0
        self.doubted = False
        self.held = False

    def listen(self, listener: Callable[[], None]) -> None:
        """Calls `listener` when a secret is lacking, doubted or learned."""
        self._listeners.append(listener)

    def follow(self, in_use: bool, *, lenient: bool) -> None:
        """Takes whether there are accounts.

        Args:
          in_use: whether there are.
          lenient: whether other nodes may not know of them yet.
        """
        self._decided = True
        if in_use == self.in_use:
            return
        self.in_use = in_use
        if in_use and lenient:
            self._lenient_until = self._clock.monotonic() + LENIENT_S
        self._log.change(
            "Messages between nodes are signed."
            if in_use
            else "Messages between nodes are not signed any more.",
            secret_known=int(self._newest is not None),
        )
        if self.lacks:
            self._call_listeners()

    def learn(self, secret: bytes, revision: int) -> None:
        """Takes the secret of the record at `revision`, if that is newer."""
        if revision <= self.revision:
            return
        self.revision = revision
        if secret == self._newest:
            return
        self._older = self._newest
        self._older_until = self._clock.monotonic() + RETIRE_S
        self._newest = secret
        self._log.change(
            "Knows the secret of the fleet.",
            revision=revision,
            replaced=int(self._older is not None),
        )
        self._call_listeners()

    def doubt(self) -> None:
        """Takes that somebody may know a newer secret."""
        self.doubted = True
        self._call_listeners()

    def _call_listeners(self) -> None:
        for listener in self._listeners:
            listener()

    @property
    def knows(self) -> bool:
        """Whether a secret is known."""
        return self._newest is not None

    @property
    def lacks(self) -> bool:
        """Whether messages are to be signed and no secret is known."""
        return self.in_use and self._newest is None

    @property
    def signing(self) -> bytes | None:
        """The secret to sign with; `None` where nothing is signed.

        Who finds a secret signs before it knows whether there are accounts: the
        others know.
        """
        if self.held:
            return None
        return self._newest if self.in_use or not self._decided else None

    @property
    def accepted(self) -> tuple[bytes, ...]:
        """The secrets that a signature may be by, the newest first."""
        if not self.in_use or self._newest is None:
            return ()
        if self._older is None:
            return (self._newest,)
        if self._clock.monotonic() >= self._older_until:
            self._older = None
            return (self._newest,)
        return (self._newest, self._older)

    @property
    def requires(self) -> bool:
        """Whether what isn't signed is refused."""
        if not self.in_use or self._newest is None:
            return False
        return not self.lenient

    @property
    def lenient(self) -> bool:
        """Whether what isn't signed is taken for a while yet."""
        if not self._lenient_until:
            return False
        if self._clock.monotonic() < self._lenient_until:
            return True
        self._lenient_until = 0.0
        return False
