"""Membership and the planned stop through separate processes.

Guards against membership that depends on the store, a paused node that stays
dead, requests that fail during a planned stop, and nodes with a wrong key.
"""

import concurrent.futures
import json
import pathlib
import signal
import threading

import pytest

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

pytestmark = pytest.mark.processes

PEER_KEY_OPTIONS = ("--peer-key", "0123456789abcdef,fedcba9876543210")
FAST_PROBE_OPTIONS = ("--probe-period-s", "0.1", "--probe-timeout-s", "0.1")
TARGETS = ("prenota-1", "prenota-2", "prenota-3")
DOMAIN = "savona"


def write_inventory(directory: pathlib.Path) -> pathlib.Path:
    file = directory / "inventory.json"
    targets = [
        {
            "name": name,
            "service": "prenota",
            "failure_domain": DOMAIN,
            "slots": 9,
        }
        for name in TARGETS
    ]
    value = {
        "failure_domains": [{"name": DOMAIN}],
        "services": [{"name": "prenota"}],
        "targets": targets,
    }
    file.write_text(json.dumps(value))
    return file


def get_member_states(fleet, target):
    return fleet.status(target)["member_states"]


@pytest.fixture
def fleet(tmp_path):
    with Fleet() as fleet:
        for target in TARGETS:
            fleet.start_backend(target, "--service-ms", "20")
            fleet.start_node(
                target,
                "prenota",
                DOMAIN,
                *PEER_KEY_OPTIONS,
                *FAST_PROBE_OPTIONS,
            )
        fleet.apply("inventory", write_inventory(tmp_path))
        for target in TARGETS:
            wait_until(
                lambda t=target: get_member_states(fleet, t) == {"alive": 3},
                "members to find each other",
            )
            url = fleet.caller_url(target) + "/prenota/x"
            wait_until(lambda url=url: fetch(url)[0] == 200, url)
        yield fleet


def test_membership_goes_on_without_the_store(fleet):
    fleet.processes.pop("store").end()
    fleet.processes["node prenota-2"].end()

    wait_until(
        lambda: (
            get_member_states(fleet, "prenota-1") == {"alive": 2, "dead": 1}
        ),
        "the ended node to be known as dead",
    )
    seed = f"127.0.0.1:{fleet.ports['prenota-1'][2]}"
    fleet.start_node(
        "prenota-2",
        "prenota",
        DOMAIN,
        *PEER_KEY_OPTIONS,
        *FAST_PROBE_OPTIONS,
        "--seeds",
        seed,
    )

    for target in TARGETS:
        wait_until(
            lambda t=target: get_member_states(fleet, t) == {"alive": 3},
            "the restarted node to be known",
        )


def test_paused_node_comes_back(fleet):
    node = fleet.processes["node prenota-2"]
    node.send(signal.SIGSTOP)
    wait_until(
        lambda: get_member_states(fleet, "prenota-1").get("alive") == 2,
        "suspicion",
    )
    node.send(signal.SIGCONT)

    for target in TARGETS:
        wait_until(
            lambda t=target: get_member_states(fleet, t) == {"alive": 3},
            "the paused node to be alive again",
        )


def test_planned_stop_under_load_loses_nothing(fleet):
    stop = threading.Event()
    bodies: list[bytes] = []

    def book(entry: str) -> list[tuple[int, str]]:
        url = fleet.caller_url(entry) + "/prenota/booking"
        failures = []
        while not stop.is_set():
            status, fields, body = fetch(url, "POST", b"x")
            bodies.append(body)
            if status != 200:
                failures.append((status, fields.get("radishwind-code", "")))
        return failures

    entries = ("prenota-1", "prenota-3") * 4
    with concurrent.futures.ThreadPoolExecutor(len(entries)) as pool:
        futures = [pool.submit(book, entry) for entry in entries]
        wait_until(
            lambda: any(b.startswith(b"prenota-2") for b in bodies),
            "requests at the node that will be stopped",
        )
        node = fleet.processes["node prenota-2"]
        node.send(signal.SIGTERM)
        code = node.wait()
        stop.set()
        failures = [item for future in futures for item in future.result()]

    assert code == 0
    assert failures == []
    wait_until(
        lambda: (
            get_member_states(fleet, "prenota-1") == {"alive": 2, "dead": 1}
        ),
        "the stopped node to be known as dead",
    )


def test_node_with_another_key_is_refused(fleet, tmp_path):
    key_file = tmp_path / "key"
    key_file.write_text("another-key-of-32-characters-long")
    fleet.start_backend("prenota-4")
    fleet.start_node(
        "prenota-4",
        "prenota",
        DOMAIN,
        *("--peer-key-file", str(key_file)),
        *FAST_PROBE_OPTIONS,
    )

    refused = wait_until(
        lambda: sum(
            fleet.status(target)["peer_requests_refused"].get("6001", 0)
            for target in TARGETS
        ),
        "its messages to be refused",
    )

    assert refused > 0
    assert get_member_states(fleet, "prenota-1") == {"alive": 3}


@pytest.mark.parametrize("listen", ["0.0.0.0:0", "10.0.0.1:8081"])
def test_listener_beyond_loopback_needs_a_key(listen):
    with Fleet() as fleet:
        fleet.start_node(
            "prenota-1", "prenota", DOMAIN, "--peer-listen", listen
        )

        assert fleet.processes["node prenota-1"].wait() == 78
