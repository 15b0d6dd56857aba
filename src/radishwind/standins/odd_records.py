"""Odd content that other programs may leave where a node reads it, seeded.

The content is malformed, or sound but hard to decode: nested deeper than
parsers go, numbers beyond any type, text that is no text. A node must refuse
or ignore it and serve on.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import json
import random
from typing import Any

#: Levels of nested arrays or objects; the recursion of parsers ends in between.
NESTED_LEVELS = (1_000, 100_000)

#: Digits of huge numbers; Python converts texts of up to 4,300 digits.
NUMBER_DIGITS = (30, 400, 4_400, 6_000)

#: Maximum length of a key that the stores accept (bytes).
MAX_KEY_BYTES = 190

#: Addresses that are malformed, or that no datagram can be sent to.
ODD_ADDRESSES = (
    "a..b:7600",
    "x" * 300 + ":7600",
    "node.example:7600",
    "[::1]:7600",
    "127.0.0.1:0",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:1" + "0" * 400,
    "127.0.0.1:\u00b2",
    "\ud800:7600",
    "127.0.0.1",
    ":",
    "",
)

#: Fields without which a heartbeat is malformed.
_REQUIRED_HEARTBEAT_FIELDS = frozenset(
    ("service", "address", "slots", "state", "warmup-left-ms", "seq")
)

#: Stands for the raw text in documents until it is put in.
_MARK = "@raw@"


@dataclasses.dataclass(frozen=True, slots=True)
class OddContent:
    """Odd content.

    Attributes:
      name: what is odd about it.
      data: the content.
      is_sound: whether a tolerant reader may accept it.
    """

    name: str
    data: bytes
    is_sound: bool = False


def nested_arrays(levels: int) -> bytes:
    """Returns JSON of nested arrays, which is also a value of TOML."""
    return b"[" * levels + b"]" * levels


def nested_objects(levels: int) -> bytes:
    """Returns JSON of nested objects."""
    return b'{"a":' * levels + b"1" + b"}" * levels


def make_odd_values(rng: random.Random) -> list[OddContent]:
    """Returns JSON values of which few fit any field."""
    digits = "".join(rng.choices("123456789", k=max(NUMBER_DIGITS)))
    return [
        *(
            OddContent(f"{name}-{levels}", make(levels))
            for levels in NESTED_LEVELS
            for name, make in (
                ("arrays", nested_arrays),
                ("objects", nested_objects),
            )
        ),
        *(
            OddContent(f"number-{count}", digits[:count].encode())
            for count in NUMBER_DIGITS
        ),
        OddContent("1e400", b"1e400"),
        OddContent("negative", b"-%d" % rng.randrange(1, 1 << 62)),
        OddContent("null", b"null"),
        OddContent("true", b"true"),
        OddContent("array", b'[null,[],{},"",-1]'),
        OddContent("object", b'{"":{}}'),
        OddContent("surrogate", rb'"\ud800"'),
        OddContent("long-text", b'"' + b"x" * 5_000 + b'"'),
    ]


def with_unknown_field(data: bytes, raw: bytes) -> bytes:
    """Returns a JSON object with a further field `unknown` of value `raw`."""
    head, brace, rest = data.partition(b"{")
    comma = b"" if rest.lstrip().startswith(b"}") else b","
    return head + brace + b'"unknown":' + raw + comma + rest


def make_odd_texts(rng: random.Random, good: bytes) -> list[OddContent]:
    """Returns texts that are no JSON object, or not the one of `good`."""
    cut = rng.randrange(1, len(good))
    return [
        OddContent("empty", b""),
        OddContent("truncated", good[:cut]),
        OddContent("not-utf8", b"\xff\xfe" + good + b"\x80"),
        OddContent("not-utf8-text", b'{"unknown":"\xc3\x28\xed\xa0\x80"}'),
        OddContent("random", rng.randbytes(60)),
        OddContent("twice", good + good),
        OddContent("no-object", b"[1]"),
        *(
            OddContent(f"whole-{levels}", nested_arrays(levels))
            for levels in NESTED_LEVELS
        ),
        *(
            OddContent(
                f"unknown-{levels}",
                with_unknown_field(good, nested_objects(levels)),
                is_sound=True,
            )
            for levels in NESTED_LEVELS
        ),
        OddContent(
            "unknown-number",
            with_unknown_field(good, b"1" + b"0" * 6_000),
            is_sound=True,
        ),
    ]


def make_odd_documents(
    rng: random.Random, good: Mapping[str, Any]
) -> list[OddContent]:
    """Returns odd variants of the JSON object `good`, in each of its fields."""
    text = json.dumps(dict(good)).encode()
    documents = make_odd_texts(rng, text)
    for field in good:
        marked = json.dumps({**good, field: _MARK}).encode()
        head, _, rest = marked.partition(json.dumps(_MARK).encode())
        documents += [
            OddContent(f"{field}-{value.name}", head + value.data + rest)
            for value in make_odd_values(rng)
        ]
        repeated = json.dumps({field: None})[1:-1].encode()
        documents.append(
            OddContent(f"{field}-repeated", text[:-1] + b"," + repeated + b"}")
        )
    return documents


def make_addressed_documents(
    wrap: Callable[[str], Mapping[str, Any]],
) -> list[OddContent]:
    """Returns documents with each odd address, as `wrap` places it."""
    return [
        OddContent(f"address-{number}", json.dumps(wrap(address)).encode())
        for number, address in enumerate(ODD_ADDRESSES)
    ]


def make_odd_heartbeats(
    rng: random.Random, good: Mapping[str, Any]
) -> list[OddContent]:
    """Returns odd variants of a heartbeat; a node refuses all but sound ones.

    Args:
      rng: source of the variants.
      good: the heartbeat.
    """
    address = str(good["address"]).rpartition(":")[0]
    return [
        *(
            dataclasses.replace(
                variant, is_sound=_may_be_heartbeat(variant, good)
            )
            for variant in make_odd_documents(rng, good)
        ),
        *(
            OddContent(
                f"port-{port[:9]}",
                json.dumps({**good, "address": f"{address}:{port}"}).encode(),
            )
            for port in ("0", "99999", "-1", "1" + "0" * 400)
        ),
    ]


def _may_be_heartbeat(variant: OddContent, good: Mapping[str, Any]) -> bool:
    """Returns whether a node may accept a variant of a heartbeat."""
    field = next((f for f in good if variant.name.startswith(f + "-")), None)
    if field is None:
        return variant.is_sound
    kind = variant.name.removeprefix(field + "-")
    return field not in _REQUIRED_HEARTBEAT_FIELDS or (field, kind) in (
        ("service", "surrogate"),
        ("service", "long-text"),
        ("seq", "number-30"),
    )


def make_odd_settings(rng: random.Random, good: bytes) -> list[OddContent]:
    """Returns odd contents of a settings file.

    Args:
      rng: source of the variants.
      good: its good content.
    """
    cut = rng.randrange(1, max(2, len(good) // 2))
    return [
        OddContent("arrays", b"x = " + nested_arrays(5_000) + b"\n" + good),
        OddContent(
            "tables", b"x = " + b"{a=" * 5_000 + b"1" + b"}" * 5_000 + b"\n"
        ),
        OddContent("dotted", b"a." * 5_000 + b"a = 1\n" + good),
        OddContent("number", b"x = 1" + b"0" * 6_000 + b"\n" + good),
        OddContent("empty", b""),
        OddContent("truncated", good[:cut]),
        OddContent("not-utf8", b"# \xff\xfe\n" + good),
        OddContent("repeated", good + b"\n" + good),
        OddContent("random", rng.randbytes(300)),
    ]


def make_odd_response_fields() -> list[tuple[tuple[str, str], ...]]:
    """Returns odd header fields that a backend server states of itself."""
    values = ("1" + "0" * 400, "1e400", "nan", "-1", "\u00b2", "[" * 3_000)
    loads = (
        "",
        "1,2",
        "1,2,3,4,5",
        "-1,-1,-1,-1",
        ",".join(["9" * 400] * 4),
        "nan,inf,1e400,\u00b2",
        "0,0,0,0",
    )
    return [
        *((("Server-Load", load),) for load in loads),
        *((("Warmup-Ms", value),) for value in values),
        *((("Server-Limit", value),) for value in ("nan", "-1", "\u00b2", "[")),
        *((("X-Unknown", value),) for value in values),
        *((("Instance-Id", value),) for value in ("", "[" * 3_000, "\u00b2")),
        (("Server-Load", "0,0,6,100"), ("Server-Load", "\u00b2")),
    ]
