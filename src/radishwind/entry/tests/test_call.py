import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import ServiceRules
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import classify
from radishwind.entry.call import server_request
from radishwind.entry.call import ServiceUnknownError
from radishwind.http.types import get_header
from radishwind.http.types import Request

RULES = ServiceRules(idempotent_paths=("/tags/read",), max_deadline_ms=5_000)
INDEX = ConfigIndex(
    Configuration(
        inventory=Inventory(services=(Service("tags"),)),
        rules=Rules(services={"tags": RULES}),
    )
)
FIELDS = ("Radishwind-Timeout-Ms", "Radishwind-Depth", "Idempotency-Key")


def call_for(*headers, method="POST", path="/tags/1"):
    request = Request(method, path, headers, remote="10.0.0.1")
    return classify(request, INDEX, "n-1", 100.0, 1_000_000)


def test_defaults_come_from_the_rules():
    call = call_for()

    assert (call.deadline, call.expires_ms) == (102.0, 1_002_000)
    assert (call.depth, call.key, call.caller) == (0, None, "10.0.0.1")


@pytest.mark.parametrize(
    ("method", "path", "idempotent"),
    [
        ("GET", "/tags/1", True),
        ("POST", "/tags/1", False),
        ("POST", "/tags/read/1", True),
        ("POST", "/tags/read?x=1", True),
        ("POST", "/tags/reader", False),
        ("POST", "/tags/read/../release", False),
        ("POST", "/tags/read/%2e%2e/release", False),
        ("get", "/tags/1", False),
    ],
)
def test_idempotent_by_method_or_path_prefix(method, path, idempotent):
    assert call_for(method=method, path=path).idempotent is idempotent


@pytest.mark.parametrize(
    "field",
    [
        ("Radishwind-Timeout-Ms", "0"),
        ("Radishwind-Timeout-Ms", "-5"),
        ("Radishwind-Timeout-Ms", "1e3"),
        ("Radishwind-Timeout-Ms", "²"),
        ("Radishwind-Timeout-Ms", "9" * 10),
        ("Radishwind-Depth", "26"),
        ("Idempotency-Key", ""),
        ("Idempotency-Key", "k" * 256),
        ("Idempotency-Key", "a\x00b"),
        ("Radishwind-Caller", "\udc80"),
    ],
)
def test_malformed_field_is_rejected_with_its_name(field):
    with pytest.raises(CallRejectedError) as caught:
        call_for(field)

    assert field[0].lower() in str(caught.value)
    assert str(caught.value).startswith("RW-2001: expected")


@pytest.mark.parametrize("name", [*FIELDS, "Host"])
def test_repeated_field_is_rejected(name):
    with pytest.raises(CallRejectedError, match="at most once"):
        call_for((name, "1"), (name.lower(), "1"))


def test_unknown_service_is_rejected():
    with pytest.raises(ServiceUnknownError, match="RW-2003"):
        call_for(path="/nobody")


def test_server_request_states_the_time_left_and_the_next_depth():
    call = call_for(("radishwind-timeout-ms", "900"), ("Radishwind-Depth", "3"))

    headers = server_request(call, now=100.25).headers

    assert get_header(headers, "radishwind-timeout-ms") == "650"
    assert get_header(headers, "radishwind-depth") == "4"
    assert len(headers) == 2


def test_call_below_the_maximum_depth_is_rejected():
    deepest = call_for(("Radishwind-Depth", "25"))
    below = server_request(deepest, now=100.0)

    with pytest.raises(CallRejectedError, match="radishwind-depth"):
        call_for(*below.headers)


@given(
    headers=st.lists(
        st.tuples(
            st.sampled_from((*FIELDS, "Radishwind-Caller", "Host")), st.text()
        ),
        max_size=4,
    ),
    path=st.one_of(st.just("/tags"), st.text()),
)
def test_any_request_is_classified_or_rejected(headers, path):
    try:
        call = call_for(*headers, path=path)
    except CallRejectedError as exc:
        msgspec.json.encode(exc.args[0])
        return
    assert 100.0 < call.deadline <= 105.0
    assert 0 <= call.depth <= 25
    # What is forwarded to peers must be encodable text.
    msgspec.json.encode((call.caller, call.key))
    assert dataclasses.replace(call, depth=0).service == "tags"
