"""Authenticates what arrives on the peer listener by keys of the settings.

Every request carries a field with its wall-clock time, a nonce and a keyed
BLAKE2 over method, path, receiver, time, nonce and what is covered: the body
of a control message, the attempt field of a forwarded attempt.
"""

import hashlib
import hmac
import itertools

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.peers.signing import AUTH_FIELD
from radishwind.peers.signing import PeerRefusedError
from radishwind.peers.signing import PeerReplayedError
from radishwind.peers.signing import PeerStaleError
from radishwind.peers.signing import RequestSigner
from radishwind.peers.signing import RequestVerifier

#: A request may have been sent this long ago (s) ...
WINDOW_PAST_S = 30.0
#: ... or, as clocks differ, this far in the future (s).
WINDOW_FUTURE_S = 5.0

#: Nonces remembered in each of two generations.
MAX_NONCES = 65_536
_MAC_BYTES = 16
_VERSION = "1"
_PERSON = b"radishwind-peers"
_MAX_FIELD_CHARS = 160
_PARTS = 4


class PeerSigner(RequestSigner):
    """Signs requests to peers with the first key."""

    def __init__(self, key: bytes, clock: Clock, nonce_prefix: str) -> None:
        """Makes a signer.

        Args:
          key: the first of the keys.
          clock: the wall clock.
          nonce_prefix: unique to this process, from a safe random source.
        """
        self._key = key
        self._clock = clock
        self._nonce_prefix = nonce_prefix
        self._counts = itertools.count()

    def sign(self, to: Address, method: str, path: str, covered: bytes) -> str:
        stamp = str(self._clock.wall_ms())
        nonce = f"{self._nonce_prefix}{next(self._counts):x}"
        mac = _mac(self._key, to, method, path, stamp, nonce, covered)
        return f"{_VERSION} {stamp} {nonce} {mac}"


class PeerVerifier(RequestVerifier):
    """Checks the requests of peers against every key, once each."""

    def __init__(
        self, keys: tuple[bytes, ...], clock: Clock, own: Address
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._own = own
        # What was sent to an earlier process of this address could have run
        # there, and this one remembers none of its nonces.
        self._fence_ms = clock.wall_ms()
        self._nonces = NonceCache(MAX_NONCES)

    def verify(
        self,
        field: str | None,
        method: str,
        path: str,
        covered: bytes,
        *,
        at_most_once: bool = False,
    ) -> None:
        """Returns if the request is authentic, in time and new.

        Raises:
          PeerRefusedError: it is not authentic.
          PeerStaleError: it was sent outside the window.
          PeerReplayedError: it was received before.
        """
        stamp, nonce, mac = _split(field)
        good = [
            _mac(key, self._own, method, path, stamp, nonce, covered)
            for key in self._keys
        ]
        if not any(hmac.compare_digest(mac, one) for one in good):
            raise PeerRefusedError("expected a signature by a known key")
        self._check_time(int(stamp))
        if not self._nonces.add(nonce, int(stamp)):
            raise PeerReplayedError("expected a new request, got a known one")

    def _check_time(self, stamp_ms: int) -> None:
        now_ms = self._clock.wall_ms()
        oldest_ms = max(
            now_ms - int(WINDOW_PAST_S * 1000),
            self._fence_ms,
            self._nonces.forgotten_ms + 1,
        )
        newest_ms = now_ms + int(WINDOW_FUTURE_S * 1000)
        if not oldest_ms <= stamp_ms <= newest_ms:
            raise PeerStaleError(
                f"expected a time from {oldest_ms - now_ms} to "
                f"{newest_ms - now_ms} ms around now, got {stamp_ms - now_ms}"
            )
        self._nonces.age(now_ms)


class NonceCache:
    """Remembers nonces in two generations, bounded in number.

    A generation lasts longer than the window. Where one fills up early the
    older is dropped and `forgotten_ms` raised, so that what can't be told from
    a replay any more is refused as stale.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._current: dict[str, int] = {}
        self._previous: dict[str, int] = {}
        self._began_ms = 0
        self.forgotten_ms = 0

    def add(self, nonce: str, stamp_ms: int) -> bool:
        """Remembers `nonce`; returns whether it was new."""
        if nonce in self._current or nonce in self._previous:
            return False
        if len(self._current) >= self._limit:
            self._turn()
        self._current[nonce] = stamp_ms
        return True

    def age(self, now_ms: int) -> None:
        """Starts a new generation when the current one is old enough."""
        span_ms = int((WINDOW_PAST_S + WINDOW_FUTURE_S) * 1000)
        if now_ms - self._began_ms <= span_ms:
            return
        self._began_ms = now_ms
        self._previous, self._current = self._current, {}

    def _turn(self) -> None:
        dropped = max(self._previous.values(), default=0)
        self.forgotten_ms = max(self.forgotten_ms, dropped)
        self._previous, self._current = self._current, {}


def _split(field: str | None) -> tuple[str, str, str]:
    """Returns time, nonce and signature of the value of `AUTH_FIELD`."""
    if field is None:
        raise PeerRefusedError(f"expected the field {AUTH_FIELD}, got none")
    parts = field.split(" ") if len(field) <= _MAX_FIELD_CHARS else []
    if len(parts) != _PARTS or parts[0] != _VERSION or not field.isascii():
        raise PeerRefusedError(f"expected {AUTH_FIELD} of version {_VERSION}")
    if not parts[1].isdigit() or len(parts[1]) > 16:
        raise PeerRefusedError(f"expected a time in ms in {AUTH_FIELD}")
    return parts[1], parts[2], parts[3]


def _mac(
    key: bytes,
    to: Address,
    method: str,
    path: str,
    stamp: str,
    nonce: str,
    covered: bytes,
) -> str:
    head = f"{method}\n{path}\n{to.host}:{to.port}\n{stamp}\n{nonce}\n"
    digest = hashlib.blake2b(
        head.encode("utf-8", "surrogateescape"),
        key=key,
        digest_size=_MAC_BYTES,
        person=_PERSON,
    )
    digest.update(covered)
    return digest.hexdigest()
