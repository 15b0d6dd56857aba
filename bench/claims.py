"""What a keyed call costs: store calls, time, bytes, claims per second.

    python -m bench.claims --seed 1

Four ways run in turn in each round, through one stand-in of the store on
loopback (its own process): no claims, a claim whose result is written singly,
one whose results are written in groups, and claims and results in groups. The
server beside is a function, so that only the claims differ.
"""

import argparse
import collections
from collections.abc import Sequence
import dataclasses
import os
import random
import statistics
import subprocess
import sys
import time
from typing import Any

import anyio
import anyio.lowlevel
import msgspec

from bench.report import keep
from radishwind.claims import claim_update_queue
from radishwind.claims.claim_record import CLAIM_PREFIX
from radishwind.claims.claim_writer import BatchClaimWriter
from radishwind.claims.claim_writer import ClaimWriter
from radishwind.config.model import ServiceRules
from radishwind.core import SystemClock
from radishwind.entry import Call
from radishwind.http import Address
from radishwind.http import make_sender
from radishwind.http import Request
from radishwind.http import Response
from radishwind.http.factory import HttpLibrary
from radishwind.node.claims import make_claims
from radishwind.node.claims import NodeClaims
from radishwind.outcomes import Done
from radishwind.outcomes import Outcome
from radishwind.settings import NodeSettings
from radishwind.store import Compare
from radishwind.store import EtcdStore
from radishwind.store import Put
from radishwind.store import Store
from radishwind.store import TxnResult
from radishwind.store.position import StorePosition
from radishwind.supervision import Duty
from radishwind.supervision import run_together

_ANSWER = b'{"booking": "7f31c6", "state": "confirmed"}' * 4
_RULES = ServiceRules()
_UNBOUNDED_PER_S = 100_000.0


class PacedStore(Store):
    """Passes calls on; its writes keep to a rate, as the platform's do.

    Args:
      store: the store.
      writes_per_s: the rate; 0 for no limit.
    """

    def __init__(self, store: Store, writes_per_s: float) -> None:
        self._store = store
        self._gap_s = 1 / writes_per_s if writes_per_s else 0.0
        self._next = 0.0
        self.calls: collections.Counter[str] = collections.Counter()

    async def get(self, key: str, *, allow_stale: bool = False) -> Any:
        self.calls["read"] += 1
        return await self._store.get(key, allow_stale=allow_stale)

    async def list(
        self, prefix: str, limit: int = 0, *, allow_stale: bool = False
    ) -> Any:
        return await self._store.list(prefix, limit, allow_stale=allow_stale)

    async def position(self) -> StorePosition:
        return await self._store.position()

    async def transact(
        self, compares: Sequence[Compare], operations: Sequence[Any]
    ) -> TxnResult:
        self.calls["write"] += 1
        await self._pace()
        return await self._store.transact(compares, operations)

    async def grant(self, ttl_s: int) -> int:
        self.calls["grant"] += 1
        await self._pace()
        return await self._store.grant(ttl_s)

    async def keep_alive(self, lease_id: int) -> int:
        return await self._store.keep_alive(lease_id)

    async def revoke(self, lease_id: int) -> None:
        await self._store.revoke(lease_id)

    def watch(self, prefix: str, start: StorePosition) -> Any:
        return self._store.watch(prefix, start)

    async def close(self) -> None:
        await self._store.close()

    async def _pace(self) -> None:
        if not self._gap_s:
            return
        now = time.monotonic()
        self._next = max(now, self._next + self._gap_s)
        await anyio.sleep(self._next - now)


