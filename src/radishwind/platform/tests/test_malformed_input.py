"""Decoders accept any input or reject it with a numbered error."""

import contextlib
import json

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.loads import load_message
from radishwind.membership import contact_records
from radishwind.membership import messages
from radishwind.peers.attempts import decode_attempt
from radishwind.peers.attempts import PeerMalformedError
from radishwind.platform import decode_caller_fields
from radishwind.platform import decode_routes
from radishwind.platform import decode_settings
from radishwind.platform import PlatformDialect
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.header_fields import SERVER_INCARNATION
from radishwind.platform.heartbeats import decode_heartbeat
from radishwind.routes import messages as route_messages
from radishwind.target.server_process import ServerProcess

NUMBERS = st.one_of(
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=True, allow_infinity=True),
)
JSON = st.recursive(
    st.one_of(st.none(), st.booleans(), NUMBERS, st.text(max_size=20)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(st.text(max_size=12), inner, max_size=4),
    ),
    max_leaves=12,
)
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:80",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "warmup-left-ms": 0,
    "seq": 4,
    "born": 1_700_000_000_000,
}
SETTINGS = """
node = "n"
ip = "127.0.0.1"
zone = "a"
service = "s"
app-addr = "127.0.0.1:9"
port-range = [7600, 7700]
heartbeat-ms = 1500
bounds = ["config-ms = 2000", "strict-revoke = true"]
[listen]
outbound = "127.0.0.1:1"
inbound = "127.0.0.1:2"
ready = "127.0.0.1:3"
control = "127.0.0.1:4"
[provider]
address = "127.0.0.1:5"
[limits]
link-mbps = 1.5
"""
ROUTES = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "h",
            "prefix": "/p/",
            "kind": "safe",
            "timeout-ms": 800,
            "aim-ms": 400,
            "priority": 1,
            "split": [{"service": "s", "weight": 90}],
            "attempts": 2,
        }
    ],
    "services": [{"name": "s", "health-path": "/h", "max-conns": 9}],
    "limits": {"idle-timeout-ms": 15000},
    "tenants": [
        {
            "name": "t",
            "api-keys": ["k"],
            "priority": 1,
            "rate-per-s": 5,
            "burst": 5,
        }
    ],
}


def mutations_of(valid):
    """Returns `valid` with some fields missing or of another type."""
    fields = st.sampled_from(sorted(valid))
    return st.builds(
        lambda missing, replaced: {
            **{k: v for k, v in valid.items() if k not in missing},
            **replaced,
        },
        st.sets(fields, max_size=2),
        st.dictionaries(fields, JSON, max_size=2),
    )


def as_bytes(values):
    return st.one_of(
        st.binary(max_size=200),
        values.map(lambda value: json.dumps(value).encode()),
        values.map(lambda value: json.dumps(value).encode()[:-1]),
    )


def decode_call(data, path="/-/Instances.Heartbeat/i-7"):
    return decode_heartbeat(Request("POST", path), data)


@settings(max_examples=300)
@given(as_bytes(st.one_of(JSON, mutations_of(HEARTBEAT))))
@example(json.dumps({**HEARTBEAT, "state": "asleep"}).encode())
@example(json.dumps({**HEARTBEAT, "born": 1.5}).encode())
@example(json.dumps({**HEARTBEAT, "slots": 10**30}).encode())
def test_decodes_or_rejects_heartbeats(data):
    try:
        heartbeat = decode_call(data)
    except PlatformMalformedError:
        return
    assert heartbeat.incarnation == "i-7"
    assert heartbeat.service
    assert heartbeat.slots >= 1
    assert 0 <= heartbeat.warmup_left_s <= 86_400
    assert heartbeat.started_ms >= 0


@pytest.mark.parametrize(
    "missing", sorted(set(HEARTBEAT) - {"zone", "version", "born"})
)
def test_rejects_heartbeats_without_a_required_field(missing):
    fields = {k: v for k, v in HEARTBEAT.items() if k != missing}

    with pytest.raises(PlatformMalformedError):
        decode_call(json.dumps(fields).encode())


