"""Routes of nested calls are detected by the arrival times of requests."""

import random

import pytest

from radishwind.entry.nested_routes import LocalConcurrency
from radishwind.entry.nested_routes import MAX_ROUTES
from radishwind.entry.nested_routes import NestedRouteDetector

RUN_S = 0.2


class SimulatedServer:
    """Runs external requests at random times; each sends one nested call."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.runs = LocalConcurrency()
        self.changes = []
        self.routes = NestedRouteDetector(
            self.runs,
            lambda route, nested: self.changes.append((route, nested)),
        )
        self.now = 0.0

    def simulate(self, per_s, for_s, calls="called", slots=3, rate=None):
        """Simulates external callers of the route `read`.

        Args:
          per_s: mean arrival rate of their requests (1/s).
          for_s: simulated time (s).
          calls: route of the nested calls.
          slots: requests that run at once at most; others are refused.
          rate: returns the arrival rate (1/s) at a time, instead of `per_s`.

        Returns:
          The route of each request and whether it counted as a nested call.
        """
        events = []
        at = self.now
        until = self.now + for_s
        busy = []
        while at < until:
            at += self.rng.expovariate(rate(at) if rate else per_s)
            events.append((at, "arrival", "read"))
            busy = [end for end in busy if end > at]
            if len(busy) == slots:
                continue
            events.append((at, "start", ""))
            events.append((at + RUN_S, "end", ""))
            events.append((at + RUN_S * self.rng.random(), "arrival", calls))
            busy.append(at + RUN_S)
        counted = []
        for at, kind, route in sorted(events, key=lambda e: e[0]):
            self.now = at
            if kind == "start":
                self.runs.run_started(at)
            elif kind == "end":
                self.runs.run_ended(at)
            else:
                counted.append((route, self.routes.observe(route, at)))
        return counted


@pytest.mark.parametrize("per_s", [2, 5, 10])
@pytest.mark.parametrize("seed", range(5))
def test_nested_calls_are_distinguished_from_external_requests(per_s, seed):
    server = SimulatedServer(seed)

    server.simulate(per_s, 100 / per_s)
    counted = server.simulate(per_s, 200 / per_s)

    called = [nested for route, nested in counted if route == "called"]
    read = [nested for route, nested in counted if route == "read"]
    assert sum(called) >= 0.9 * len(called)
    assert sum(read) <= 0.02 * len(read)


@pytest.mark.parametrize("seed", range(5))
def test_waves_of_external_requests_do_not_count_as_nested(seed):
    """In a wave external requests also arrive while the server is busy."""
    server = SimulatedServer(seed)

    counted = server.simulate(
        0, 60.0, rate=lambda at: 12.0 if at % 13.0 < 6.5 else 3.0
    )

    read = [nested for route, nested in counted if route == "read"]
    assert sum(read) <= 0.05 * len(read)


@pytest.mark.parametrize(("before", "after"), [(5, 30), (5, 60), (12, 36)])
@pytest.mark.parametrize("seed", range(5))
def test_a_rise_of_external_load_does_not_count_as_nested(seed, before, after):
    """After a rise the mean lags behind, and the server remains full."""
    server = SimulatedServer(seed)
    server.simulate(before, 20.0)
    counted = server.simulate(after, 20.0)

    read = [nested for route, nested in counted if route == "read"]
    assert sum(read) <= 0.05 * len(read)


def test_nested_calls_just_after_their_run_failed_are_no_evidence():
    """One of two calls is refused at once; the run ends before the other."""
    server = SimulatedServer()
    server.simulate(5, 40.0)
    server.now += 5.0
    while server.runs.running:
        server.runs.run_ended(server.now)

    for _ in range(20):
        server.now += 1.0
        server.runs.run_started(server.now)
        server.routes.observe("called", server.now + 0.05)
        server.runs.run_ended(server.now + 0.051)
        server.routes.observe("called", server.now + 0.052)

    assert server.changes[-1] == ("called", True)


def test_nothing_is_inferred_from_a_server_that_is_always_full():
    server = SimulatedServer()
    for _ in range(3):
        server.runs.run_started(0.0)

    assert not any(
        server.routes.observe("r", 20.0 + i * 0.1) for i in range(500)
    )


def test_a_route_that_external_callers_begin_to_use_stops_being_nested():
    server = SimulatedServer()
    server.simulate(5, 40.0)
    assert ("called", True) in server.changes

    for i in range(20):
        server.now += 0.2
        if not server.runs.running:
            server.routes.observe("called", server.now + i * 0.01)

    assert server.changes[-1] == ("called", False)


def test_number_of_routes_remembered_is_bounded():
    server = SimulatedServer()
    for i in range(MAX_ROUTES + 10):
        server.routes.observe(str(i), 0.0)

    assert len(server.routes._evidence) == MAX_ROUTES


def test_only_routes_with_clear_evidence_are_external():
    """A route that is neither external nor nested adds to no retry budget."""
    server = SimulatedServer()
    assert not server.routes.is_external("read")
    server.simulate(5, 20.0)

    assert server.routes.is_external("read")
    assert not server.routes.is_external("called")
