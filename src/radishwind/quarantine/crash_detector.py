"""Detects crashes of the local server and the requests that it was running."""

import msgspec

from radishwind.http.types import Request
from radishwind.quarantine.fingerprint import fingerprint

#: If a connection is refused or the server restarts within this time after
#: exchanges broke (s), the server is taken to have crashed during them.
CRASH_WINDOW_S = 10.0

#: Maximum number of broken exchanges tracked; a server has fewer slots.
MAX_BROKEN_EXCHANGES = 1024


class CrashSuspect(msgspec.Struct, frozen=True):
    """A request that was running on the server when it crashed.

    Attributes:
      fingerprint: identifies the request when it is sent again.
      ran_alone: whether no other request was running.
    """

    fingerprint: str
    ran_alone: bool


class _BrokenExchange(msgspec.Struct, frozen=True):
    """An exchange that was broken by the server at `at` (monotonic s)."""

    request: Request
    at: float


class CrashDetector:
    """Combines broken exchanges with evidence that the server went down.

    A broken exchange alone is no evidence, since a connection may break for
    many reasons. Fingerprints are computed only after a crash, so that they
    cost nothing on the request path.
    """

    def __init__(self) -> None:
        self._broken: list[_BrokenExchange] = []

    def record_broken_exchange(self, request: Request, now: float) -> None:
        """Records an exchange that broke before its response was complete.

        Args:
          request: the request of the exchange.
          now: monotonic time (s).
        """
        recent = [b for b in self._broken if now - b.at <= CRASH_WINDOW_S]
        self._broken = recent[-MAX_BROKEN_EXCHANGES + 1 :]
        self._broken.append(_BrokenExchange(request, now))

    def record_server_down(self, now: float) -> tuple[CrashSuspect, ...]:
        """Records a refused connection or a restart of the server.

        Args:
          now: monotonic time (s).

        Returns:
          The requests that may have crashed the server.
        """
        broken, self._broken = self._broken, []
        recent = [b for b in broken if now - b.at <= CRASH_WINDOW_S]
        ran_alone = len(recent) == 1
        fingerprints = dict.fromkeys(fingerprint(b.request) for b in recent)
        return tuple(CrashSuspect(name, ran_alone) for name in fingerprints)
