"""What probing costs the server, metered at the server.

    python -m bench.probing

One backend stand-in of Onda's size (9 slots, a probe of 6 ms) and its node, as
processes: silent, at 80% load, and at 150% load where its slots are full; once
with requests short enough that the node's processor time is the limit, and once
with longer ones.
"""

import argparse
import asyncio
import json
import pathlib
import tempfile
import time
from typing import Any

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until
import uvloop

from bench.load import LoadPlan
from bench.load import RequestKind
from bench.load import run_load
from bench.report import keep

TARGET = "bollettino-1"
SLOTS = 9

#: Mean times of requests (ms), a run of all phases each.
SERVICES_MS = (20.0, 60.0)

#: How long a probe holds a slot (ms).
PROBE_MS = 6.0


def _counters(fleet: Fleet) -> dict[str, Any]:
    url = fleet.backend_url(TARGET) + "/standin/counters"
    counters: dict[str, Any] = json.loads(fetch(url)[2])
    return counters


def _start(fleet: Fleet, folder: pathlib.Path, service_ms: float) -> None:
    target = {
        "name": TARGET,
        "service": "bollettino",
        "failure_domain": "genova-a",
        "slots": SLOTS,
        "connections": 250,
    }
    inventory = {
        "failure_domains": [{"name": "genova-a"}],
        "services": [{"name": "bollettino"}],
        "targets": [target],
    }
    file = folder / "inventory.json"
    file.write_text(json.dumps(inventory))
    fleet.start_backend(
        TARGET,
        *("--slots", str(SLOTS), "--service-ms", str(service_ms)),
        *("--probe-ms", str(PROBE_MS)),
    )
    fleet.start_node(TARGET, "bollettino", "genova-a")
    fleet.apply("inventory", file)
    url = fleet.caller_url(TARGET) + "/bollettino/x"
    wait_until(lambda: fetch(url)[0] == 200, url)


def _answered(
    fleet: Fleet, load: float, service_ms: float, seconds: float, seed: int
) -> str:
    """Asks at `load` (share of capacity) for `seconds`; returns % answered."""
    if not load:
        time.sleep(seconds)
        return ""
    rate = load * SLOTS / (service_ms / 1000)
    shot = RequestKind(fleet.caller_url(TARGET) + "/bollettino/x")
    plan = LoadPlan((shot,), rate, seconds, seed, 0.0)
    result = asyncio.run(run_load(plan))
    return f"{100 * result.good.get_total_count() / result.count():.1f}"


def _phase(
    fleet: Fleet,
    name: str,
    load: float,
    service_ms: float,
    options: argparse.Namespace,
) -> dict[str, Any]:
    node = fleet.processes[f"node {TARGET}"]
    before, cpu_before_s = _counters(fleet), node.cpu_s()
    seconds = options.seconds
    answered = _answered(fleet, load, service_ms, seconds, options.seed)
    after, node_s = _counters(fleet), node.cpu_s() - cpu_before_s
    spent = {
        key: after[key] - before[key]
        for key in ("probes", "probe_s", "probes_into_full", "run_s")
    }
    slot_s = seconds * SLOTS
    return {
        "phase": name,
        "probes": spent["probes"],
        "probe time s": spent["probe_s"],
        "probe % of slot time": 100 * spent["probe_s"] / slot_s,
        "probes into full slots": spent["probes_into_full"],
        "requests % of slot time": 100 * spent["run_s"] / slot_s,
        "answered %": answered,
        "node % of a core": 100 * node_s / seconds,
    }


def _measure(
    service_ms: float, options: argparse.Namespace
) -> tuple[list[dict[str, Any]], dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder, Fleet() as fleet:
        _start(fleet, pathlib.Path(folder), service_ms)
        rows = [
            _phase(fleet, name, load, service_ms, options)
            for name, load in (
                ("silent", 0.0),
                ("80% load", 0.8),
                ("150% load", 1.5),
                ("silent again", 0.0),
            )
        ]
        return rows, fleet.status(TARGET)["probing"]


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="a phase")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    uvloop.install()
    sections = []
    for service_ms in SERVICES_MS:
        rows, told = _measure(service_ms, options)
        title = f"Requests of {service_ms:g} ms"
        sections += [(title, rows), (f"{title}: told by the node", [told])]
    keep(
        "probing",
        "What probing costs the server",
        f"python -m bench.probing --seconds {options.seconds:g} "
        f"--seed {options.seed}",
        sections,
        f"Metered at the stand-in: {SLOTS} slots, probes of {PROBE_MS:g} ms, a "
        "budget of 1% of slot time. The node's own figure counts from its "
        "start and includes the way there and back.",
    )


if __name__ == "__main__":
    main()