@pytest.mark.parametrize("born", ["1700", 1.5, None, True, -3, 0])
def test_rejects_start_times_that_are_not_positive_integers(born):
    data = json.dumps({**HEARTBEAT, "born": born}).encode()

    if born is None:
        assert decode_call(data).started_ms == 0
        return
    with pytest.raises(PlatformMalformedError):
        decode_call(data)


def test_deregistration_may_carry_the_start_time():
    path = "/-/Instances.Deregister/i-7"

    assert decode_call(b'{"born":1700}', path).started_ms == 1700
    assert decode_call(b"", path).started_ms == 0


@given(
    as_bytes(st.one_of(JSON, mutations_of(HEARTBEAT))), st.text(max_size=200)
)
def test_decodes_or_rejects_deregistrations(data, name):
    try:
        heartbeat = decode_call(data, f"/-/Instances.Deregister/{name}")
    except PlatformMalformedError:
        return
    assert heartbeat.is_deregistered
    process = ServerProcess(heartbeat.incarnation, heartbeat.started_ms)
    assert ServerProcess.from_key(process.key) == process


@settings(max_examples=300)
@given(as_bytes(st.one_of(JSON, mutations_of(ROUTES))))
def test_decodes_or_rejects_configurations(data):
    try:
        cfg = decode_routes(data)
    except PlatformMalformedError:
        return
    assert all(route.weighted_services for route in cfg.routes)


@given(st.text(max_size=300))
@example("port-range = []")
def test_rejects_malformed_settings_files(text):
    with pytest.raises(PlatformMalformedError):
        decode_settings(text)


@settings(max_examples=300)
@given(
    st.one_of(
        st.text(max_size=40),
        st.lists(NUMBERS.map(str), max_size=5).map(",".join),
    )
)
@example("nan,1,2")
@example("1,inf,9,100")
@example("1,2,3,nan")
def test_decodes_or_ignores_load_reports(text):
    metadata = PlatformDialect().parse_health_response(
        Response(200, (("Server-Load", text),))
    )

    load = metadata.load
    if load is None:
        return
    assert min(load.in_flight, load.queued, load.slots) >= 0
    assert 0 < load.pace < 1e6


@given(st.lists(st.tuples(st.text(max_size=20), st.text(max_size=20))))
def test_decodes_or_rejects_caller_fields(fields):
    try:
        caller = decode_caller_fields(tuple(fields), "own")
    except RadishwindError:
        return
    assert caller.request_id


@given(as_bytes(JSON))
def test_decodes_or_rejects_messages_of_peers(data):
    for decode, refusal in (
        (messages.decode_message, messages.MessageError),
        (route_messages.decode, route_messages.FeedMalformedError),
        (lambda raw: decode_attempt(raw.decode("latin-1")), PeerMalformedError),
    ):
        with contextlib.suppress(refusal):
            decode(data)
    load_message.decode(data)
    addresses = contact_records.contact_addresses(
        contact_records.decode_contact_record(data)
    )
    assert all(isinstance(address, Address) for address in addresses)


@given(JSON)
def test_rejects_datagrams_of_another_structure(value):
    try:
        data = msgspec.msgpack.encode(value)
    except OverflowError:
        return
    load_message.decode(data)
    with contextlib.suppress(route_messages.FeedMalformedError):
        route_messages.decode(data)


@pytest.mark.parametrize(
    "odd",
    [
        {"address": "127.0.0.1:0"},
        {"address": "a..b:80"},
        {"address": "x" * 64 + ":80"},
        {"address": "\u00fc:80"},
        {"address": "127.0.0.1:\u0669"},
        {"seq": 2**63},
        {"seq": 10**400},
        {"seq": -1},
        {"born": 2**63},
        {"born": 0},
        {"slots": 10**400},
        {"service": ""},
        {"service": "s" * 64},
        {"warmup-left-ms": 1e300},
    ],
    ids=str,
)
def test_heartbeat_beyond_the_bounds_is_refused(odd):
    with pytest.raises(PlatformMalformedError):
        decode_call(json.dumps({**HEARTBEAT, **odd}).encode())


