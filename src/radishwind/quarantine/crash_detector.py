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
      ran_alone: whether no request with another fingerprint was running.
      incarnation: the process of the server; empty if unknown.
    """

    fingerprint: str
    ran_alone: bool
    incarnation: str = ""


class _BrokenExchange(msgspec.Struct, frozen=True):
    """An exchange that a process of the server broke at `at` (monotonic s)."""

    request: Request
    at: float
    incarnation: str


class CrashDetector:
    """Combines broken exchanges with evidence that the server went down.

    A broken exchange alone is no evidence, since a connection may break for
    many reasons. Fingerprints are computed only after a crash, so that they
    cost nothing on the request path.
    """

    def __init__(self) -> None:
        self._broken: list[_BrokenExchange] = []

    def record_broken_exchange(
        self, request: Request, now: float, incarnation: str = ""
    ) -> None:
        """Records an exchange that broke before its response was complete.

        Args:
          request: the request of the exchange.
          now: monotonic time (s).
          incarnation: the process of the server; empty if unknown.
        """
        recent = [b for b in self._broken if now - b.at <= CRASH_WINDOW_S]
        self._broken = recent[-MAX_BROKEN_EXCHANGES + 1 :]
        self._broken.append(_BrokenExchange(request, now, incarnation))

    def record_server_down(self, now: float) -> tuple[CrashSuspect, ...]:
        """Records a refused connection or a restart of the server.

        Args:
          now: monotonic time (s).

        Returns:
          The requests that may have crashed the server.
        """
        broken, self._broken = self._broken, []
        recent = [b for b in broken if now - b.at <= CRASH_WINDOW_S]
        by_process: dict[str, dict[str, None]] = {}
        for exchange in recent:
            names = by_process.setdefault(exchange.incarnation, {})
            names[fingerprint(exchange.request)] = None
        return tuple(
            CrashSuspect(name, len(names) == 1, incarnation)
            for incarnation, names in by_process.items()
            for name in names
        )
