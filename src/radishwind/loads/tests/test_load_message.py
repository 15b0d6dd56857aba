"""Load datagrams are short, and both encodings decode alike."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from radishwind.loads.load_message import decode
from radishwind.loads.load_message import encode
from radishwind.loads.load_message import LoadMessage
from radishwind.routing.chooser import LoadReport

TYPICAL_REPORT = LoadReport(
    3, 2, 1, 93.275, False, 1.0, 1.0, 1.0, 150.0, 48.3, 0.0, None, 7_300
)

reports = st.builds(
    LoadReport,
    slots=st.integers(0, 1000),
    in_flight=st.integers(0, 1000),
    queued=st.integers(0, 1000),
    service_ms=st.floats(0, 1e6),
    leaving=st.booleans(),
    warm_fraction=st.floats(0, 1),
    pace=st.floats(0.1, 50),
    base_pace=st.floats(0.1, 50),
    pace_interval_ms=st.floats(0, 1e5),
    pace_interval_left_ms=st.floats(0, 1e5),
    normal_run_ms=st.floats(0, 1e5),
    requests_left=st.none() | st.integers(0, 100),
    limit_per_s=st.none() | st.integers(0, 100).map(float),
    limit_wait_ms=st.integers(0, 5000).map(float),
    link_free_kbps=st.integers(0, 10**9),
)


@given(reports)
def test_report_is_decoded_to_half_a_millisecond(report):
    decoded = decode(encode(LoadMessage("t", 1, 2, report))).report

    for name in LoadReport.__struct_fields__:
        sent, received = getattr(report, name), getattr(decoded, name)
        if name in ("service_ms", "pace_interval_ms", "pace_interval_left_ms"):
            assert abs(sent - received) <= 0.5
        else:
            assert sent == received


def test_typical_report_is_half_as_long_as_the_plain_encoding():
    message = LoadMessage("sidecar-a-12", 2**31, 4711, TYPICAL_REPORT)

    plain = msgspec.msgpack.encode(message)
    assert len(encode(message)) <= len(plain) / 2


def test_report_without_link_capacity_is_decoded():
    plain = msgspec.msgpack.encode(
        ("t", 1, 2, [3, 2, 1, 90.5, False, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0, None])
    )

    assert decode(plain).report.link_free_kbps == 0
