"""Odd datagrams and calls at the listeners of a node for other nodes."""

import json
import random

import msgspec

from radishwind.membership.envelope import encode_envelope
from radishwind.membership.envelope import Envelope
from radishwind.membership.messages import Push
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor
from radishwind.peers.peer_socket import Channel
from radishwind.standins.odd_records import make_odd_texts
from radishwind.standins.odd_records import nested_arrays
from radishwind.standins.odd_records import OddContent

#: Control paths of both programs; each knows only some of them.
CONTROL_PATHS = tuple(
    f"/radishwind/v1/{name}"
    for name in ("gossip", "leaving", "routes", "loads", "config", "burn", "")
)

#: Topics of the rumors of both programs.
RUMOR_TOPICS = (
    "config",
    "emptied",
    "era",
    "habits",
    "leaving",
    "peer-secret",
    "quarantine",
    "routes",
    "stated-limit",
    "odd",
)

#: Values of rumors; a longer one makes the whole message malformed.
_RUMOR_VALUES = (
    "",
    "[" * 512,
    "[" * 256 + "]" * 256,
    '{"a":' * 80 + "1" + "}" * 80,
    "1" + "0" * 500,
    "1e400",
    "-1",
    "null",
    '"\\ud800"',
    "{}",
    "[[[]]]",
    "not JSON",
)

#: Addresses of members that a record may state but no datagram reaches.
_MEMBER_ADDRESSES = ("node.example:7600", "[::1]:7600", "a..b:1", "::1:1")

#: Levels of nested msgpack that a datagram has room for.
_MSGPACK_LEVELS = (1_000, 60_000)

#: Life of an odd rumor (ms).
_RUMOR_TTL_MS = 5_000


def make_odd_datagrams(
    rng: random.Random, service: str, domain: str
) -> list[OddContent]:
    """Returns odd datagrams for each channel of a peer listener.

    Args:
      rng: source of the variants.
      service: service that odd members state.
      domain: failure domain that odd members state.
    """
    payloads = [
        OddContent("empty", b""),
        OddContent("random", rng.randbytes(rng.randrange(1, 1_200))),
        OddContent("json", nested_arrays(1_000)),
        OddContent("number", msgspec.msgpack.encode([2**64 - 1] * 20)),
        OddContent("surrogate", b"\x98" + b"\xa3\xed\xa0\x80" * 8),
        *(
            OddContent(f"nested-{levels}", b"\x91" * levels + b"\xc0")
            for levels in _MSGPACK_LEVELS
        ),
        *(
            OddContent(f"nested-field-{levels}", b"\x94" + b"\x91" * levels)
            for levels in _MSGPACK_LEVELS
        ),
    ]
    return [
        OddContent("no channel", b""),
        OddContent("unknown channel", b"\xff" + rng.randbytes(40)),
        *(
            OddContent(f"{channel.name} {p.name}", bytes((channel,)) + p.data)
            for channel in Channel
            for p in payloads
        ),
        *make_odd_rumors(),
        *_make_odd_members(service, domain),
    ]


def make_odd_rumors() -> list[OddContent]:
    """Returns a datagram for each topic and odd value of a rumor."""
    return [
        _make_push(
            f"rumor {topic} {value[:12]}",
            Push(
                "odd",
                0,
                (),
                (Rumor(topic, f"odd-{number}", 1, value, _RUMOR_TTL_MS),),
            ),
        )
        for topic in RUMOR_TOPICS
        for number, value in enumerate(_RUMOR_VALUES)
    ]


def _make_odd_members(service: str, domain: str) -> list[OddContent]:
    return [
        _make_push(
            f"member at {address}",
            Push(
                "odd",
                0,
                (MemberRecord(f"odd-{number}", service, domain, address, 1),),
            ),
        )
        for number, address in enumerate(_MEMBER_ADDRESSES)
    ]


def _make_push(name: str, push: Push) -> OddContent:
    payload = encode_envelope(Envelope(0, False, push))
    return OddContent(name, bytes((Channel.GOSSIP,)) + payload)


def make_odd_bodies(rng: random.Random) -> list[OddContent]:
    """Returns odd bodies of calls at control paths."""
    good = {"key": "k" * 300, "process": "i-1@1", "version": 1}
    return [
        *make_odd_texts(rng, json.dumps(good).encode()),
        OddContent("long-object", json.dumps(good).encode()),
        OddContent("long-key", b"k" * 300 + b"@1"),
        OddContent("huge-start", b"i-1@" + b"9" * 150),
        OddContent("array", b'["push","odd",0,[],[]]'),
        OddContent(
            "member",
            b'["push","odd",0,[["odd","s","a","[::1]:1",1]],[]]',
        ),
        OddContent("number", b'["ping","odd",1' + b"0" * 6_000 + b"]"),
        OddContent("msgpack", b"\x91" * 10_000),
    ]
