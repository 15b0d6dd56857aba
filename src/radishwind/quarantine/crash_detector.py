"""Finds out that the server beside crashed, and what it ran then."""

import msgspec

from radishwind.http.types import Request
from radishwind.quarantine.fingerprint import fingerprint

#: A refused connection or a new start this long (s) after broken exchanges
#: means that the server crashed under them.
CRASH_WINDOW_S = 10.0

#: Broken exchanges remembered; a server has fewer slots than that.
MAX_BROKEN_EXCHANGES = 1024


class CrashSuspect(msgspec.Struct, frozen=True):
    """A request in flight at a crash.

    Attributes:
      fingerprint: of the request.
      alone: whether nothing else ran.
    """

    fingerprint: str
    ran_alone: bool


class _Broken(msgspec.Struct, frozen=True):
    """An exchange that the server's end broke."""

    request: Request
    at: float


class CrashDetector:
    """Takes broken exchanges, and what proves that the server is gone.

    One broken exchange alone proves nothing: a connection may break for many
    reasons. Fingerprints are worked out at a crash only, so that requests pay
    nothing for this.
    """

    def __init__(self) -> None:
        self._broken: list[_Broken] = []

    def record_broken_exchange(self, request: Request, now: float) -> None:
        """Takes an exchange that broke off before its answer was whole."""
        recent = [b for b in self._broken if now - b.at <= CRASH_WINDOW_S]
        self._broken = recent[-MAX_BROKEN_EXCHANGES + 1 :]
        self._broken.append(_Broken(request, now))

    def record_server_down(self, now: float) -> tuple[CrashSuspect, ...]:
        """Takes a refused connection or a new start; returns the suspects."""
        broken, self._broken = self._broken, []
        recent = [b for b in broken if now - b.at <= CRASH_WINDOW_S]
        alone = len(recent) == 1
        prints = dict.fromkeys(fingerprint(b.request) for b in recent)
        return tuple(CrashSuspect(name, alone) for name in prints)