class SingleWriter(ClaimWriter):
    """One transaction for each claim; the baseline."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def write(self, compare: Compare, put: Put) -> TxnResult:
        return await self._store.transact((compare,), (put,))

    def duties(self) -> tuple[Duty, ...]:
        return ()


WAYS = ("no claims", "results singly", "results grouped", "both grouped")


@dataclasses.dataclass(frozen=True, slots=True)
class Spent:
    """What one load took.

    Attributes:
      answered_s: until each call was answered (s).
      written_s: until each result was in the store too (s).
      cpu_s: processor time of this process until then (s).
    """

    answered_s: float
    written_s: float
    cpu_s: float


class Cell:
    """One way at one load: runs it and sums it up."""

    def __init__(self, args: argparse.Namespace, port: int) -> None:
        self._args = args
        self._address = Address("127.0.0.1", port)
        self._rng = random.Random(args.seed)
        self._serial = 0
        self._latencies_s: list[float] = []

    async def run(
        self, way: str, workers: int, repeats: float, writes_per_s: float
    ) -> dict[str, Any]:
        """Returns what `way` cost with `workers` callers at a time."""
        # Each way's results go out singly or grouped by this constant.
        claim_update_queue.MAX_BATCH_LENGTH = (
            1 if way == "results singly" else 32
        )
        sender = make_sender(HttpLibrary.AIOHTTP, connections=64)
        store = EtcdStore(sender, self._address, timeout_s=30.0)
        paced = PacedStore(store, writes_per_s)
        async with anyio.create_task_group() as tasks:
            claims = self._claims(paced, grouped=way == "both grouped")
            tasks.start_soon(run_together, claims.duties())
            await anyio.wait_all_tasks_blocked()
            spent = await self._timed(claims, paced, way, workers, repeats)
            tasks.cancel_scope.cancel()
        await sender.close()
        count = len(self._latencies_s)
        cuts = statistics.quantiles(self._latencies_s, n=100)
        return {
            "way": way,
            "workers": workers,
            "repeat_share": repeats,
            "store_writes_per_s": writes_per_s,
            "calls": count,
            "answered_per_s": count / spent.answered_s,
            "written_per_s": count / spent.written_s,
            "p50_ms": cuts[49] * 1000,
            "p99_ms": cuts[98] * 1000,
            "cpu_us_per_call": spent.cpu_s / count * 1e6,
            "writes_per_call": paced.calls["write"] / count,
            "reads_per_call": paced.calls["read"] / count,
            "grants": paced.calls["grant"],
        }

    def _claims(self, store: PacedStore, *, grouped: bool) -> NodeClaims:
        return make_claims(
            _settings(self._address),
            SystemClock(),
            random.Random(self._rng.getrandbits(64)),
            store,
            lambda: 1,
            BatchClaimWriter(store) if grouped else SingleWriter(store),
        )

    async def _timed(
        self,
        claims: NodeClaims,
        store: PacedStore,
        way: str,
        workers: int,
        repeats: float,
    ) -> Spent:
        """Runs the load and returns the time that it took."""
        old = await self._prepare(claims.guard, way, repeats)
        await claims.wait_drained()
        store.calls.clear()
        self._latencies_s = []
        began, cpu = time.perf_counter(), time.process_time()
        await self._load(claims.guard, way, workers, repeats, old)
        answered_s = time.perf_counter() - began
        await claims.wait_drained()
        written_s = time.perf_counter() - began
        return Spent(answered_s, written_s, time.process_time() - cpu)

    async def _prepare(
        self, guard: Any, way: str, repeats: float
    ) -> list[Call]:
        """Returns calls that another node has claimed before."""
        calls = [self._call() for _ in range(20 if repeats else 1)]
        for call in calls:
            await _run(guard, way, call)
        guard._cache._entries.clear()
        return calls

    async def _load(
        self,
        guard: Any,
        way: str,
        workers: int,
        repeats: float,
        old: list[Call],
    ) -> None:
        left = [self._args.calls]

        async def work() -> None:
            while left[0] > 0:
                left[0] -= 1
                repeat = self._rng.random() < repeats
                call = self._rng.choice(old) if repeat else self._call()
                began = time.perf_counter()
                await _run(guard, way, call)
                self._latencies_s.append(time.perf_counter() - began)
                if repeat:
                    guard._cache._entries.clear()

        async with anyio.create_task_group() as tasks:
            for _ in range(workers):
                tasks.start_soon(work)

    def _call(self) -> Call:
        self._serial += 1
        now = SystemClock()
        body = b'{"school": "onda", "slot": "2026-08-01T06:30"}'
        return Call(
            f"c-{self._serial}",
            "prenota",
            Request("POST", "/prenota/book", (), body, len(body)),
            _RULES,
            False,
            now.monotonic() + 60,
            now.wall_ms() + 60_000,
            "kiosk",
            f"{self._rng.getrandbits(128):032x}",
        )


async def _execute(call: Call) -> Outcome:
    await anyio.lowlevel.checkpoint()
    headers = (("Content-Type", "application/json"),)
    return Done(Response(200, headers, _ANSWER, len(_ANSWER)))


async def _run(guard: Any, way: str, call: Call) -> None:
    if way == "no claims":
        await _execute(call)
        return
    outcome = await guard.run(call, _execute)
    if not isinstance(outcome, Done):
        raise RuntimeError(f"expected an answer, got {outcome}")


def _settings(store: Address) -> NodeSettings:
    return NodeSettings(
        target="prenota-1",
        service="prenota",
        failure_domain="savona",
        store=store,
        claim_store_wait_s=10.0,
        claim_repeat_wait_s=10.0,
        claim_writes_per_s=_UNBOUNDED_PER_S,
        claim_reads_per_s=_UNBOUNDED_PER_S,
    )


async def _record_bytes(port: int) -> dict[str, float]:
    """Returns the mean size of a claim in the store, without its answer."""
    sender = make_sender(HttpLibrary.AIOHTTP, connections=1)
    store = EtcdStore(sender, Address("127.0.0.1", port), timeout_s=30.0)
    entries = await store.list(CLAIM_PREFIX)
    await sender.close()
    answers = []
    for entry in entries:
        record = msgspec.json.decode(entry.value)
        answers.append(len(msgspec.json.encode(record.get("answer"))))
    key = statistics.mean(len(entry.key) for entry in entries)
    value = statistics.mean(len(entry.value) for entry in entries)
    return {
        "key_bytes": key,
        "value_bytes": value,
        "of_it_answer_bytes": statistics.mean(answers),
    }


async def _measure(args: argparse.Namespace, port: int) -> dict[str, Any]:
    cell = Cell(args, port)
    rows: list[dict[str, Any]] = []
    loads = [(1, 0.0), (16, 0.0), (64, 0.0), (64, 0.05), (64, 0.3)]
    for writes_per_s in (0.0, args.writes_per_s):
        for workers, repeats in loads:
            for _ in range(args.rounds):
                for way in WAYS:
                    if way == "no claims" and (writes_per_s or repeats):
                        continue
                    rows.append(
                        await cell.run(way, workers, repeats, writes_per_s)
                    )
    return {"rows": rows, "record": await _record_bytes(port)}


def _medians(result: dict[str, Any]) -> list[dict[str, Any]]:
    """Returns the medians over rounds, with the range of the rates."""
    groups: dict[tuple[Any, ...], list[dict[str, Any]]] = {}
    for row in result["rows"]:
        key = (
            row["store_writes_per_s"],
            row["workers"],
            row["repeat_share"],
            row["way"],
        )
        groups.setdefault(key, []).append(row)
    return [_median_row(key, rows) for key, rows in groups.items()]


def _median_row(
    key: tuple[Any, ...], rows: list[dict[str, Any]]
) -> dict[str, Any]:
    def mid(name: str) -> float:
        return float(statistics.median(row[name] for row in rows))

    rates = [row["answered_per_s"] for row in rows]
    return {
        "store writes/s": f"{key[0]:.0f}" if key[0] else "no limit",
        "callers at a time": key[1],
        "repeats": f"{key[2]:.0%}",
        "way": key[3],
        "calls/s": f"{mid('answered_per_s'):.0f}",
        "least to most": f"{min(rates):.0f} to {max(rates):.0f}",
        "p50 ms": f"{mid('p50_ms'):.2f}",
        "p99 ms": f"{mid('p99_ms'):.2f}",
        "CPU us a call": f"{mid('cpu_us_per_call'):.0f}",
        "writes a call": f"{mid('writes_per_call'):.2f}",
        "reads a call": f"{mid('reads_per_call'):.2f}",
    }


_NOTES = """
Median of the rounds. Callers go on as soon as they are answered. The store is
the stand-in in its own process on loopback; where its writes are limited they
are spaced in the bench before they are sent, so that a transaction counts as
one. "Repeats" are sendings of keys that another node has claimed. CPU is that
of the node's side alone, of which "no claims" is the bench itself.
"""


def main() -> None:
    """Runs the bench and writes its table and JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--calls", type=int, default=400)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--writes-per-s", type=float, default=300.0)
    parser.add_argument("--port", type=int, default=23790)
    args = parser.parse_args()
    listen = f"127.0.0.1:{args.port}"
    store = subprocess.Popen(
        [
            *(sys.executable, "-m", "radishwind", "standin", "store"),
            *("--listen", listen),
        ],
        env=dict(os.environ),
    )
    try:
        time.sleep(2.0)
        result = anyio.run(
            _measure, args, args.port, backend_options={"use_uvloop": True}
        )
    finally:
        store.terminate()
        store.wait(10)
    keep(
        "claims",
        "What a keyed call costs",
        f"python -m bench.claims --seed {args.seed} --calls {args.calls} "
        f"--rounds {args.rounds}",
        [
            ("Calls", _medians(result)),
            ("A claim in the store, bytes", [result["record"]]),
        ],
        _NOTES.strip(),
    )


if __name__ == "__main__":
    main()
