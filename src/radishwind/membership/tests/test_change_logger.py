"""What is told of changes of membership, and how much."""

import itertools

from msgspec.structs import replace

from radishwind.membership import AdvertisedState
from radishwind.membership import MemberRecord
from radishwind.membership.change_logger import MAX_LINES_PER_WINDOW
from radishwind.membership.change_logger import MembershipChangeLogger
from radishwind.membership.change_logger import WINDOW_S
from radishwind.membership.records import Liveness

FACT = MemberRecord("a", "prenota", "savona", "10.0.0.1:8081", 1)


def test_each_change_of_state_is_told_once():
    told = []
    change_logger = MembershipChangeLogger("own", told.append)
    facts = [
        None,
        FACT,
        replace(FACT, liveness=Liveness.SUSPECT),
        replace(FACT, incarnation=2),
        replace(FACT, incarnation=3),
        replace(FACT, incarnation=4, advertised=AdvertisedState.LEAVING),
        replace(FACT, incarnation=5, advertised=AdvertisedState.LEFT),
        None,
    ]

    for old, new in itertools.pairwise(facts):
        change_logger.record_change(old, new, 0.0)
    change_logger.record_change(None, replace(FACT, name="own"), 0.0)

    assert told == [
        "a joined (incarnation 1).",
        "a is suspected (incarnation 1).",
        "a is no longer suspected (incarnation 2).",
        "a leaves (incarnation 4).",
        "a left (incarnation 5).",
    ]


def test_a_fleet_that_joins_at_once_is_counted():
    told = []
    change_logger = MembershipChangeLogger("own", told.append)

    for number in range(8900):
        change_logger.record_change(None, replace(FACT, name=f"t{number}"), 1.0)
    change_logger.flush(1.0 + WINDOW_S)

    assert len(told) == MAX_LINES_PER_WINDOW + 1
    assert told[-1] == "Further changes, by count: 8880 joined."
