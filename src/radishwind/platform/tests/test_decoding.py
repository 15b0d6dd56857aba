"""The platform's messages decode to typed values or to a numbered error."""

import pytest

from radishwind.accounts import Account
from radishwind.accounts import digest_key
from radishwind.config.model import ServiceRules
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.platform import decode_caller_fields
from radishwind.platform import decode_heartbeat
from radishwind.platform import decode_routes
from radishwind.platform import decode_settings
from radishwind.platform import PlatformDialect
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.responses import caller_response

SETTINGS = """
node = "sidecar-a-1"
ip = "10.1.0.41"
zone = "a"
port-range = [7600,7615]
heartbeat-ms = 1500
bounds = ["drain-ms=2500","retry-ratio=0.1","flag=true"]
app-addr = "10.1.0.41:8628"
service = "huvo11a"
something-new = 3
[zones]
a = "n"
b = "n"
[listen]
inbound = "10.1.0.41:8624"
outbound = "10.1.0.41:8629"
ready = "10.1.0.41:8625"
control = "10.1.0.41:8620"
[provider]
address = "10.200.1.7:8627"
"""

ROUTES = b"""{"version":7,"routes":[
{"name":"r1","host":"H1.example","prefix":"/a/b/","kind":"unsafe",
 "timeout-ms":800,"aim-ms":400,"priority":1,"service":"s1","attempts":2},
{"name":"r2","host":"h2.example","prefix":"/c/","kind":"safe",
 "timeout-ms":1200,"aim-ms":300,"priority":2,"attempts":3,
 "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}]}],
"services":[{"name":"s1","health-path":"/health","max-conns":220,"tls":false}],
"limits":{"idle-timeout-ms":15000},"base-version":5}"""


def test_decodes_settings():
    settings = decode_settings(SETTINGS)

    assert settings.failure_domain == "a"
    assert settings.callers == Address("10.1.0.41", 8629)
    assert settings.peers == Address("10.1.0.41", 7600)
    assert settings.drain_s == 2.5
    assert settings.retry_share == 0.1


@pytest.mark.parametrize(
    ("bounds", "bound_s"),
    [
        ('"strict-revoke=true","revoke-ms=4000"', 4.0),
        ('"revoke-ms=4000", "strict-revoke = true"', 4.0),
        ('"strict-revoke=true"', 5.0),
        ('"strict-revoke=false","revoke-ms=4000"', None),
        ('"revoke-ms=4000"', None),
        ("", None),
    ],
)
def test_proof_of_keys_is_required_only_if_the_bounds_demand_it(
    bounds, bound_s
):
    flag = '"flag=true"'
    text = SETTINGS.replace(flag, ",".join(filter(None, (flag, bounds))))

    assert decode_settings(text).revoke_s == bound_s


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("zone = ", "zonal = "), "zone"),
        (('"10.1.0.41:8625"', '"10.1.0.41"'), "HOST:PORT"),
        (("drain-ms=2500", "drain-ms"), "NAME=VALUE"),
        (("[listen]", "[listen"), "settings file"),
    ],
)
def test_error_names_the_fault_in_the_settings(change, expected):
    with pytest.raises(PlatformMalformedError, match=expected) as caught:
        decode_settings(SETTINGS.replace(*change))

    assert caught.value.code is ResultCode.PLATFORM_MALFORMED


def test_decodes_routes():
    cfg = decode_routes(ROUTES)

    first, second = cfg.routes
    assert (cfg.version, first.host, first.idempotent) == (
        7,
        "h1.example",
        False,
    )
    assert (first.timeout_s, first.aim_s, first.attempts) == (0.8, 0.4, 2)
    assert [(p.service, p.weight) for p in second.weighted_services] == [
        ("s1", 90),
        ("s2", 10),
    ]
    assert cfg.services["s1"].connections == 220
    assert cfg.limits.idle_s == 15.0


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b'{"routes":[]}',
        ROUTES.replace(b'"service":"s1","attempts":2', b'"attempts":2'),
        ROUTES.replace(b'"timeout-ms":800', b'"timeout-ms":-1'),
        ROUTES.replace(b'"attempts":2', b'"attempts":0'),
    ],
)
def test_rejects_malformed_configurations(data):
    with pytest.raises(PlatformMalformedError):
        decode_routes(data)


