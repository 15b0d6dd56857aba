"""Real node processes: what membership costs and how a node leaves."""

import functools
import json
import pathlib
import signal
import tempfile
import threading
import time
from typing import Any

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import Process
from tests.support.processes import wait_until

KEY = ("--peer-key", "0123456789abcdef0123456789abcdef")
_DOMAINS = ("genova-a", "genova-b", "savona")
_SAMPLE = 10
_START_LIMIT_S = 60.0
#: Below the range that outgoing connections take their ports from.
_FIRST_PORT = 21_000
_FAULTS: dict[str, dict[str, Any]] = {
    "up": {},
    "slow": {"delay_ms": 500.0},
    "down": {"down": "refuse"},
}

Row = dict[str, Any]


def _name(number: int) -> str:
    return f"prenota-{number}"


def _inventory(size: int, folder: pathlib.Path) -> pathlib.Path:
    targets = [
        {
            "name": _name(n),
            "service": "prenota",
            "failure_domain": _DOMAINS[n % len(_DOMAINS)],
            "slots": 9,
        }
        for n in range(size)
    ]
    file = folder / "inventory.json"
    value = {
        "failure_domains": [{"name": name} for name in _DOMAINS],
        "services": [{"name": "prenota"}],
        "targets": targets,
    }
    file.write_text(json.dumps(value))
    return file


def _start(fleet: Fleet, size: int) -> None:
    for number in range(size):
        domain = _DOMAINS[number % len(_DOMAINS)]
        first = _FIRST_PORT + 4 * number
        fleet.ports[_name(number)] = list(range(first, first + 4))
        fleet.start_node(_name(number), "prenota", domain, *KEY)


def _alive(fleet: Fleet, number: int) -> int:
    states = fleet.status(_name(number))["member_states"]
    return int(states.get("alive", 0))


def _knows(fleet: Fleet, number: int, alive: int) -> bool:
    return _alive(fleet, number) == alive


def _answers(url: str) -> bool:
    return fetch(url)[0] == 200


def _faults(fleet: Fleet, faults: dict[str, Any]) -> None:
    url = f"http://{fleet.store}/standin/faults"
    fetch(url, "POST", json.dumps(faults).encode())


def _store_calls(fleet: Fleet) -> dict[str, int]:
    body = fetch(f"http://{fleet.store}/standin/counters")[2]
    calls: dict[str, int] = json.loads(body)["calls"]
    return calls


def _contact_calls(fleet: Fleet, sample: range) -> dict[str, float]:
    """Returns the mean calls of a node for the contact records, by kind."""
    total: dict[str, float] = {}
    for number in sample:
        calls = fleet.status(_name(number))["contact_store_calls"]
        for kind, count in calls.items():
            total[kind] = total.get(kind, 0) + count / len(sample)
    return total


def _io_bytes(process: Process) -> int:
    """Returns what the process read and wrote, sockets included (bytes)."""
    text = pathlib.Path(f"/proc/{process.pid()}/io").read_text()
    fields = dict(line.split(": ") for line in text.splitlines())
    return int(fields["rchar"]) + int(fields["wchar"])


def node_rows(size: int, seconds: float) -> list[Row]:
    """Returns the cost of each node with the store up, slow and down."""
    try:
        return _node_rows(size, seconds)
    except AssertionError as exc:
        return [{"nodes": size, "store": f"failed: {exc}"}]


