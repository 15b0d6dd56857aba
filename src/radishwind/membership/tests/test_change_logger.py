"""Which membership changes are logged, and how many lines."""

import itertools

from msgspec.structs import replace

from radishwind.membership import AdvertisedState
from radishwind.membership import MemberRecord
from radishwind.membership.change_logger import MAX_LINES_PER_WINDOW
from radishwind.membership.change_logger import MembershipChangeLogger
from radishwind.membership.change_logger import WINDOW_S
from radishwind.membership.records import Liveness

RECORD = MemberRecord("a", "prenota", "savona", "10.0.0.1:8081", 1)


def test_each_state_change_is_logged_once():
    lines = []
    change_logger = MembershipChangeLogger("own", lines.append)
    records = [
        None,
        RECORD,
        replace(RECORD, liveness=Liveness.SUSPECT),
        replace(RECORD, incarnation=2),
        replace(RECORD, incarnation=3),
        replace(RECORD, incarnation=4, advertised=AdvertisedState.LEAVING),
        replace(RECORD, incarnation=5, advertised=AdvertisedState.LEFT),
        None,
    ]

    for old, new in itertools.pairwise(records):
        change_logger.record_change(old, new, 0.0)
    change_logger.record_change(None, replace(RECORD, name="own"), 0.0)

    assert lines == [
        "a joined (incarnation 1).",
        "a is suspected (incarnation 1).",
        "a is no longer suspected (incarnation 2).",
        "a is leaving (incarnation 4).",
        "a left (incarnation 5).",
    ]


def test_changes_above_the_limit_are_counted_in_one_line():
    lines = []
    change_logger = MembershipChangeLogger("own", lines.append)

    for number in range(8900):
        change_logger.record_change(
            None, replace(RECORD, name=f"t{number}"), 1.0
        )
    change_logger.flush(1.0 + WINDOW_S)

    assert len(lines) == MAX_LINES_PER_WINDOW + 1
    assert lines[-1] == "Further changes, not logged one by one: 8880 joined."
