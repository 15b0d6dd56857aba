"""Added latency of one hop and of two, over a direct call, by HTTP library.

    python -m bench.hops

Direct: load to server. One hop: load, the node beside the server, server. Two
hops: load, another node, the node beside the server, server. The three are
loaded in turn within each round, so that noise of the machine meets all alike.
"""

import argparse
import asyncio
import dataclasses
import functools
import json
import pathlib
import statistics
import tempfile
from typing import Any

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until
import uvloop

from bench.load import LoadPlan
from bench.load import LoadResult
from bench.load import RequestKind
from bench.load import run_load
from bench.report import keep

_LIBRARIES = ("hypercorn-httpx", "aiohttp")
_PATHS = ("direct", "one hop", "two hops")
_BODY_BYTES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """One path in one round.

    Attributes:
      result: the load's result.
      cpu_s: processor time of both nodes together, a request (s).
    """

    result: LoadResult
    cpu_s: float


def inventory_file(folder: pathlib.Path) -> pathlib.Path:
    """Writes an inventory of two services with a target each."""
    targets = [
        {
            "name": f"{service}-1",
            "service": service,
            "failure_domain": "a",
            "slots": 64,
        }
        for service in ("echo", "other")
    ]
    file = folder / "inventory.json"
    file.write_text(
        json.dumps(
            {
                "failure_domains": [{"name": "a"}],
                "services": [{"name": "echo"}, {"name": "other"}],
                "targets": targets,
            }
        )
    )
    return file


def _start(fleet: Fleet, library: str, inventory: pathlib.Path) -> None:
    for service in ("echo", "other"):
        target = f"{service}-1"
        fleet.start_backend(target, "--service-ms", "0", "--slots", "64")
        fleet.start_node(target, service, "a", "--http-library", library)
    fleet.apply("inventory", inventory)
    for target in ("echo-1", "other-1"):
        url = fleet.caller_url(target) + "/echo/x"
        wait_until(functools.partial(_answers, url), url)


def _answers(url: str) -> bool:
    return fetch(url)[0] == 200


def _urls(fleet: Fleet) -> dict[str, str]:
    return {
        "direct": f"http://127.0.0.1:{fleet.ports['echo-1'][0]}/echo/x",
        "one hop": fleet.caller_url("echo-1") + "/echo/x",
        "two hops": fleet.caller_url("other-1") + "/echo/x",
    }


def _round(
    fleet: Fleet, rate: float, seconds: float, seed: int
) -> dict[str, Sample]:
    urls = _urls(fleet)
    samples = {}
    for name in _PATHS:
        kind = RequestKind(urls[name], "POST", body=b"x" * _BODY_BYTES)
        before_s = _node_cpu_s(fleet)
        plan = LoadPlan((kind,), rate, seconds, seed)
        result = asyncio.run(run_load(plan))
        cpu_s = _node_cpu_s(fleet) - before_s
        samples[name] = Sample(result, cpu_s / (rate * seconds))
    return samples


def _node_cpu_s(fleet: Fleet) -> float:
    names = [name for name in fleet.processes if name.startswith("node ")]
    return sum(fleet.processes[name].cpu_s() for name in names)


def _measure(library: str, options: argparse.Namespace) -> list[dict[str, Any]]:
    with tempfile.TemporaryDirectory() as folder, Fleet() as fleet:
        _start(fleet, library, inventory_file(pathlib.Path(folder)))
        rounds = [
            _round(fleet, options.rate, options.seconds, options.seed + number)
            for number in range(options.rounds)
        ]
    return [_row(library, name, rounds) for name in _PATHS]


def _row(
    library: str, name: str, rounds: list[dict[str, Sample]]
) -> dict[str, Any]:
    row: dict[str, Any] = {"library": library, "path": name}
    results = [r[name].result for r in rounds]
    for percent in (50, 99):
        times = [r.percentile_ms(percent) for r in results]
        added = [
            r[name].result.percentile_ms(percent)
            - r["direct"].result.percentile_ms(percent)
            for r in rounds
        ]
        row[f"p{percent} ms"] = statistics.median(times)
        row[f"added p{percent} ms"] = statistics.median(added)
        row[f"added p{percent} spread"] = (
            f"{min(added):.2f} to {max(added):.2f}"
        )
    row["node CPU ms a request"] = statistics.median(
        r[name].cpu_s * 1000 for r in rounds
    )
    row["requests"] = sum(r.count() for r in results)
    row["not answered"] = sum(
        r.count() - r.good.get_total_count() for r in results
    )
    return row


def main() -> None:
    """Runs the bench."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=340.0, help="1/s")
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    uvloop.install()
    rows = []
    for library in _LIBRARIES:
        rows += _measure(library, options)
    keep(
        "hops",
        "Added latency by hops and HTTP library",
        f"python -m bench.hops --rate {options.rate:g} "
        f"--seconds {options.seconds:g} --rounds {options.rounds} "
        f"--seed {options.seed}",
        [("Latency", rows)],
        f"POST of {_BODY_BYTES} bytes, {options.rate:g} requests a second; "
        "median of the rounds, with the least and the most of them.",
    )


if __name__ == "__main__":
    main()
