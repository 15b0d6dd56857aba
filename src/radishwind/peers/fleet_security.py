"""Signs and checks messages between nodes by the secret of the fleet.

A message names the start of the process that sent it and a number that rises
with each of its messages, so that a message counts once at each receiver. A
request also names the process that it is meant for: an attempt that was meant
for an earlier one at the same address doesn't run. No clock is involved.
"""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import hashlib
import hmac

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.http.types import header
from radishwind.http.types import Headers
from radishwind.http.types import Response
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_socket import DatagramAuthenticator
from radishwind.peers.replay_window import ReplayGuard
from radishwind.peers.signing import PeerRefusedError
from radishwind.peers.signing import PeerReplayedError
from radishwind.peers.signing import PeerStaleError
from radishwind.peers.signing import RequestSigner
from radishwind.peers.signing import RequestVerifier
from radishwind.telemetry.logs import PartLogger

#: Tells with a refusal which process refused.
START_FIELD = "Radishwind-Node-Start"

START_ID_BYTES = 4
_NUMBER_BYTES = 5
_HEAD_BYTES = START_ID_BYTES + _NUMBER_BYTES

#: Bytes of the receiver's start that a request names.
_MEANT_BYTES = 3

#: A request's tag (bytes).
REQUEST_TAG_BYTES = 12

#: A datagram's tag (bytes). Nobody can check a guess but by sending it, and
#: 2**63 datagrams in the mean are more than a link carries.
DATAGRAM_TAG_BYTES = 8

#: Numbers below the highest one received that are still told apart. Requests
#: to all nodes share their numbers and may wait half a second for a
#: connection; of datagrams one sending to many has one number, and they are
#: out of order by what a link's way differs.
_REQUEST_WINDOW = 2_048
_DATAGRAM_WINDOW = 256

#: Set in the first byte of a signed datagram, beside its channel.
SIGNED = 0x80

#: Start IDs of other nodes remembered.
_MAX_STARTS = 4_096

_REQUEST = b"radishwind-req"
_DATAGRAM = b"radishwind-dgram"

_UNKNOWN_START = bytes(START_ID_BYTES)
_FIELD_CHARS = 32

#: Addresses are padded to this length (bytes), so that none continues what
#: stands before it.
_ADDRESS_BYTES = 64


class StartIds:
    """Which process is at the address of each other node, as last told.

    Attributes:
      own: of this process.
    """

    def __init__(self, own: bytes) -> None:
        self.own = own
        self._known: dict[Address, bytes] = {}

    def get(self, address: Address) -> bytes:
        """Returns the start of the process at `address`; zeros if unknown."""
        return self._known.get(address, _UNKNOWN_START)

    def update(self, address: Address, start: bytes) -> bool:
        """Takes the start of the process there; returns whether it is new."""
        if self._known.get(address) == start:
            return False
        if len(self._known) >= _MAX_STARTS and address not in self._known:
            del self._known[next(iter(self._known))]
        self._known[address] = start
        return True


class FleetSigner(RequestSigner):
    """Signs requests for the process that is believed to be there."""

    def __init__(self, keyring: Keyring, start_ids: StartIds) -> None:
        self._keyring = keyring
        self._start_ids = start_ids
        self._number = 0

    def sign(
        self, to: Address, method: str, path: str, covered: bytes
    ) -> str | None:
        secret = self._keyring.signing_secret
        if secret is None:
            return None
        self._number += 1
        head = (
            self._start_ids.own
            + self._number.to_bytes(_NUMBER_BYTES, "big")
            + self._start_ids.get(to)[:_MEANT_BYTES]
        )
        tag = _request_tag(secret, to, method, path, head, covered)
        return base64.urlsafe_b64encode(head + tag).decode()

    def should_sign_again(self, to: Address, answer: Response) -> bool:
        told = header(answer.headers, START_FIELD.lower())
        if told is None or self._keyring.signing_secret is None:
            return False
        try:
            start = bytes.fromhex(told)
        except ValueError:
            return False
        return len(start) == START_ID_BYTES and self._start_ids.update(
            to, start
        )


class FleetVerifier(RequestVerifier):
    """Checks requests to this process, once each."""

    def __init__(
        self, keyring: Keyring, start_ids: StartIds, own: Address
    ) -> None:
        """Makes a verifier.

        Args:
          keyring: the secrets that count.
          start_ids: knows the start of this process.
          own: where other nodes reach this one.
        """
        self._keyring = keyring
        self._start_ids = start_ids
        self._own = own
        self._replays = ReplayGuard(_REQUEST_WINDOW)

    def verify(
        self,
        field: str | None,
        method: str,
        path: str,
        covered: bytes,
        *,
        at_most_once: bool = False,
    ) -> None:
        secrets = self._keyring.accepted_secrets
        if not secrets or not (field or self._keyring.requires_signatures):
            return
        if field is None:
            raise PeerRefusedError("expected a signature, got none")
        try:
            head = self._checked(field, secrets, method, path, covered)
        except PeerRefusedError:
            if not self._keyring.requires_signatures:
                return
            # Or signed by a secret that came after the one known here.
            self._keyring.suspect_outdated()
            raise
        if (
            at_most_once
            and head[_HEAD_BYTES:] != self._start_ids.own[:_MEANT_BYTES]
        ):
            raise PeerStaleError("expected an attempt for this process")
        if not self._replays.add(head[:START_ID_BYTES], _number(head)):
            raise PeerReplayedError("expected a new request, got a known one")

    def refusal_headers(self) -> Headers:
        if self._keyring.signing_secret is None:
            return ()
        return ((START_FIELD, self._start_ids.own.hex()),)

    def _checked(
        self,
        field: str,
        secrets: tuple[bytes, ...],
        method: str,
        path: str,
        covered: bytes,
    ) -> bytes:
        """Returns what precedes the tag in `field`.

        Raises:
          PeerRefusedError: the tag is not by one of `secrets`.
        """
        signed = _unpacked(field)
        head, tag = signed[:-REQUEST_TAG_BYTES], signed[-REQUEST_TAG_BYTES:]
        for secret in secrets:
            good = _request_tag(secret, self._own, method, path, head, covered)
            if hmac.compare_digest(tag, good):
                return head
        raise PeerRefusedError("expected a signature by the fleet's secret")


