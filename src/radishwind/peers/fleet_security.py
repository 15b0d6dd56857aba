"""Signs and checks messages between nodes by the secret of the fleet.

A message names the start of the process that sent it and a number that rises
with each of its messages, so that a message counts once at each receiver. A
request is also bound to the start of its receiver: what was meant for an
earlier process at the same address counts for nothing. No clock is involved.
"""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import hmac

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.http.types import header
from radishwind.http.types import Headers
from radishwind.http.types import Response
from radishwind.peers.datagrams import DatagramGuard
from radishwind.peers.keyring import Keyring
from radishwind.peers.replays import ReplayGuard
from radishwind.peers.signing import PeerRefusedError
from radishwind.peers.signing import PeerReplayedError
from radishwind.peers.signing import RequestSigner
from radishwind.peers.signing import RequestVerifier
from radishwind.telemetry.logs import PartLogger

#: Tells with a refusal which process refused.
START_FIELD = "Radishwind-Node-Start"

START_BYTES = 4
_NUMBER_BYTES = 5
_HEAD_BYTES = START_BYTES + _NUMBER_BYTES

#: A request's tag (bytes).
REQUEST_TAG_BYTES = 12

#: A datagram's tag (bytes). Nobody can check a guess but by sending it, and
#: 2**63 datagrams in the mean are more than a link carries.
DATAGRAM_TAG_BYTES = 8

#: Set in the first byte of a signed datagram, beside its channel.
SIGNED = 0x80

#: Starts of other nodes remembered.
_MAX_STARTS = 4_096

_REQUEST = b"radishwind-req"
_DATAGRAM = b"radishwind-dgram"

_UNKNOWN_START = bytes(START_BYTES)
_FIELD_CHARS = 28

#: Addresses are padded to this length (bytes), so that none continues what
#: stands before it.
_ADDRESS_BYTES = 64


class Starts:
    """Which process is at the address of each other node, as last told.

    Attributes:
      own: of this process.
    """

    def __init__(self, own: bytes) -> None:
        self.own = own
        self._known: dict[Address, bytes] = {}

    def of(self, address: Address) -> bytes:
        """Returns the start of the process at `address`; zeros if unknown."""
        return self._known.get(address, _UNKNOWN_START)

    def note(self, address: Address, start: bytes) -> bool:
        """Takes the start of the process there; returns whether it is new."""
        if self._known.get(address) == start:
            return False
        if len(self._known) >= _MAX_STARTS and address not in self._known:
            del self._known[next(iter(self._known))]
        self._known[address] = start
        return True


class FleetSigner(RequestSigner):
    """Signs requests for the process that is believed to be there."""

    def __init__(self, keyring: Keyring, starts: Starts) -> None:
        self._keyring = keyring
        self._starts = starts
        self._number = 0

    def sign(
        self, to: Address, method: str, path: str, covered: bytes
    ) -> str | None:
        secret = self._keyring.signing
        if secret is None:
            return None
        self._number += 1
        head = self._starts.own + self._number.to_bytes(_NUMBER_BYTES, "big")
        tag = _request_tag(
            secret, to, self._starts.of(to), method, path, head, covered
        )
        return base64.urlsafe_b64encode(head + tag).decode()

    def may_sign_anew(self, to: Address, answer: Response) -> bool:
        told = header(answer.headers, START_FIELD.lower())
        if told is None or self._keyring.signing is None:
            return False
        try:
            start = bytes.fromhex(told)
        except ValueError:
            return False
        return len(start) == START_BYTES and self._starts.note(to, start)


class FleetVerifier(RequestVerifier):
    """Checks requests to this process, once each."""

    def __init__(self, keyring: Keyring, starts: Starts, own: Address) -> None:
        """Makes a verifier.

        Args:
          keyring: the secrets that count.
          starts: knows the start of this process.
          own: where other nodes reach this one.
        """
        self._keyring = keyring
        self._starts = starts
        self._own = own
        self._replays = ReplayGuard()

    def verify(
        self, field: str | None, method: str, path: str, covered: bytes
    ) -> None:
        secrets = self._keyring.accepted
        if not secrets or not (field or self._keyring.requires):
            return
        if field is None:
            raise PeerRefusedError("expected a signature, got none")
        try:
            signed = _unpacked(field)
            self._check(signed, secrets, method, path, covered)
        except PeerReplayedError:
            raise
        except PeerRefusedError:
            # A peer may not know yet which process this is.
            if self._keyring.requires:
                raise

    def refusal_fields(self) -> Headers:
        if self._keyring.signing is None:
            return ()
        return ((START_FIELD, self._starts.own.hex()),)

    def _check(
        self,
        signed: bytes,
        secrets: tuple[bytes, ...],
        method: str,
        path: str,
        covered: bytes,
    ) -> None:
        head, tag = signed[:_HEAD_BYTES], signed[_HEAD_BYTES:]
        own, start = self._own, self._starts.own
        good = any(
            hmac.compare_digest(
                tag,
                _request_tag(secret, own, start, method, path, head, covered),
            )
            for secret in secrets
        )
        if not good:
            raise PeerRefusedError("expected a signature by the fleet's secret")
        if not self._replays.add(head[:START_BYTES], _number(head)):
            raise PeerReplayedError("expected a new request, got a known one")


