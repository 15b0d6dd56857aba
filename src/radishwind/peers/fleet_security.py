"""Signs and verifies messages between nodes with the fleet secret.

A message carries the start ID of the sending process and an increasing sequence
number, so that each receiver accepts it at most once. A request also carries
the start ID of the process that it is addressed to: an attempt addressed to an
earlier process at the same address is not run. No clock is needed.
"""

import base64
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import hashlib
import hmac

from radishwind.core.clock import Clock
from radishwind.decoding import decode_base64
from radishwind.http.types import Address
from radishwind.http.types import get_header
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
from radishwind.telemetry.part_logger import PartLogger

#: Header field of a refusal with the start ID of the process that refused.
START_FIELD = "Radishwind-Node-Start"

START_ID_BYTES = 4
_SEQUENCE_BYTES = 5
_HEAD_BYTES = START_ID_BYTES + _SEQUENCE_BYTES

#: Length of the prefix of the receiver's start ID in a request (bytes).
_RECEIVER_ID_BYTES = 3

#: Length of the authentication tag of a request (bytes).
REQUEST_TAG_BYTES = 12

#: Length of the authentication tag of a datagram (bytes). A guessed tag can be
#: tested only by sending it, and a link cannot carry the 2**63 datagrams that
#: are needed on average.
DATAGRAM_TAG_BYTES = 8

#: Sizes of the replay windows, in sequence numbers. Requests to all nodes share
#: one sequence, and a request may wait half a second for its connection. A
#: datagram that is sent to many peers has one number, and datagrams are
#: reordered only by differing delays in the network.
_REQUEST_WINDOW = 2_048
_DATAGRAM_WINDOW = 256

#: Flag of signed datagrams in the first byte, which also holds the channel.
SIGNED = 0x80

#: Maximum number of other nodes whose start IDs are stored.
_MAX_PEERS = 4_096

_REQUEST_PERSON = b"radishwind-req"
_DATAGRAM_PERSON = b"radishwind-dgram"

_UNKNOWN_START = bytes(START_ID_BYTES)
_FIELD_CHARS = 32

#: Addresses are padded to this length (bytes) before hashing, so that the bytes
#: of an address cannot be taken for those of the preceding field.
_ADDRESS_BYTES = 64


class StartIds:
    """Start IDs: which process was last seen at the address of each node.

    A start ID is chosen at random when a process starts.

    Attributes:
      own: start ID of this process.
    """

    def __init__(self, own: bytes) -> None:
        self.own = own
        self._known: dict[Address, bytes] = {}

    def get(self, address: Address) -> bytes:
        """Returns the start ID known for `address`; zeros if unknown."""
        return self._known.get(address, _UNKNOWN_START)

    def update(self, address: Address, start_id: bytes) -> bool:
        """Records the start ID at `address`; returns whether it changed."""
        if self._known.get(address) == start_id:
            return False
        if len(self._known) >= _MAX_PEERS and address not in self._known:
            del self._known[next(iter(self._known))]
        self._known[address] = start_id
        return True


class FleetSigner(RequestSigner):
    """Signs requests for the process last seen at the receiver's address."""

    def __init__(self, keyring: Keyring, start_ids: StartIds) -> None:
        self._keyring = keyring
        self._start_ids = start_ids
        self._sequence = 0

    def sign(
        self, to: Address, method: str, path: str, covered: bytes
    ) -> str | None:
        secret = self._keyring.signing_secret
        if secret is None:
            return None
        self._sequence += 1
        head = (
            self._start_ids.own
            + self._sequence.to_bytes(_SEQUENCE_BYTES, "big")
            + self._start_ids.get(to)[:_RECEIVER_ID_BYTES]
        )
        tag = _request_tag(secret, to, method, path, head, covered)
        return base64.urlsafe_b64encode(head + tag).decode()

    def should_sign_again(self, to: Address, response: Response) -> bool:
        start_id_hex = get_header(response.headers, START_FIELD.lower())
        if start_id_hex is None or self._keyring.signing_secret is None:
            return False
        try:
            start_id = bytes.fromhex(start_id_hex)
        except ValueError:
            return False
        return len(start_id) == START_ID_BYTES and self._start_ids.update(
            to, start_id
        )