class FleetDatagramAuthenticator(DatagramAuthenticator):
    """Signs datagrams, and lets through those that are signed.

    Attributes:
      refused: datagrams refused, by reason.
    """

    def __init__(
        self, keyring: Keyring, start_ids: StartIds, own: Address, clock: Clock
    ) -> None:
        """Makes a guard.

        Args:
          keyring: the secrets that count.
          start_ids: takes the starts of those who send.
          own: where other nodes reach this one.
          clock: holds back lines that come again.
        """
        self._keyring = keyring
        self._start_ids = start_ids
        self._own = _packed(own)
        self._log = PartLogger("peers", clock)
        self._number = 0
        self._replays = ReplayGuard(_DATAGRAM_WINDOW)
        self.refused_by_reason = {"unsigned": 0, "forged": 0, "replayed": 0}

    def sign(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterator[tuple[bytes, Address]]:
        secret = self._keyring.signing_secret
        if secret is None:
            for peer in peers:
                yield datagram, peer
            return
        self._number += 1
        head = (
            bytes((datagram[0] | SIGNED,))
            + self._start_ids.own
            + self._number.to_bytes(_NUMBER_BYTES, "big")
        )
        data = datagram[1:]
        shared = _datagram_hash(secret, head, data)
        for peer in peers:
            hashed = shared.copy()
            hashed.update(_packed(peer))
            yield head + hashed.digest() + data, peer

    def verify(self, datagram: bytes, sender: Address) -> bytes | None:
        if not datagram or not datagram[0] & SIGNED:
            if datagram and self._keyring.requires_signatures:
                self._refuse("unsigned", sender)
                return None
            return datagram
        data_at = 1 + _HEAD_BYTES + DATAGRAM_TAG_BYTES
        head, data = datagram[: 1 + _HEAD_BYTES], datagram[data_at:]
        plain = bytes((head[0] & ~SIGNED,)) + data
        secrets = self._keyring.accepted_secrets
        if not secrets:
            return plain
        tag = datagram[1 + _HEAD_BYTES : data_at]
        if not self._is_good(secrets, head, data, tag):
            if not self._keyring.requires_signatures:
                return plain
            # As with a request.
            self._keyring.suspect_outdated()
            self._refuse("forged", sender)
            return None
        start = head[1 : 1 + START_ID_BYTES]
        if not self._replays.add(start, _number(head[1:])):
            self._refuse("replayed", sender)
            return None
        self._start_ids.update(sender, start)
        return plain

    def _is_good(
        self, secrets: tuple[bytes, ...], head: bytes, data: bytes, tag: bytes
    ) -> bool:
        for secret in secrets:
            hashed = _datagram_hash(secret, head, data)
            hashed.update(self._own)
            if hmac.compare_digest(tag, hashed.digest()):
                return True
        return False

    def _refuse(self, reason: str, sender: Address) -> None:
        self.refused_by_reason[reason] += 1
        self._log.warning(
            f"Refuses datagrams ({reason}).",
            sender=str(sender),
            refused=self.refused_by_reason[reason],
        )


def _number(head: bytes) -> int:
    return int.from_bytes(head[START_ID_BYTES:_HEAD_BYTES], "big")


@functools.lru_cache(maxsize=_MAX_STARTS)
def _packed(address: Address) -> bytes:
    text = f"{address.host}:{address.port}".encode()
    return text.ljust(_ADDRESS_BYTES, b"\0")


@functools.lru_cache(maxsize=8)
def _keyed(secret: bytes, tag_bytes: int, person: bytes) -> hashlib.blake2b:
    """Returns a hash to copy: taking the key in costs as much as a message."""
    return hashlib.blake2b(key=secret, digest_size=tag_bytes, person=person)


def _datagram_hash(secret: bytes, head: bytes, data: bytes) -> hashlib.blake2b:
    hashed = _keyed(secret, DATAGRAM_TAG_BYTES, _DATAGRAM).copy()
    hashed.update(head + data)
    return hashed


def _request_tag(
    secret: bytes,
    to: Address,
    method: str,
    path: str,
    head: bytes,
    covered: bytes,
) -> bytes:
    line = f"{method}\n{path}\n".encode("utf-8", "surrogateescape")
    hashed = _keyed(secret, REQUEST_TAG_BYTES, _REQUEST).copy()
    hashed.update(b"".join((line, _packed(to), head, covered)))
    return hashed.digest()


def _unpacked(field: str) -> bytes:
    """Returns the bytes in `AUTH_FIELD`.

    Raises:
      PeerRefusedError: they cannot be read.
    """
    if len(field) != _FIELD_CHARS or not field.isascii():
        raise PeerRefusedError("expected a signature that can be read")
    try:
        return base64.urlsafe_b64decode(field)
    except ValueError as exc:
        raise PeerRefusedError("expected a signature in base64") from exc
