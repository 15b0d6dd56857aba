"""What signing between nodes costs, as a ratio to what is signed.

    python -m bench.peer_security [--messages 20000] [--rounds 5]

Told is processor time, the lowest of the rounds, of three pairs measured by
turns in one process: a load datagram sent to others and read there by two
sockets over loopback, and signing and checking one forwarded attempt beside
what a bare forwarder takes for a request (`bench.forwarder`, in the same run).
"""

import argparse
import asyncio
import time

import uvloop

from bench.forwarder import measured
from radishwind.core.clock import SystemClock
from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.loads.load_message import decode
from radishwind.loads.load_message import encode
from radishwind.loads.load_message import LoadMessage
from radishwind.peers.fleet_security import FleetDatagramAuthenticator
from radishwind.peers.fleet_security import FleetSigner
from radishwind.peers.fleet_security import FleetVerifier
from radishwind.peers.fleet_security import StartIds
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_socket import Channel
from radishwind.peers.peer_socket import PeerSocket
from radishwind.routing.chooser import LoadReport
from radishwind.store.position import StorePosition

_ATTEMPT = (
    b'["library-entry-1-00000123","library-7","library",true,1180,'
    b'4503599627370496,"10.1.0.41",0,false,480,1,120,0.125,"r-view","ward-7"]'
)
_LOAD = LoadMessage(
    "library-7", 3_000_000_000, 70_000, LoadReport(5, 3, 1, 98.5)
)

#: Datagrams on their way at once, so that no buffer overflows.
_AT_ONCE = 50


class _Node:
    """What signs and checks at one address."""

    def __init__(self, own: Address, number: int) -> None:
        clock = SystemClock()
        self.own = own
        keyring = Keyring(clock)
        keyring.update_secret(b"s" * 32, StorePosition(0, 1))
        keyring.set_has_accounts(True, with_grace=False)
        self.start_ids = StartIds(number.to_bytes(4, "big"))
        self.signer = FleetSigner(keyring, self.start_ids)
        self.verifier = FleetVerifier(keyring, self.start_ids, own)
        self.authenticator = FleetDatagramAuthenticator(
            keyring, self.start_ids, own, clock
        )


def main() -> None:
    """Measures and prints a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--messages", type=int, default=20_000)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    plain, signed = uvloop.run(_datagrams(args.messages, args.rounds))
    bare = min(
        measured(HttpLibrary.HTTPTOOLS, args.messages, 16).request_us
        for _ in range(args.rounds)
    )
    attempt = min(_attempts(args.messages) for _ in range(args.rounds))
    print("| what | without (us) | signing adds (us) | part |")
    print("|---|---|---|---|")
    for what, without, more in (
        ("load datagram, sent and read", plain, signed - plain),
        ("forwarded attempt, both nodes", 2 * bare, attempt),
    ):
        print(f"| {what} | {without:.1f} | {more:.1f} | {more / without:.3f} |")


def _attempts(count: int) -> float:
    """Returns what signing and checking one attempt takes (us)."""
    here, there = _nodes()
    here.start_ids.update(there.own, there.start_ids.own)
    began = time.process_time()
    for _ in range(count):
        field = here.signer.sign(there.own, "GET", "/view/1", _ATTEMPT)
        there.verifier.verify(field, "GET", "/view/1", _ATTEMPT)
    return (time.process_time() - began) / count * 1e6


async def _datagrams(count: int, rounds: int) -> tuple[float, float]:
    """Returns what a datagram takes without and with a signature (us)."""
    plain, signed = [], []
    for _ in range(rounds):
        plain.append(await _exchanged(count, guarded=False))
        signed.append(await _exchanged(count, guarded=True))
    return min(plain), min(signed)


async def _exchanged(count: int, *, guarded: bool) -> float:
    here, there = _nodes()
    sender = PeerSocket(here.authenticator if guarded else None)
    receiver = PeerSocket(there.authenticator if guarded else None)
    receiver.add_handler(
        Channel.LOADS, lambda data, _: decode(data) is not None
    )
    await sender.start(here.own)
    await receiver.start(there.own)
    began = time.process_time()
    for sent in range(0, count, _AT_ONCE):
        for _ in range(_AT_ONCE):
            sender.send(Channel.LOADS, encode(_LOAD), (there.own,))
        while receiver.received_count < sent + _AT_ONCE:  # noqa: ASYNC110
            await asyncio.sleep(0)
    spent_s = time.process_time() - began
    sender.close()
    receiver.close()
    return spent_s / count * 1e6


def _nodes() -> tuple[_Node, _Node]:
    return (
        _Node(Address("127.0.0.1", 17_611), 1),
        _Node(Address("127.0.0.1", 17_612), 2),
    )


if __name__ == "__main__":
    main()