class FleetVerifier(RequestVerifier):
    """Verifies requests to this process and accepts each one at most once."""

    def __init__(
        self, keyring: Keyring, start_ids: StartIds, own: Address
    ) -> None:
        """Creates a verifier.

        Args:
          keyring: the accepted secrets.
          start_ids: holds the start ID of this process.
          own: address at which other nodes reach this one.
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
            head = self._verified_head(field, secrets, method, path, covered)
        except PeerRefusedError:
            if not self._keyring.requires_signatures:
                return
            # The signature may be made with a secret newer than the known ones.
            self._keyring.suspect_outdated()
            raise
        if (
            at_most_once
            and head[_HEAD_BYTES:] != self._start_ids.own[:_RECEIVER_ID_BYTES]
        ):
            raise PeerStaleError("expected an attempt for this process")
        if not self._replays.add(head[:START_ID_BYTES], _sequence(head)):
            raise PeerReplayedError("expected a new request, got a known one")

    def refusal_headers(self) -> Headers:
        if self._keyring.signing_secret is None:
            return ()
        return ((START_FIELD, self._start_ids.own.hex()),)

    def _verified_head(
        self,
        field: str,
        secrets: tuple[bytes, ...],
        method: str,
        path: str,
        covered: bytes,
    ) -> bytes:
        """Verifies `field`; returns the bytes that precede its tag.

        Raises:
          PeerRefusedError: the tag was made with none of `secrets`.
        """
        signed = _decode_field(field)
        head, tag = signed[:-REQUEST_TAG_BYTES], signed[-REQUEST_TAG_BYTES:]
        for secret in secrets:
            expected = _request_tag(
                secret, self._own, method, path, head, covered
            )
            if hmac.compare_digest(tag, expected):
                return head
        raise PeerRefusedError("expected a signature by the fleet's secret")


class FleetDatagramAuthenticator(DatagramAuthenticator):
    """Signs and verifies datagrams with the fleet secret.

    Attributes:
      refused_by_reason: number of refused datagrams by reason.
    """

    def __init__(
        self, keyring: Keyring, start_ids: StartIds, own: Address, clock: Clock
    ) -> None:
        """Creates an authenticator.

        Args:
          keyring: the secret to sign with and the accepted secrets.
          start_ids: records the start IDs of the senders.
          own: address at which other nodes reach this one.
          clock: limits the rate of log lines.
        """
        self._keyring = keyring
        self._start_ids = start_ids
        self._own = _encode_address(own)
        self._log = PartLogger("peers", clock)
        self._sequence = 0
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
        self._sequence += 1
        head = (
            bytes((datagram[0] | SIGNED,))
            + self._start_ids.own
            + self._sequence.to_bytes(_SEQUENCE_BYTES, "big")
        )
        data = datagram[1:]
        prefix_hash = _datagram_hash(secret, head, data)
        for peer in peers:
            hasher = prefix_hash.copy()
            hasher.update(_encode_address(peer))
            yield head + hasher.digest() + data, peer

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
        if not self._is_signed(secrets, head, data, tag):
            if not self._keyring.requires_signatures:
                return plain
            # The signature may be made with a newer secret, see above.
            self._keyring.suspect_outdated()
            self._refuse("forged", sender)
            return None
        start_id = head[1 : 1 + START_ID_BYTES]
        if not self._replays.add(start_id, _sequence(head[1:])):
            self._refuse("replayed", sender)
            return None
        self._start_ids.update(sender, start_id)
        return plain

    def _is_signed(
        self, secrets: tuple[bytes, ...], head: bytes, data: bytes, tag: bytes
    ) -> bool:
        for secret in secrets:
            hasher = _datagram_hash(secret, head, data)
            hasher.update(self._own)
            if hmac.compare_digest(tag, hasher.digest()):
                return True
        return False

    def _refuse(self, reason: str, sender: Address) -> None:
        self.refused_by_reason[reason] += 1
        self._log.warning(
            f"Refuses datagrams ({reason}).",
            sender=str(sender),
            refused=self.refused_by_reason[reason],
        )


def _sequence(head: bytes) -> int:
    return int.from_bytes(head[START_ID_BYTES:_HEAD_BYTES], "big")


@functools.lru_cache(maxsize=_MAX_PEERS)
def _encode_address(address: Address) -> bytes:
    text = f"{address.host}:{address.port}".encode()
    return text.ljust(_ADDRESS_BYTES, b"\0")


@functools.lru_cache(maxsize=8)
def _keyed_hash(
    secret: bytes, tag_bytes: int, person: bytes
) -> hashlib.blake2b:
    """Returns a keyed hash to copy; keying it costs as much as a message."""
    return hashlib.blake2b(key=secret, digest_size=tag_bytes, person=person)


def _datagram_hash(secret: bytes, head: bytes, data: bytes) -> hashlib.blake2b:
    hasher = _keyed_hash(secret, DATAGRAM_TAG_BYTES, _DATAGRAM_PERSON).copy()
    hasher.update(head + data)
    return hasher


def _request_tag(
    secret: bytes,
    to: Address,
    method: str,
    path: str,
    head: bytes,
    covered: bytes,
) -> bytes:
    line = f"{method}\n{path}\n".encode("utf-8", "surrogateescape")
    hasher = _keyed_hash(secret, REQUEST_TAG_BYTES, _REQUEST_PERSON).copy()
    hasher.update(b"".join((line, _encode_address(to), head, covered)))
    return hasher.digest()


def _decode_field(field: str) -> bytes:
    """Decodes the value of `AUTH_FIELD`.

    Raises:
      PeerRefusedError: it is malformed.
    """
    if len(field) != _FIELD_CHARS or not field.isascii():
        raise PeerRefusedError("expected a signature of valid length")
    return decode_base64(
        field, "a signature in base64", PeerRefusedError, is_url_safe=True
    )