class FleetDatagrams(DatagramGuard):
    """Signs datagrams, and lets through those that are signed.

    Attributes:
      refused: datagrams refused, by reason.
    """

    def __init__(
        self, keyring: Keyring, starts: Starts, own: Address, clock: Clock
    ) -> None:
        """Makes a guard.

        Args:
          keyring: the secrets that count.
          starts: takes the starts of those who send.
          own: where other nodes reach this one.
          clock: holds back lines that come again.
        """
        self._keyring = keyring
        self._starts = starts
        self._own = _packed(own)
        self._log = PartLogger("peers", clock)
        self._number = 0
        self._replays = ReplayGuard()
        self.refused = {"unsigned": 0, "forged": 0, "replayed": 0}

    def outgoing(
        self, datagram: bytes, peers: Iterable[Address]
    ) -> Iterator[tuple[bytes, Address]]:
        secret = self._keyring.signing
        if secret is None:
            for peer in peers:
                yield datagram, peer
            return
        self._number += 1
        head = (
            bytes((datagram[0] | SIGNED,))
            + self._starts.own
            + self._number.to_bytes(_NUMBER_BYTES, "big")
        )
        data = datagram[1:]
        shared = _datagram_hash(secret, head, data)
        for peer in peers:
            hashed = shared.copy()
            hashed.update(_packed(peer))
            yield head + hashed.digest() + data, peer

    def incoming(self, datagram: bytes, sender: Address) -> bytes | None:
        if not datagram or not datagram[0] & SIGNED:
            if datagram and self._keyring.requires:
                self._refuse("unsigned", sender)
                return None
            return datagram
        data_at = 1 + _HEAD_BYTES + DATAGRAM_TAG_BYTES
        head, data = datagram[: 1 + _HEAD_BYTES], datagram[data_at:]
        plain = bytes((head[0] & ~SIGNED,)) + data
        secrets = self._keyring.accepted
        if not secrets:
            return plain
        tag = datagram[1 + _HEAD_BYTES : data_at]
        if not self._is_good(secrets, head, data, tag):
            if not self._keyring.requires:
                return plain
            # Or signed by a secret that came after the one known here.
            self._keyring.doubt()
            self._refuse("forged", sender)
            return None
        start = head[1 : 1 + START_BYTES]
        if not self._replays.add(start, _number(head[1:])):
            self._refuse("replayed", sender)
            return None
        self._starts.note(sender, start)
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
        self.refused[reason] += 1
        self._log.warning(
            f"Refuses datagrams ({reason}).",
            sender=str(sender),
            refused=self.refused[reason],
        )


def _number(head: bytes) -> int:
    return int.from_bytes(head[START_BYTES:_HEAD_BYTES], "big")


def _packed(address: Address) -> bytes:
    text = f"{address.host}:{address.port}".encode()
    return text.ljust(_ADDRESS_BYTES, b"\0")


def _datagram_hash(secret: bytes, head: bytes, data: bytes) -> hashlib.blake2b:
    hashed = hashlib.blake2b(
        head, key=secret, digest_size=DATAGRAM_TAG_BYTES, person=_DATAGRAM
    )
    hashed.update(data)
    return hashed


def _request_tag(
    secret: bytes,
    to: Address,
    start: bytes,
    method: str,
    path: str,
    head: bytes,
    covered: bytes,
) -> bytes:
    line = f"{method}\n{path}\n{to.host}:{to.port}\n"
    hashed = hashlib.blake2b(
        line.encode("utf-8", "surrogateescape"),
        key=secret,
        digest_size=REQUEST_TAG_BYTES,
        person=_REQUEST,
    )
    hashed.update(start + head)
    hashed.update(covered)
    return hashed.digest()


def _unpacked(field: str) -> bytes:
    """Returns the head and the tag in `AUTH_FIELD`.

    Raises:
      PeerRefusedError: they cannot be read.
    """
    if len(field) != _FIELD_CHARS or not field.isascii():
        raise PeerRefusedError("expected a signature that can be read")
    try:
        return base64.urlsafe_b64decode(field)
    except ValueError as exc:
        raise PeerRefusedError("expected a signature in base64") from exc