def _node_rows(size: int, seconds: float) -> list[Row]:
    with tempfile.TemporaryDirectory() as folder, Fleet() as fleet:
        fleet.apply("inventory", _inventory(size, pathlib.Path(folder)))
        began = time.monotonic()
        _start(fleet, size)
        sample = range(0, size, max(1, size // _SAMPLE))
        for number in sample:
            wait_until(
                functools.partial(_knows, fleet, number, size),
                f"node {number} to know all {size}",
                _START_LIMIT_S,
            )
        started_s = time.monotonic() - began
        calls = _store_calls(fleet)
        contact_calls = _contact_calls(fleet, sample)
        rows = [
            _measured(fleet, size, sample, store, seconds) for store in _FAULTS
        ]
        _faults(fleet, {})
        rows[0] |= {"all known s": started_s, "store calls at start": calls}
        rows[0] |= {"contact calls": contact_calls}
        rows[-1] |= {"left known s": _left_s(fleet, size, sample)}
        columns = {key: "" for row in rows for key in row}
        return [columns | row for row in rows]


def _measured(
    fleet: Fleet, size: int, sample: range, store: str, seconds: float
) -> Row:
    _faults(fleet, _FAULTS[store])
    nodes = [fleet.processes[f"node {_name(n)}"] for n in sample]
    time.sleep(1.0)
    before = _counters(fleet, sample)
    cpu_s = sum(node.cpu_s() for node in nodes)
    io = sum(_io_bytes(node) for node in nodes)
    began = time.monotonic()
    time.sleep(seconds)
    passed = (time.monotonic() - began) * len(nodes)
    cpu_s = sum(node.cpu_s() for node in nodes) - cpu_s
    io = sum(_io_bytes(node) for node in nodes) - io
    after = _counters(fleet, sample)
    resident = sum(node.resident_bytes() for node in nodes) / len(nodes)
    return {
        "nodes": size,
        "store": store,
        "gossip messages/s/node": (after[0] - before[0]) / passed,
        "gossip payload B/s/node": (after[1] - before[1]) / passed,
        "all reads+writes B/s/node": io / passed,
        "CPU %/node": cpu_s / passed * 100,
        "RSS MB/node": resident / 1e6,
        "alive seen (least)": min(_alive(fleet, n) for n in sample),
    }


def _counters(fleet: Fleet, sample: range) -> tuple[int, int]:
    messages = size = 0
    for number in sample:
        traffic = fleet.status(_name(number))["gossip_traffic"]
        messages += traffic["messages_sent"] + traffic["messages_received"]
        size += traffic["bytes_sent"] + traffic["bytes_received"]
    return messages, size


def _left_s(fleet: Fleet, size: int, sample: range) -> float:
    """Returns how long until the sampled nodes know that one is leaving."""
    leaver = next(n for n in range(size) if n not in sample or n == size - 1)
    fleet.processes[f"node {_name(leaver)}"].send(signal.SIGTERM)
    began = time.monotonic()
    for number in sample:
        if number != leaver:
            wait_until(
                functools.partial(_knows, fleet, number, size - 1),
                "the leave to be told",
            )
    return time.monotonic() - began


def leaving_row(run: int) -> Row:
    """Returns what a planned stop under load does to requests."""
    with tempfile.TemporaryDirectory() as folder, Fleet() as fleet:
        size = 4
        for number in range(size):
            domain = _DOMAINS[number % len(_DOMAINS)]
            fleet.start_backend(_name(number), "--service-ms", "20")
            fleet.start_node(_name(number), "prenota", domain, *KEY)
        fleet.apply("inventory", _inventory(size, pathlib.Path(folder)))
        for number in range(size):
            url = fleet.caller_url(_name(number)) + "/prenota/x"
            wait_until(
                functools.partial(_knows, fleet, number, size),
                "all to be known",
            )
            wait_until(functools.partial(_answers, url), url)
        return {"run": run} | _stop_under_load(fleet)


def _stop_under_load(fleet: Fleet) -> Row:
    leaver = _name(1)
    done = threading.Event()
    served: list[tuple[float, bool]] = []
    failed: list[str] = []

    def call(entry: str) -> None:
        url = fleet.caller_url(entry) + "/prenota/booking"
        while not done.is_set():
            sent = time.monotonic()
            status, fields, body = fetch(url, "POST", b"x")
            if status != 200:
                failed.append(fields.get("radishwind-code", str(status)))
            served.append((sent, body.startswith(leaver.encode() + b" ran")))

    threads = [
        threading.Thread(target=call, args=(_name(n % 2 * 2),))
        for n in range(12)
    ]
    for thread in threads:
        thread.start()
    wait_until(lambda: sum(by for _, by in served) > 100, "work at the leaver")
    node = fleet.processes[f"node {leaver}"]
    stopped = time.monotonic()
    node.send(signal.SIGTERM)
    code = node.wait()
    ended = time.monotonic()
    done.set()
    for thread in threads:
        thread.join()
    last = max((sent for sent, by in served if by), default=stopped)
    return {
        "requests": len(served),
        "not answered 200": len(failed),
        "their codes": ", ".join(sorted(set(failed))),
        "last new request s": max(0.0, last - stopped),
        "exit s": ended - stopped,
        "exit code": code,
    }
