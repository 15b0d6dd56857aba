"""At-most-once bookings through real processes under load.

Guards against a booking that runs twice, or runs though every sending was
reported as not run, while a node is killed or frozen or the store is gone.
"""

import collections
import concurrent.futures
import json
import signal
import threading

import pytest

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

pytestmark = pytest.mark.processes

TARGETS = ("prenota-1", "prenota-2", "prenota-3")
FAST_PROBE_OPTIONS = ("--probe-period-s", "0.1", "--probe-timeout-s", "0.1")


@pytest.fixture
def fleet(tmp_path):
    file = tmp_path / "inventory.json"
    target = {"service": "prenota", "failure_domain": "savona", "slots": 9}
    file.write_text(
        json.dumps(
            {
                "failure_domains": [{"name": "savona"}],
                "services": [{"name": "prenota"}],
                "targets": [{"name": name, **target} for name in TARGETS],
            }
        )
    )
    with Fleet() as fleet:
        for name in TARGETS:
            fleet.start_backend(name, "--service-ms", "20")
            fleet.start_node(name, "prenota", "savona", *FAST_PROBE_OPTIONS)
        fleet.apply("inventory", file)
        for name in TARGETS:
            wait_until(
                lambda name=name: fleet.status(name)["members"] == 3, name
            )
            url = fleet.caller_url(name) + "/prenota/x"
            wait_until(lambda url=url: fetch(url)[0] == 200, url)
        yield fleet


def book(fleet, entry, key, timeout_ms):
    """Books once; returns `None` if the connection to the entry node failed."""
    url = fleet.caller_url(entry) + "/prenota/booking"
    headers = {"Idempotency-Key": key, "Radishwind-Timeout-Ms": timeout_ms}
    try:
        return fetch(url, "POST", key.encode(), headers)
    except OSError:
        return None


def count_runs(fleet):
    """Returns the number of runs of each key over all servers."""
    found = collections.Counter()
    for name in TARGETS:
        url = fleet.backend_url(name) + "/standin/counters"
        found.update(json.loads(fetch(url)[2])["runs"])
    return found


def make_worker(fleet, entries, stop, answers, timeout_ms="2000"):
    """Returns a worker that books each new key at two nodes until `stop`."""

    def worker_loop(worker):
        number = 0
        while not stop.is_set():
            number += 1
            key = f"w{worker}-{number}"
            for entry in entries:
                answers.append((key, book(fleet, entry, key, timeout_ms)))

    return worker_loop


def get_code(answer):
    return answer[1][1].get("radishwind-code") if answer[1] else None


def check_answers(fleet, answers):
    ran = count_runs(fleet)
    keys = {key for key, _ in answers}
    assert [key for key in keys if ran[key] > 1] == []
    by_key = collections.defaultdict(list)
    for key, answer in answers:
        by_key[key].append(answer)
    for key, key_answers in by_key.items():
        outcomes = [a[1].get("radishwind-outcome") for a in key_answers if a]
        if (
            outcomes
            and len(outcomes) == len(key_answers)
            and set(outcomes) == {"not-run"}
        ):
            assert ran[key] == 0, f"{key} was reported as not run but ran"
        for answer in key_answers:
            if answer and answer[0] == 200:
                assert ran[key] == 1
                size = f"({len(key)} bytes)".encode()
                assert size in answer[2]


def test_killed_node_under_load_runs_no_booking_twice(fleet):
    stop, answers = threading.Event(), []
    worker_loop = make_worker(fleet, ("prenota-1", "prenota-3"), stop, answers)
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [pool.submit(worker_loop, worker) for worker in range(6)]
        wait_until(
            lambda: any(
                a and a[2].startswith(b"prenota-2") for _, a in answers
            ),
            "requests at the node that will be killed",
        )
        fleet.processes["node prenota-2"].send(signal.SIGKILL)
        wait_until(
            lambda: fleet.status("prenota-1")["member_states"].get("dead"),
            "the killed node to be known as dead",
        )
        seen = len(answers)
        wait_until(lambda: len(answers) > seen + 50, "bookings after that")
        stop.set()
        for future in futures:
            future.result()

    check_answers(fleet, answers)
    assert any(a[0] == 200 for _, a in answers[-50:])


def test_frozen_entry_node_and_a_store_gone_run_no_booking_twice(fleet):
    stop, answers = threading.Event(), []
    # Shorter than the time until a silent node is declared dead.
    timeout_ms = "200"
    entries = ("prenota-2", "prenota-1")
    worker_loop = make_worker(fleet, entries, stop, answers, timeout_ms)
    frozen = fleet.processes["node prenota-2"]
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        futures = [pool.submit(worker_loop, worker) for worker in range(6)]
        wait_until(lambda: len(answers) > 30, "bookings")
        frozen.send(signal.SIGSTOP)
        wait_until(
            lambda: fleet.status("prenota-1")["member_states"].get("dead"),
            "the frozen node to be known as dead, past every deadline",
        )
        frozen.send(signal.SIGCONT)
        wait_until(
            lambda: fleet.status("prenota-1")["member_states"] == {"alive": 3},
            "the frozen node to be known as alive",
        )
        seen = len(answers)
        wait_until(lambda: len(answers) > seen + 30, "bookings after that")
        fleet.processes["store"].send(signal.SIGKILL)
        wait_until(
            lambda: get_code(answers[-1]) == "4006",
            "the outage to be reported",
        )
        stop.set()
        for future in futures:
            future.result()

    check_answers(fleet, answers)
    url = fleet.caller_url("prenota-1") + "/prenota/x"
    assert fetch(url)[0] == 200