def test_decodes_accounts():
    tenants = (
        b'"tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,'
        b'"rate-per-s":135,"burst":27.5},{"name":"t2"}],"limits"'
    )
    config = ROUTES.replace(b'"limits"', tenants)
    config = config.replace(b'"kind":"unsafe"', b'"kind":"upload"')
    config = config.replace(
        b'"kind":"safe"', b'"kind":"download","public":true'
    )

    cfg = decode_routes(config)

    first, second = cfg.accounts
    assert first == Account(
        "t1", (digest_key("k1"), digest_key("k2")), 1, 135.0, 27.5
    )
    assert not second.is_limited
    assert [route.idempotent for route in cfg.routes] == [False, True]
    assert [route.public for route in cfg.routes] == [False, True]
    assert decode_routes(ROUTES).accounts == ()


def test_decodes_heartbeats_and_deregistrations():
    body = (
        b'{"service":"s","address":"10.0.0.9:80","zone":"a","version":"v1",'
        b'"slots":6,"state":"draining","warmup-left-ms":1500,"seq":4}'
    )
    request = Request("POST", "/-/Instances.Heartbeat/i-7")

    beat = decode_heartbeat(request, body)

    assert (beat.incarnation, beat.slots, beat.sequence) == ("i-7", 6, 4)
    assert beat.is_draining
    assert beat.warmup_left_s == 1.5
    assert decode_heartbeat(
        Request("POST", "/-/Instances.Deregister/i-7"), b""
    ).is_deregistered
    assert decode_heartbeat(Request("GET", "/other"), b"") is None
    with pytest.raises(PlatformMalformedError):
        decode_heartbeat(request, b'{"service":"s"}')


def test_overwrites_node_fields_of_callers():
    fields = decode_caller_fields(
        (
            ("Host", "H.example:80"),
            ("Attempt-Id", "9c"),
            ("Timeout-Ms", "1200"),
            ("Caller-Service", "forged"),
            ("Expect-Instance", "i-1"),
            ("Accept", "x"),
        ),
        "own",
    )

    assert (fields.request_id, fields.timeout_ms, fields.host) == (
        "9c",
        1200,
        "h.example",
    )
    assert dict(fields.headers) == {
        "Host": "H.example:80",
        "Attempt-Id": "9c",
        "Accept": "x",
        "Caller-Service": "own",
    }
    with pytest.raises(CallRejectedError):
        decode_caller_fields((("Host", "h"),), "own")
    with pytest.raises(CallRejectedError):
        decode_caller_fields(
            (("Attempt-Id", "9"), ("Timeout-Ms", "soon")), "own"
        )


def make_call():
    request = Request("GET", "/x", (("Attempt-Id", "9c"),))
    return Call("9c", "s", request, ServiceRules(), True, 1.0, 1, "c")


def test_request_carries_timeout_and_expected_incarnation():
    request = PlatformDialect().build_request(make_call(), "i-7", 0.25)

    fields = dict(request.headers)
    assert (fields["Timeout-Ms"], fields["Expect-Instance"]) == ("250", "i-7")


