"""Start-up time and resident memory of a node, whole and without control.

    python -m bench.footprint

"Without control" is `bench.data_path`: the same slices of the data path and
the caller listener, without peer and admin listeners, membership, claims,
configuration tasks and metrics. "Libraries" has imported uvloop and aiohttp's
client and server and does nothing.
"""

import argparse
import asyncio
import functools
import os
import pathlib
import statistics
import subprocess
import sys
import tempfile
import time
from typing import Any

from tests.support.processes import fetch
from tests.support.processes import find_free_ports
from tests.support.processes import Fleet
from tests.support.processes import Process
from tests.support.processes import SRC
from tests.support.processes import WAIT_LIMIT_S
from tests.support.processes import wait_until
import uvloop

from bench.hops import inventory_file
from bench.load import LoadPlan
from bench.load import RequestKind
from bench.load import run_load
from bench.report import keep

_STEP_S = 0.002
_MB = 1e6
_LIBRARIES = "import time, uvloop, aiohttp.web; time.sleep(3600)"


class _Python(Process):
    """One Python process of the bench."""

    def __init__(self, *arguments: str) -> None:
        self._log = tempfile.TemporaryFile()  # noqa: SIM115
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            env={**os.environ, "PYTHONPATH": SRC},
            stderr=self._log,
        )


def _start_up_s(fleet: Fleet, target: str) -> float:
    """Returns the time from the start of a node to its first status (s)."""
    began = time.monotonic()
    fleet.start_node(target, target.rpartition("-")[0], "a")
    while time.monotonic() - began < WAIT_LIMIT_S:
        try:
            fleet.status(target)
        except OSError:
            time.sleep(_STEP_S)
            continue
        return time.monotonic() - began
    raise AssertionError(f"node {target} did not answer")


def _start_ups(fleet: Fleet, rounds: int) -> list[dict[str, Any]]:
    times_s = []
    for _ in range(rounds):
        times_s.append(_start_up_s(fleet, "other-1"))
        fleet.processes.pop("node other-1").end()
    return [
        {
            "starts": rounds,
            "median s": statistics.median(times_s),
            "least s": min(times_s),
            "most s": max(times_s),
        }
    ]


def _answers(url: str) -> bool:
    return fetch(url)[0] == 200


def _memory(
    kind: str, process: Process, url: str, options: argparse.Namespace
) -> dict[str, Any]:
    wait_until(functools.partial(_answers, url), url)
    time.sleep(options.idle)
    idle = process.resident_bytes()
    plan = LoadPlan(
        (RequestKind(url, "POST", body=b"x" * 100),),
        options.rate,
        options.requests / options.rate,
        options.seed,
    )
    result = asyncio.run(run_load(plan))
    after = process.resident_bytes()
    return {
        "process": kind,
        "idle MB": idle / _MB,
        "requests": result.count(),
        "not answered": result.count() - result.good.get_total_count(),
        "MB after": after / _MB,
        "growth MB": (after - idle) / _MB,
    }


def _libraries() -> dict[str, Any]:
    process = _Python("-c", _LIBRARIES)
    time.sleep(2.0)
    idle = process.resident_bytes()
    process.end()
    return {"process": "libraries", "idle MB": idle / _MB}


def _memories(
    fleet: Fleet, options: argparse.Namespace
) -> list[dict[str, Any]]:
    port = find_free_ports(1)[0]
    bare = _Python(
        *("-m", "bench.data_path", "--listen", f"127.0.0.1:{port}"),
        *("--server", f"127.0.0.1:{fleet.ports['echo-1'][0]}"),
    )
    fleet.processes["data path"] = bare
    node = fleet.processes["node echo-1"]
    node_url = fleet.caller_url("echo-1") + "/echo/x"
    bare_url = f"http://127.0.0.1:{port}/echo/x"
    return [
        _memory("node", node, node_url, options),
        _memory("without control", bare, bare_url, options),
        _libraries(),
    ]


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--starts", type=int, default=5)
    parser.add_argument("--requests", type=int, default=5000)
    parser.add_argument("--rate", type=float, default=300.0, help="1/s")
    parser.add_argument("--idle", type=float, default=5.0, help="s")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    uvloop.install()
    with tempfile.TemporaryDirectory() as folder, Fleet() as fleet:
        fleet.start_backend("echo-1", "--service-ms", "0", "--slots", "64")
        fleet.start_node("echo-1", "echo", "a")
        fleet.apply("inventory", inventory_file(pathlib.Path(folder)))
        memories = _memories(fleet, options)
        starts = _start_ups(fleet, options.starts)
    keep(
        "footprint",
        "Start-up time and memory of a node",
        f"python -m bench.footprint --starts {options.starts} "
        f"--requests {options.requests} --rate {options.rate:g} "
        f"--idle {options.idle:g} --seed {options.seed}",
        [("Resident memory", memories), ("Start-up", starts)],
        "Resident memory is that of /proc/PID/statm, pages shared with other "
        f"processes counted, {options.idle:g} s after the first answer and "
        "right after the requests. Without control: bench.data_path, the "
        "slices of the data path behind one listener, without membership, "
        "claims, configuration tasks and metrics. Start-up: from the start of "
        "the process until /v1/status answers, the store being up.",
    )


if __name__ == "__main__":
    main()
