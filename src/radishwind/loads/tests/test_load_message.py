"""Load datagrams are short, and read alike in each of their forms."""

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from radishwind.loads.load_message import decode
from radishwind.loads.load_message import encode
from radishwind.loads.load_message import LoadMessage
from radishwind.routing.chooser import LoadReport

USUAL = LoadReport(
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
    warmup_requests_left=st.none() | st.integers(0, 100),
    link_free_kbps=st.integers(0, 10**9),
)


@given(reports)
def test_what_is_told_is_read_to_half_a_millisecond(report):
    read = decode(encode(LoadMessage("t", 1, 2, report))).report

    for name in LoadReport.__struct_fields__:
        told, got = getattr(report, name), getattr(read, name)
        if name in ("service_ms", "pace_interval_ms", "pace_interval_left_ms"):
            assert abs(told - got) <= 0.5
        else:
            assert told == got


def test_a_usual_report_takes_half_of_what_its_plain_form_does():
    message = LoadMessage("sidecar-a-12", 2**31, 4711, USUAL)

    plain = msgspec.msgpack.encode(message)
    assert len(encode(message)) <= len(plain) / 2


def test_a_report_of_a_node_that_tells_no_link_is_read():
    plain = msgspec.msgpack.encode(
        ("t", 1, 2, [3, 2, 1, 90.5, False, 1.0, 1.0, 1.0, 0.0, 0.0, 0.0, None])
    )

    assert decode(plain).report.link_free_kbps == 0
