import random

import pytest

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Target
from radishwind.core.codes import ResultCode
from radishwind.http.types import Address
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.routing import BalancedChooser
from radishwind.routing import LoadReport
from radishwind.routing.balanced_chooser import TRIAL_SHARE
from radishwind.routing.target_state import FORGET_S
from radishwind.routing.target_state import RECOVERY_S

OK = Done(Response(200))
ROOM = LoadReport(9, 2, 0, 10.0)


def members_of(*domains):
    return tuple(
        Member(f"t{i}", "tags", domain, Address("127.0.0.1", 1))
        for i, domain in enumerate(domains)
    )


def chooser_for(members, own="elsewhere", domain="a", **kwargs):
    inventory = Inventory(
        targets=tuple(
            Target(m.name, "tags", m.failure_domain, 9) for m in members
        ),
        links=(Link("a", "b", 1.5), Link("a", "far", 20.0)),
    )
    index = ConfigIndex(Configuration(inventory=inventory))
    return BalancedChooser(
        random.Random(1),
        node_name=own,
        failure_domain=domain,
        index=lambda: index,
        **kwargs,
    )


def attempt(chooser, name, now, elapsed_s=0.01, outcome=OK, load=ROOM):
    chooser.attempt_started(name, now)
    chooser.attempt_finished(name, now + elapsed_s, elapsed_s, outcome, load)


def warmed(chooser, members, now=0.0, far_s=0.0):
    """Lets each target answer ten times in its usual 10 ms.

    Those outside the domain `a` take `far_s` (s) more.
    """
    for step in range(10):
        for member in members:
            chooser.choose((member,), now)
            elapsed_s = 0.01 + (far_s if member.failure_domain != "a" else 0.0)
            attempt(chooser, member.name, now + step * 0.01, elapsed_s)
    return now + 0.2


def picks(chooser, members, now, count=200):
    return [chooser.choose(members, now).name for _ in range(count)]


def test_no_members_no_choice():
    assert chooser_for(()).choose((), 0.0) is None


def test_excluded_targets_are_not_chosen():
    members = members_of("a", "a", "b")
    chooser = chooser_for(members)

    chosen = chooser.choose(members, 0.0, frozenset({"t0", "t2"}))

    assert chosen.name == "t1"
    everyone = frozenset(m.name for m in members)
    assert chooser.choose(members, 0.0, everyone) is None


def test_own_server_saves_the_hop_until_it_is_full():
    members = members_of("a", "a", "a")
    own = [LoadReport(9, 0, 0, 10.0)]
    chooser = chooser_for(members, own="t1", own_load=lambda: own[0])
    now = warmed(chooser, members)

    assert set(picks(chooser, members, now)) == {"t1"}
    own[0] = LoadReport(9, 9, 9, 10.0)
    assert "t1" not in picks(chooser, members, now)


def test_own_domain_first_until_its_wait_costs_more_than_the_hop():
    members = members_of("a", "a", "b", "b")
    chooser = chooser_for(members)
    now = warmed(chooser, members, far_s=0.003)
    assert set(picks(chooser, members, now)) == {"t0", "t1"}

    # One report may be stale; half a second of them counts.
    for _ in range(10):
        now += 0.05
        for name in ("t0", "t1"):
            attempt(chooser, name, now, load=LoadReport(9, 9, 8, 10.0))

    assert set(picks(chooser, members, now + 0.01)) <= {"t2", "t3"}


