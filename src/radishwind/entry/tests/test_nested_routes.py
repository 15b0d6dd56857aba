"""Routes that servers call are told from callers' by when requests come."""

import random

import pytest

from radishwind.entry.nested_routes import LocalConcurrency
from radishwind.entry.nested_routes import MOST_ROUTES
from radishwind.entry.nested_routes import NestedRouteDetector

RUN_S = 0.2


class Server:
    """Runs callers' requests at random times; each makes calls meanwhile."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.runs = LocalConcurrency()
        self.learned = []
        self.routes = NestedRouteDetector(
            self.runs,
            lambda route, nested: self.learned.append((route, nested)),
        )
        self.now = 0.0

    def play(self, per_s, for_s, calls="called", slots=3, rate=None):
        """Plays callers of the route `read`; returns who counted as a call."""
        events = []
        at = self.now
        until = self.now + for_s
        busy = []
        while at < until:
            at += self.rng.expovariate(rate(at) if rate else per_s)
            events.append((at, "came", "read"))
            busy = [end for end in busy if end > at]
            if len(busy) == slots:
                continue
            events.append((at, "began", ""))
            events.append((at + RUN_S, "ended", ""))
            events.append((at + RUN_S * self.rng.random(), "came", calls))
            busy.append(at + RUN_S)
        counted = []
        for at, kind, route in sorted(events, key=lambda e: e[0]):
            self.now = at
            if kind == "began":
                self.runs.run_started(at)
            elif kind == "ended":
                self.runs.run_ended(at)
            else:
                counted.append((route, self.routes.observe(route, at)))
        return counted


@pytest.mark.parametrize("per_s", [2, 5, 10])
@pytest.mark.parametrize("seed", range(5))
def test_calls_are_told_from_callers_requests(per_s, seed):
    server = Server(seed)

    server.play(per_s, 100 / per_s)
    counted = server.play(per_s, 200 / per_s)

    called = [nested for route, nested in counted if route == "called"]
    read = [nested for route, nested in counted if route == "read"]
    assert sum(called) >= 0.9 * len(called)
    assert sum(read) <= 0.02 * len(read)


@pytest.mark.parametrize("seed", range(5))
def test_callers_who_come_in_waves_are_not_taken_for_the_server(seed):
    """A wave makes callers come when the server is busy, too."""
    server = Server(seed)

    counted = server.play(
        0, 60.0, rate=lambda at: 12.0 if at % 13.0 < 6.5 else 3.0
    )

    read = [nested for route, nested in counted if route == "read"]
    assert sum(read) <= 0.05 * len(read)


@pytest.mark.parametrize(("before", "after"), [(5, 30), (5, 60), (12, 36)])
@pytest.mark.parametrize("seed", range(5))
def test_callers_who_fill_the_server_are_not_taken_for_it(seed, before, after):
    """The mean lags behind a rise, and a full server takes nothing back."""
    server = Server(seed)
    server.play(before, 20.0)
    counted = server.play(after, 20.0)

    read = [nested for route, nested in counted if route == "read"]
    assert sum(read) <= 0.05 * len(read)


def test_calls_that_come_after_their_run_was_lost_prove_nothing():
    """One of two calls is refused at once; the run ends before the other."""
    server = Server()
    server.play(5, 40.0)
    server.now += 5.0
    while server.runs.running:
        server.runs.run_ended(server.now)

    for _ in range(20):
        server.now += 1.0
        server.runs.run_started(server.now)
        server.routes.observe("called", server.now + 0.05)
        server.runs.run_ended(server.now + 0.051)
        server.routes.observe("called", server.now + 0.052)

    assert server.learned[-1] == ("called", True)


def test_a_server_that_is_always_full_tells_nothing():
    server = Server()
    for _ in range(3):
        server.runs.run_started(0.0)

    assert not any(
        server.routes.observe("r", 20.0 + i * 0.1) for i in range(500)
    )


def test_a_route_that_callers_begin_to_use_is_theirs_within_seconds():
    server = Server()
    server.play(5, 40.0)
    assert ("called", True) in server.learned

    for i in range(20):
        server.now += 0.2
        if not server.runs.running:
            server.routes.observe("called", server.now + i * 0.01)

    assert server.learned[-1] == ("called", False)


def test_routes_are_forgotten_beyond_a_bound():
    server = Server()
    for i in range(MOST_ROUTES + 10):
        server.routes.observe(str(i), 0.0)

    assert len(server.routes._evidence) == MOST_ROUTES


def test_only_routes_that_callers_surely_use_are_theirs():
    """What is unclear adds to no budget of repeats."""
    server = Server()
    assert not server.routes.is_external("read")
    server.play(5, 20.0)

    assert server.routes.is_external("read")
    assert not server.routes.is_external("called")