@pytest.mark.parametrize("number", [2**53 + 1, 2**63 - 1])
def test_heartbeat_within_the_bounds_is_accepted(number):
    fields = {**HEARTBEAT, "seq": number, "born": number, "unknown": 10**300}

    heartbeat = decode_call(json.dumps(fields).encode())

    assert (heartbeat.sequence, heartbeat.started_ms) == (number, number)
    process = ServerProcess(heartbeat.incarnation, number)
    assert ServerProcess.from_key(process.key) == process


@pytest.mark.parametrize("version", [0, 2**53 + 1, 2**63 - 1])
def test_configuration_of_any_version_within_64_bits_is_accepted(version):
    raw = json.dumps({**ROUTES, "version": version}).encode()

    assert decode_routes(raw).version == version


@pytest.mark.parametrize(
    "odd",
    [
        {"version": -1},
        {"version": 2**63},
        {"version": 10**400},
        {"version": 1.5},
        {"routes": [{**ROUTES["routes"][0], "timeout-ms": 1e300}]},
        {"routes": [{**ROUTES["routes"][0], "priority": 2**64}]},
        {"routes": [{**ROUTES["routes"][0], "attempts": 2**64}]},
        {"tenants": [{"name": "t", "burst": 1e300}]},
        {"limits": {"idle-timeout-ms": 1e300}},
    ],
    ids=str,
)
def test_configuration_beyond_the_bounds_is_refused(odd):
    with pytest.raises(PlatformMalformedError):
        decode_routes(json.dumps({**ROUTES, **odd}).encode())


def test_deeply_nested_unknown_fields_of_a_configuration_are_ignored():
    nested = "[" * 100_000 + "]" * 100_000
    cfg = {**ROUTES, "unknown": "@"}
    cfg["routes"] = [{**ROUTES["routes"][0], "unknown": "@"}]
    raw = json.dumps(cfg).replace('"@"', nested).encode()

    assert decode_routes(raw) == decode_routes(json.dumps(ROUTES).encode())


@pytest.mark.parametrize(
    "incarnation", ["i" * 129, "i/1", "i\n", "\u00fc", "\udcff"], ids=ascii
)
def test_odd_incarnation_of_a_response_is_not_taken(incarnation):
    fields = ((SERVER_INCARNATION, incarnation),)

    metadata = PlatformDialect().parse_health_response(Response(200, fields))

    assert metadata.incarnation == ""


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('node = "n"', 'node = ""'),
        ('node = "n"', f'node = "{"n" * 64}"'),
        ('ip = "127.0.0.1"', 'ip = "a b"'),
        ('ip = "127.0.0.1"', 'ip = "a..b"'),
        ("[7600, 7700]", "[99999, 99999]"),
        ("[7600, 7700]", "[-1, 7700]"),
        ("link-mbps = 1.5", "link-mbps = nan"),
        ("link-mbps = 1.5", "link-mbps = inf"),
        ("127.0.0.1:5", "127.0.0.1:99999"),
        ("heartbeat-ms = 1500", "heartbeat-ms = 1" + "0" * 30),
    ],
)
def test_settings_beyond_the_bounds_are_refused(old, new):
    assert decode_settings(SETTINGS).node == "n"
    assert old in SETTINGS

    with pytest.raises(PlatformMalformedError):
        decode_settings(SETTINGS.replace(old, new))


@pytest.mark.parametrize("value", ["nan", "inf", "-inf", "1e999"])
def test_bound_that_is_no_finite_number_has_its_default(value):
    text = SETTINGS.replace("config-ms = 2000", f"config-ms = {value}")

    assert decode_settings(text).config_s == 2.0
