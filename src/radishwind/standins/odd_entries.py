"""Odd entries of the stores, below each prefix that nodes read."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from radishwind.claims.claim_record import CLAIM_PREFIX
from radishwind.config.records import CHANGES_PREFIX
from radishwind.config.records import MANIFESTS_PREFIX
from radishwind.config.records import PARTS_PREFIX
from radishwind.config.records import ROOT_KEY
from radishwind.membership.contact_records import CONTACTS_KEY_PREFIX
from radishwind.sidecar.secret_manager import KEY as SECRET_KEY
from radishwind.sidecar.service_profile import KEY_PREFIX as PROFILES_PREFIX
from radishwind.standins.odd_records import make_addressed_documents
from radishwind.standins.odd_records import make_odd_documents
from radishwind.standins.odd_records import make_odd_values
from radishwind.standins.odd_records import MAX_KEY_BYTES
from radishwind.standins.odd_records import OddContent
from radishwind.target.leaving_records_reader import PREFIX as LEAVING_PREFIX

#: Prefixes of the platform's store whose keys alone carry something.
KEYED_PREFIXES = (LEAVING_PREFIX, "op/evacuate/", "op/")

#: Ends of keys that no node and no operator writes.
ODD_KEY_ENDS = (
    "",
    "/",
    "../../op/config",
    "a b",
    "a%2Fb?c=d&e#f",
    "@@",
    "i-1@" + "9" * 100,
    "i-1@\u00b2",
    "i-1@-1",
    "\u00e9\U0001f600",
    "\u0000\r\n",
    "k" * MAX_KEY_BYTES,
)

#: As these, but no text: only stores whose keys are JSON can hold them.
SURROGATE_KEY_END = "\ud800"


@dataclasses.dataclass(frozen=True, slots=True)
class OddEntry:
    """An odd entry of a store.

    Attributes:
      name: what is odd about it.
      key: the key.
      value: the value.
    """

    name: str
    key: str
    value: bytes


def make_platform_entries(
    rng: random.Random,
    domains: Sequence[str],
    services: Sequence[str],
    now_ms: int,
) -> list[OddEntry]:
    """Returns odd entries below each prefix of the platform's store.

    Args:
      rng: source of the variants.
      domains: names of the failure domains.
      services: names of the services.
      now_ms: wall-clock time (ms since the epoch, UTC).
    """
    profile = {"part": 0.5, "slower": 2.0, "period-s": 1.5}
    profile_keys = [PROFILES_PREFIX + name for name in (*services, "odd")]
    return [
        *_make_contact_entries(rng, domains, now_ms),
        *_pair([SECRET_KEY], make_odd_documents(rng, {"secret": "b2Rk"})),
        *_pair(profile_keys, make_odd_documents(rng, profile)),
        *make_odd_keys(
            rng,
            (CONTACTS_KEY_PREFIX, PROFILES_PREFIX, *KEYED_PREFIXES),
            (*ODD_KEY_ENDS, SURROGATE_KEY_END),
        ),
    ]


def make_etcd_entries(
    rng: random.Random,
    domains: Sequence[str],
    parts: Mapping[str, Mapping[str, Any]],
    now_ms: int,
) -> list[OddEntry]:
    """Returns odd entries below each prefix that the library's node reads.

    Args:
      rng: source of the variants.
      domains: names of the failure domains.
      parts: the good entries of the configuration and of claims, by key.
      now_ms: wall-clock time (ms since the epoch, UTC).
    """
    return [
        *_make_contact_entries(rng, domains, now_ms),
        *(
            entry
            for key, good in parts.items()
            for entry in _pair([key], make_odd_documents(rng, good))
        ),
        *make_odd_keys(
            rng,
            (
                CONTACTS_KEY_PREFIX,
                CLAIM_PREFIX,
                CHANGES_PREFIX,
                MANIFESTS_PREFIX,
                PARTS_PREFIX,
                ROOT_KEY,
            ),
            ODD_KEY_ENDS[1:],
        ),
    ]


def _make_contact_entries(
    rng: random.Random, domains: Sequence[str], now_ms: int
) -> list[OddEntry]:
    keys = [CONTACTS_KEY_PREFIX + name for name in (*domains, "odd")]
    good = {"contacts": [["127.0.0.1:9", now_ms]]}
    addressed = make_addressed_documents(
        lambda address: {"contacts": [["127.0.0.1:9", 1], [address, now_ms]]}
    )
    return _pair(keys, [*make_odd_documents(rng, good), *addressed])


def _pair(
    keys: Sequence[str], contents: Sequence[OddContent]
) -> list[OddEntry]:
    return [
        OddEntry(f"{key} {content.name}", key, content.data)
        for key in keys
        for content in contents
    ]


def make_odd_keys(
    rng: random.Random, prefixes: Sequence[str], ends: Sequence[str]
) -> list[OddEntry]:
    """Returns entries with odd keys below `prefixes`, with any odd value."""
    values = make_odd_values(rng)
    entries = []
    for prefix in prefixes:
        for end in ends:
            value = rng.choice(values)
            name = f"{prefix} key {end[:20]!r}, {value.name}"
            key = (prefix + end)[:MAX_KEY_BYTES]
            entries.append(OddEntry(name, key, value.data))
    return entries
