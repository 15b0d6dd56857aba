"""What servers state counts even if the nodes beside them ignore it."""

import random

import pytest

from radishwind.core import ManualClock
from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routing.chooser import LoadReport
from radishwind.routing.fresh_load_chooser import FreshLoadChooser
from radishwind.sidecar.unreported_notices import UnreportedNotices

MEMBERS = tuple(
    Member(name, "s", "a", Address("10.0.0.1", 80)) for name in ("x", "y")
)
LIMIT = (("server-limit", "2"),)
LEAVING = (("server-leaving", "1"),)


@pytest.mark.parametrize(
    ("headers", "load", "chosen"),
    [
        (LIMIT, LoadReport(6, 0, 0, 0.0), "y"),
        (LIMIT, None, "y"),
        (LIMIT, LoadReport(6, 0, 0, 0.0, limit_per_s=2.0), "x"),
        (LEAVING, LoadReport(6, 0, 0, 0.0), "y"),
        (LEAVING, LoadReport(6, 0, 0, 0.0, leaving=True), "x"),
        ((), LoadReport(6, 0, 0, 0.0), "x"),
    ],
)
def test_limit_or_leaving_is_not_missed_beside_a_node_of_an_earlier_version(
    headers, load, chosen
):
    clock = ManualClock()
    chooser = FreshLoadChooser(
        random.Random(1),
        node_name="own",
        failure_domain="a",
        own_load=lambda: LoadReport(6, 0, 0, 0.0),
        node_count=lambda: 10,
    )
    chooser.receive_report("x", LoadReport(6, 0, 0, 0.0), 1, 1, 0.0)
    chooser.receive_report("y", LoadReport(6, 6, 0, 0.0), 1, 1, 0.0)

    UnreportedNotices(chooser.statistics, clock).check("x", headers, load)

    assert chooser.choose(MEMBERS, 1.0).name == chosen