def test_a_target_that_stays_full_gets_no_more_than_others():
    members = members_of("a", "a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    full = NotRun(ResultCode.OVERLOADED, "full", 1.0)
    chosen = []

    for _ in range(2_000):
        name = chooser.choose(members, now).name
        chosen.append(name)
        if name == "t0":
            load = LoadReport(9, 9, 20, 10.0)
            attempt(chooser, name, now, 0.001, full, load)
        else:
            attempt(chooser, name, now)
        now += 0.02

    assert chosen[1_000:].count("t0") < 1_000 / len(members)


def test_stale_report_loses_weight():
    members = members_of("a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)

    attempt(chooser, "t0", now, load=LoadReport(9, 9, 8, 10.0))

    assert "t0" not in picks(chooser, members, now + 0.012)
    attempt(chooser, "t1", now + 10.0, load=LoadReport(9, 9, 0, 10.0))
    assert "t0" in picks(chooser, members, now + 10.012)


def test_fast_failing_target_does_not_look_idle():
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    idle = LoadReport(9, 0, 0, 0.1)

    for step in range(3):
        failed = Done(Response(503))
        attempt(chooser, "t0", now + step * 0.001, 0.0005, failed, idle)

    assert "t0" not in picks(chooser, members, now + 0.01)


def test_target_that_refuses_with_room_does_not_look_idle():
    # Seen in bench.policies: 87% of calls went to targets that refused.
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    refused = NotRun(ResultCode.OVERLOADED, "full", 1.0)
    idle = LoadReport(9, 0, 0, 0.1)

    for step in range(3):
        attempt(chooser, "t0", now + step * 0.001, 0.0005, refused, idle)

    assert "t0" not in picks(chooser, members, now + 0.01)


def test_refusals_of_full_targets_stop_no_work():
    members = members_of("a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    refused = NotRun(ResultCode.OVERLOADED, "full", 1.0)
    full = LoadReport(9, 9, 64, 10.0)

    for member in members:
        attempt(chooser, member.name, now, 0.001, refused, full)

    assert set(picks(chooser, members, now + 0.01)) == {"t0", "t1"}


@pytest.mark.parametrize("slots_taken", [1, 3])
def test_straggler_loses_work_before_it_answers(slots_taken):
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)

    for _ in range(slots_taken):
        chooser.attempt_started("t0", now)

    # No answer after 10 times the usual: the age alone tells.
    assert "t0" not in picks(chooser, members, now + 0.1)


def test_straggler_gets_work_back_one_attempt_at_a_time():
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    for _ in range(3):
        attempt(chooser, "t0", now, 0.5)
    now += 0.5
    assert "t0" not in picks(chooser, members, now)

    now += RECOVERY_S
    trials = picks(chooser, members, now, 1000).count("t0")
    assert 0 < trials <= 1000 * 2 * TRIAL_SHARE
    chooser.attempt_started("t0", now)
    # None beside the one that is out.
    assert "t0" not in picks(chooser, members, now + 0.001, 1000)
    chooser.attempt_finished("t0", now + 0.01, 0.01, OK, ROOM)
    for _ in range(2):
        now += RECOVERY_S
        assert picks(chooser, members, now).count("t0") < 10
        attempt(chooser, "t0", now)
    now += RECOVERY_S
    for name in ("t1", "t2"):
        attempt(chooser, name, now, load=LoadReport(9, 9, 0, 10.0))
    assert picks(chooser, members, now + 0.02).count("t0") > 100


def test_cancelled_attempt_tells_that_the_target_is_slow():
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)

    for _ in range(3):
        attempt(chooser, "t0", now, 0.2, outcome=None, load=None)

    assert "t0" not in picks(chooser, members, now + 0.2)


def test_cold_target_gets_less():
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members)

    attempt(
        chooser, "t0", now, load=LoadReport(9, 2, 0, 10.0, warm_fraction=0.1)
    )

    assert "t0" not in picks(chooser, members, now + 0.01)


@pytest.mark.parametrize(
    "code", [ResultCode.LEAVING, ResultCode.SERVER_UNANNOUNCED]
)
def test_target_that_takes_no_work_gets_none_after_one_refusal(code):
    # An unannounced server beside its own node drew 30 calls in a row.
    members = members_of("a", "a")
    chooser = chooser_for(members, own="t0")
    chooser.choose(members[:1], 0.0)

    attempt(chooser, "t0", 0.0, 0.001, NotRun(code, "no", 1.0), None)

    assert set(picks(chooser, members, 0.5)) == {"t1"}


def test_only_target_is_tried_though_it_was_away():
    members = members_of("a")
    chooser = chooser_for(members)
    chooser.choose(members, 0.0)
    refused = NotRun(ResultCode.CONNECT_FAILED, "refused", 1.0)

    attempt(chooser, "t0", 0.0, 0.001, refused, None)

    assert chooser.choose(members, 0.1) is members[0]


def test_new_target_is_tried():
    members = members_of("a", "a", "a")
    chooser = chooser_for(members)
    now = warmed(chooser, members[:2])

    tried = picks(chooser, members, now, 1).count("t2")
    for _ in range(1000):
        tried += chooser.choose(members, now).name == "t2"
    assert tried


def test_change_of_links_is_followed_by_targets_in_use():
    members = members_of("a", "b")
    chooser = chooser_for(members)
    now = warmed(chooser, members)
    assert set(picks(chooser, members, now)) == {"t0"}

    moved = tuple(reversed(members_of("b", "a")))

    assert set(picks(chooser, moved, now)) == {"t1"}


def test_state_is_forgotten_once_unused():
    members = members_of(*["a"] * 50)
    chooser = chooser_for(members)
    warmed(chooser, members)
    assert chooser.remembered == 50

    for step in range(60):
        now = FORGET_S + 10.0 + step
        chooser.choose(members[:1], now)
        attempt(chooser, "t0", now)

    assert chooser.remembered == 1


def test_counts_survive_attempts_side_by_side():
    members = members_of("a")
    chooser = chooser_for(members)
    chooser.choose(members, 0.0)
    for step in range(5):
        chooser.attempt_started("t0", step * 0.1)
    for step in range(5):
        chooser.attempt_finished("t0", 1.0, 1.0 - step * 0.1, OK, ROOM)

    state = chooser._table.get("t0")
    assert (state.in_flight, state.starts_s) == (0, 0.0)
