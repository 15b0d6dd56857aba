"""What is told of changes of membership, and how much."""

import itertools

from msgspec.structs import replace

from radishwind.membership import Announced
from radishwind.membership import MemberFact
from radishwind.membership.changes import ChangeTeller
from radishwind.membership.changes import TOLD_PER_WINDOW
from radishwind.membership.changes import WINDOW_S
from radishwind.membership.facts import Belief

FACT = MemberFact("a", "prenota", "savona", "10.0.0.1:8081", 1)


def test_each_change_of_state_is_told_once():
    told = []
    teller = ChangeTeller("own", told.append)
    facts = [
        None,
        FACT,
        replace(FACT, belief=Belief.SUSPECT),
        replace(FACT, incarnation=2),
        replace(FACT, incarnation=3),
        replace(FACT, incarnation=4, announced=Announced.LEAVING),
        replace(FACT, incarnation=5, announced=Announced.LEFT),
        None,
    ]

    for old, new in itertools.pairwise(facts):
        teller.changed(old, new, 0.0)
    teller.changed(None, replace(FACT, name="own"), 0.0)

    assert told == [
        "a joined (incarnation 1).",
        "a is suspected (incarnation 1).",
        "a is no longer suspected (incarnation 2).",
        "a leaves (incarnation 4).",
        "a left (incarnation 5).",
    ]


def test_a_fleet_that_joins_at_once_is_counted():
    told = []
    teller = ChangeTeller("own", told.append)

    for number in range(8900):
        teller.changed(None, replace(FACT, name=f"t{number}"), 1.0)
    teller.flush(1.0 + WINDOW_S)

    assert len(told) == TOLD_PER_WINDOW + 1
    assert told[-1] == "Further changes, by count: 8880 joined."