@pytest.mark.parametrize(
    ("status", "fields", "matches", "authentic", "not_run", "is_other"),
    [
        (200, {"Response-Signature": "s"}, True, True, False, False),
        (200, {}, True, False, False, False),
        (200, {"Response-Signature": "s", "Attempt-Id": "x"},
         False, True, False, False),
        (200, {"Response-Signature": "s", "Attempt-Id": None},
         False, True, False, False),
        (200, {"Response-Signature": "s", "Content-Encoding": "gzip"},
         True, False, False, False),
        (500, {}, True, True, False, False),
        (503, {}, True, True, False, False),
        (503, {"Not-Executed": "1", "Attempt-Id": None},
         True, True, True, False),
        (503, {"Not-Executed": "1", "Attempt-Id": "x"},
         False, True, True, False),
        (421, {"Instance-Id": "i-8", "Attempt-Id": None},
         True, True, True, True),
    ],
)  # fmt: skip
def test_accepts_only_authentic_responses_to_the_same_request(
    status, fields, matches, authentic, not_run, is_other
):
    values = {"Attempt-Id": "9c", **fields}
    headers = tuple((k, v) for k, v in values.items() if v is not None)

    metadata = PlatformDialect().parse_response(
        make_call(), Response(status, headers)
    )

    assert (metadata.matches_request, metadata.is_authentic) == (
        matches,
        authentic,
    )
    assert (metadata.is_not_run, metadata.is_other_incarnation) == (
        not_run,
        is_other,
    )


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,1,8,500", (3, 1, 8, 5.0)),
        ("3,0,8", (3, 0, 8, 1.0)),
        ("3,0", None),
        ("a,b,c", None),
    ],
)
def test_decodes_load_reports(text, load):
    headers = (("Server-Load", text), ("Instance-Id", "i-7"))

    response = PlatformDialect().parse_health_response(Response(200, headers))

    report = response.load
    assert response.incarnation == "i-7"
    values = report and (
        report.in_flight,
        report.queued,
        report.slots,
        report.pace,
    )
    assert values == load


def test_refusal_has_retry_after_in_fractions_of_a_second():
    response = caller_response(NotRun(ResultCode.OVERLOADED, "full", 0.15))

    assert response.status == 503
    assert dict(response.headers)["Retry-After"] == "0.150"
    assert (
        caller_response(Unknown(ResultCode.EXCHANGE_BROKEN, "x")).status == 502
    )


def test_decodes_optional_link_rate():
    limits = "[limits]\nlink-mbps = 12.5\n[provider]"

    assert decode_settings(SETTINGS).link_mbps == 0
    limited = decode_settings(SETTINGS.replace("[provider]", limits))
    assert limited.link_mbps == 12.5


def test_downloads_have_large_responses():
    config = ROUTES.replace(b'"kind":"safe"', b'"kind":"download"')

    large = [
        route.has_large_responses for route in decode_routes(config).routes
    ]

    assert large == [False, True]
    assert not any(
        route.has_large_responses for route in decode_routes(ROUTES).routes
    )


@pytest.mark.parametrize(
    ("text", "revoke_s"), [("true", 5.0), ("True", 5.0), ("false", None)]
)
def test_decodes_strict_revocation(text, revoke_s):
    bounds = f'"strict-revoke={text}","revoke-ms=5000"'
    settings = decode_settings(SETTINGS.replace('"flag=true"', bounds))

    assert settings.revoke_s == revoke_s


def test_rejects_misspelt_flags():
    with pytest.raises(PlatformMalformedError, match="strict-revoke"):
        decode_settings(SETTINGS.replace('"flag=true"', '"strict-revoke=yse"'))


def test_decodes_quota_bounds():
    bounds = '"quota-window-s=4","quota-over=0.2","quota-slack=7"'
    settings = decode_settings(SETTINGS.replace('"flag=true"', bounds))

    assert settings.quota_window_s == 4.0
    assert settings.quota_over == 0.2
    assert settings.quota_slack == 7.0


@pytest.mark.parametrize(
    ("text", "per_s"),
    [
        ("2", 2.0),
        ("0.25", 0.25),
        ("0", 0.0),
        ("", None),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("two", None),
    ],
)
def test_decodes_server_limit_of_any_response(text, per_s):
    response = Response(200, (("server-limit", text),))

    health = PlatformDialect().parse_health_response(response)
    answer = PlatformDialect().parse_response(make_call(), response)

    assert [health.limit_per_s, answer.limit_per_s] == [per_s, per_s]
    assert health.states_limit
    assert answer.states_limit


@pytest.mark.parametrize(
    ("fields", "is_leaving"),
    [((("Server-Leaving", "1"),), True), ((("Server-Leaving", "0"),), False)],
)
def test_decodes_whether_a_server_is_leaving(fields, is_leaving):
    response = Response(200, fields)

    health = PlatformDialect().parse_health_response(response)
    answer = PlatformDialect().parse_response(make_call(), response)

    assert [health.is_leaving, answer.is_leaving] == [is_leaving, is_leaving]
    assert not health.states_limit
