"""Authenticates requests between nodes with keys from the settings.

Each request carries a header field with its wall-clock time, a nonce and a
keyed BLAKE2 hash of method, path, receiver, time, nonce and covered bytes: the
body of a control message, or the attempt field of a forwarded attempt.
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

#: Maximum age of an accepted request (s).
WINDOW_PAST_S = 30.0
#: A request may be dated this far in the future (s), since clocks differ.
WINDOW_FUTURE_S = 5.0

#: Maximum number of nonces in each of the two generations of the cache.
MAX_NONCES = 65_536
_MAC_BYTES = 16
_VERSION = "1"
_PERSON = b"radishwind-peers"
_MAX_FIELD_CHARS = 160
_PART_COUNT = 4


class PeerSigner(RequestSigner):
    """Signs requests to peers with the first configured key."""

    def __init__(self, key: bytes, clock: Clock, nonce_prefix: str) -> None:
        """Creates a signer.

        Args:
          key: the first of the configured keys.
          clock: the clock; its wall-clock time dates the requests.
          nonce_prefix: unique to this process, from a cryptographically secure
            random source.
        """
        self._key = key
        self._clock = clock
        self._nonce_prefix = nonce_prefix
        self._counts = itertools.count()

    def sign(self, to: Address, method: str, path: str, covered: bytes) -> str:
        timestamp = str(self._clock.wall_ms())
        nonce = f"{self._nonce_prefix}{next(self._counts):x}"
        mac = _mac(self._key, to, method, path, timestamp, nonce, covered)
        return f"{_VERSION} {timestamp} {nonce} {mac}"


class PeerVerifier(RequestVerifier):
    """Verifies requests of peers with all keys; accepts each at most once."""

    def __init__(
        self, keys: tuple[bytes, ...], clock: Clock, own: Address
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._own = own
        # Requests sent to an earlier process at this address may have run
        # there, and this process does not know their nonces.
        self._started_ms = clock.wall_ms()
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
        """Returns if the request is authentic, within the window and new.

        Raises:
          PeerRefusedError: it is not authentic.
          PeerStaleError: it was sent outside the time window, or before this
            process started.
          PeerReplayedError: it was received before.
        """
        timestamp, nonce, mac = _split(field)
        expected = [
            _mac(key, self._own, method, path, timestamp, nonce, covered)
            for key in self._keys
        ]
        if not any(hmac.compare_digest(mac, one) for one in expected):
            raise PeerRefusedError("expected a signature by a known key")
        self._check_time(int(timestamp))
        if not self._nonces.add(nonce, int(timestamp)):
            raise PeerReplayedError("expected a new request, got a known one")

    def _check_time(self, sent_ms: int) -> None:
        now_ms = self._clock.wall_ms()
        oldest_ms = max(
            now_ms - int(WINDOW_PAST_S * 1000),
            self._started_ms,
            self._nonces.dropped_until_ms + 1,
        )
        newest_ms = now_ms + int(WINDOW_FUTURE_S * 1000)
        if not oldest_ms <= sent_ms <= newest_ms:
            raise PeerStaleError(
                f"expected a time from {oldest_ms - now_ms} to "
                f"{newest_ms - now_ms} ms around now, got {sent_ms - now_ms}"
            )
        self._nonces.rotate_if_due(now_ms)


class NonceCache:
    """Nonces received, in two generations, bounded in number.

    A generation lasts longer than the time window. If one fills up early, the
    older one is dropped and `dropped_until_ms` raised: requests up to that time
    can no longer be distinguished from replays and are refused as stale.

    Attributes:
      dropped_until_ms: latest time of a request whose nonce was dropped early
        (ms since the epoch, UTC); 0 if there is none.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._current: dict[str, int] = {}
        self._previous: dict[str, int] = {}
        self._generation_start_ms = 0
        self.dropped_until_ms = 0

    def add(self, nonce: str, sent_ms: int) -> bool:
        """Adds `nonce`; returns whether it is new."""
        if nonce in self._current or nonce in self._previous:
            return False
        if len(self._current) >= self._limit:
            self._rotate()
        self._current[nonce] = sent_ms
        return True

    def rotate_if_due(self, now_ms: int) -> None:
        """Starts a new generation if the current one exceeds the window."""
        generation_ms = int((WINDOW_PAST_S + WINDOW_FUTURE_S) * 1000)
        if now_ms - self._generation_start_ms <= generation_ms:
            return
        self._generation_start_ms = now_ms
        self._previous, self._current = self._current, {}

    def _rotate(self) -> None:
        newest_dropped_ms = max(self._previous.values(), default=0)
        self.dropped_until_ms = max(self.dropped_until_ms, newest_dropped_ms)
        self._previous, self._current = self._current, {}


def _split(field: str | None) -> tuple[str, str, str]:
    """Splits the value of `AUTH_FIELD` into time, nonce and MAC.

    Raises:
      PeerRefusedError: it is malformed.
    """
    if field is None:
        raise PeerRefusedError(f"expected the field {AUTH_FIELD}, got none")
    parts = field.split(" ") if len(field) <= _MAX_FIELD_CHARS else []
    if len(parts) != _PART_COUNT or parts[0] != _VERSION or not field.isascii():
        raise PeerRefusedError(f"expected {AUTH_FIELD} of version {_VERSION}")
    if not parts[1].isdigit() or len(parts[1]) > 16:
        raise PeerRefusedError(f"expected a time in ms in {AUTH_FIELD}")
    return parts[1], parts[2], parts[3]


def _mac(
    key: bytes,
    to: Address,
    method: str,
    path: str,
    timestamp: str,
    nonce: str,
    covered: bytes,
) -> str:
    head = f"{method}\n{path}\n{to.host}:{to.port}\n{timestamp}\n{nonce}\n"
    digest = hashlib.blake2b(
        head.encode("utf-8", "surrogateescape"),
        key=key,
        digest_size=_MAC_BYTES,
        person=_PERSON,
    )
    digest.update(covered)
    return digest.hexdigest()
