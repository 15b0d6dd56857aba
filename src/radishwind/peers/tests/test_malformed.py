"""Any message of a peer is either decoded or refused, never a crash."""

import contextlib

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from radishwind.http import Response
from radishwind.outcomes import Done
from radishwind.outcomes import outcome_response
from radishwind.outcomes import Unknown
from radishwind.peers.attempts import ANSWER_FIELD
from radishwind.peers.attempts import decode_attempt
from radishwind.peers.attempts import parse_attempt_result
from radishwind.peers.attempts import PeerMalformedError

_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.floats(allow_nan=False, allow_infinity=False),
    st.text(max_size=8),
    st.sampled_from(["id", "done", "not-run", "unknown"]),
    st.lists(st.integers(0, 9), max_size=6),
)
_arrays = st.lists(_values, max_size=10).map(
    lambda value: msgspec.json.encode(value).decode()
)
_answers = st.tuples(
    st.just("id"),
    st.sampled_from(["done", "not-run", "unknown", "x"]),
    st.integers(-1, 6005),
    st.text(max_size=8),
    st.none() | st.floats(allow_nan=False, allow_infinity=False),
    st.none() | st.lists(st.integers(-9, 9), max_size=6),
).map(lambda value: msgspec.json.encode(value).decode())
#: Header values as received: bytes that are not UTF-8 become surrogates.
_wire = st.binary(max_size=40).map(
    lambda data: data.decode("utf-8", "surrogateescape")
)


@given(_arrays | _answers | _wire)
def test_any_answer_field_is_decoded_or_yields_unknown(field):
    response = Response(200, ((ANSWER_FIELD, field),), b"x")

    outcome = parse_attempt_result(response, "id").outcome

    assert 200 <= outcome_response(outcome).status <= 599
    if '"id"' not in field:
        assert isinstance(outcome, Unknown)
    if isinstance(outcome, Done):
        assert outcome.response.headers == ()


@given(_arrays | _wire)
def test_any_attempt_field_is_decoded_or_refused(field):
    with contextlib.suppress(PeerMalformedError):
        decode_attempt(field)
