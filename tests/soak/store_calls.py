"""Checks that nodes stay within their budget of store calls."""

import bisect
from collections.abc import Sequence

from radishwind.sidecar.options import STORE_BUDGET
from radishwind.standins.platform_fleet import Fleet
from tests.soak.node_exits import NodeExits

#: Length of the windows in which calls are counted (s).
_WINDOW_S = 5.0

#: A long-polling watch is one call of the budget and then calls again after
#: each change. A change wakes the watches of up to this many prefixes.
_WATCHED_PREFIXES = 2


def find_excess(fleet: Fleet, exits: NodeExits) -> list[str]:
    """Returns a violation for each node that called the store too often.

    Each process of a node has a burst of calls, and a rate beyond it.
    """
    violations = []
    for name, instance in fleet.instances.items():
        host = instance.place.host
        starts = exits.starts[name]
        watches = fleet.store.call_times[host, "kv-watch"]
        others = sorted(
            at
            for (node, kind), times in fleet.store.call_times.items()
            for at in times
            if node == host and kind != "kv-watch"
        )
        for number, at in enumerate(others):
            # A start within the window, or before its first call, is a burst.
            bursts = 1 + _count_within(starts, at - _WINDOW_S, at)
            allowed = (
                bursts * STORE_BUDGET.burst
                + STORE_BUDGET.calls_per_s * _WINDOW_S
            )
            first = bisect.bisect_right(others, at - _WINDOW_S)
            count = number + 1 - first
            if count > allowed:
                violations.append(
                    f"{name}: {count} store calls in {_WINDOW_S:.0f} s, "
                    f"allowed {allowed:.0f}"
                )
                break
        if not watches:
            continue
        length_s = max(watches) - min(watches)
        allowed = (
            (1 + len(starts)) * STORE_BUDGET.burst
            + STORE_BUDGET.calls_per_s * length_s
            + _WATCHED_PREFIXES * fleet.store.revision
        )
        if len(watches) > allowed:
            violations.append(
                f"{name}: {len(watches)} watch calls, allowed {allowed:.0f}"
            )
    return violations


def _count_within(times: Sequence[float], since: float, until: float) -> int:
    return sum(since <= at <= until for at in times)
