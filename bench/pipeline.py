"""Microseconds a request of our own code, without sockets.

    python -m bench.pipeline

The listeners' handlers, the pipelines and all policies of a node are called in
this process; a sender hands requests over by a function call. Calls with an
idempotency key are left out: they go to the store. The paths are taken in turn
within each round, so that noise of the machine meets all alike.
"""

import argparse
from collections.abc import Callable
import cProfile
import functools
import gc
import pstats
import statistics
import time
from typing import Any

import anyio
from tests.support.in_process_sender import InProcessSender

from bench.data_path import DataPath
from bench.data_path import make_data_path
from bench.data_path import SERVICE
from bench.report import keep
from bench.report import table
from radishwind.entry.call import Call
from radishwind.entry.runner import AttemptResult
from radishwind.entry.runner import AttemptRunner
from radishwind.hedging import HedgePolicy
from radishwind.hedging import NoHedging
from radishwind.hedging import QuantileHedgePolicy
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.membership import Member
from radishwind.outcomes import Done

_SERVER = Address("127.0.0.1", 9000)
_ENTRY = Member("entry-1", SERVICE, "a", Address("127.0.0.1", 9001))
_TARGET = Member("echo-1", SERVICE, "a", Address("127.0.0.1", 9002))
_HEADERS = (
    ("Host", "echo.example:8080"),
    ("User-Agent", "bench/1"),
    ("Accept", "*/*"),
    ("Accept-Encoding", "gzip, deflate"),
    ("Content-Type", "application/octet-stream"),
    ("X-Request-Id", "0123456789abcdef"),
    ("Content-Length", "100"),
    ("Connection", "keep-alive"),
)
_BODY = b"x" * 100
_ANSWER = Response(
    200,
    (
        ("Content-Type", "application/octet-stream"),
        ("Content-Length", "100"),
        ("Date", "Thu, 01 Jan 2026 00:00:00 GMT"),
        ("Server", "bench"),
    ),
    _BODY,
    len(_BODY),
)

#: Requests before the measurement: the hedging policy needs answers to learn.
_WARM_UP = 600


class _AnswersAtOnce(AttemptRunner):
    """Runs nothing, so that the entry side is measured alone."""

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        return AttemptResult(Done(_ANSWER))


async def _answer(request: Request) -> Response:
    return _ANSWER


def _entry_only(hedges: HedgePolicy) -> tuple[DataPath, InProcessSender]:
    sender = InProcessSender()
    path = make_data_path(
        _ENTRY,
        (_ENTRY,),
        _SERVER,
        sender,
        signed=False,
        hedges=hedges,
        runner=_AnswersAtOnce(),
    )
    return path, sender


def _local(hedges: HedgePolicy) -> tuple[DataPath, InProcessSender]:
    sender = InProcessSender()
    sender.handlers[_SERVER] = _answer
    path = make_data_path(
        _TARGET, (_TARGET,), _SERVER, sender, signed=False, hedges=hedges
    )
    return path, sender


def _forwarded(
    hedges: HedgePolicy, signed: bool
) -> tuple[DataPath, InProcessSender]:
    sender = InProcessSender()
    sender.handlers[_SERVER] = _answer
    entry, target = (
        make_data_path(
            member, (_TARGET,), _SERVER, sender, signed=signed, hedges=hedges
        )
        for member in (_ENTRY, _TARGET)
    )
    sender.handlers[_TARGET.address] = target.peers.handle
    return entry, sender


_PATHS: dict[str, Callable[[HedgePolicy], tuple[DataPath, InProcessSender]]] = {
    "entry only": _entry_only,
    "entry and target": _local,
    "entry, forward, target": lambda hedges: _forwarded(hedges, False),
    "entry, signed forward, target": lambda hedges: _forwarded(hedges, True),
}


_HEDGED = "GET, hedges on"


def _policy(kind: str) -> HedgePolicy:
    return QuantileHedgePolicy() if kind == _HEDGED else NoHedging()


_KINDS = ("POST", "GET, hedges off", _HEDGED)


async def _loop(
    path: DataPath, sender: InProcessSender, kind: str, requests: int
) -> None:
    method = kind.partition(",")[0]
    for _ in range(requests):
        request = Request(
            method, "/echo/x?a=1", _HEADERS, _BODY, len(_BODY), "10.0.0.1"
        )
        response = await path.callers.handle(request)
        assert response.status == 200
    sender.sent.clear()


async def _measure(
    rounds: int, requests: int
) -> dict[tuple[str, str], list[float]]:
    setups = {
        (name, kind): _PATHS[name](_policy(kind))
        for name in _PATHS
        for kind in _KINDS
    }
    times: dict[tuple[str, str], list[float]] = {key: [] for key in setups}
    async with anyio.create_task_group() as tasks:
        for path, _ in setups.values():
            tasks.start_soon(path.entry.run_hedges)
        for key, (path, sender) in setups.items():
            await _loop(path, sender, key[1], _WARM_UP)
        gc.collect()
        for _ in range(rounds):
            for key, (path, sender) in setups.items():
                began = time.process_time()
                await _loop(path, sender, key[1], requests)
                taken_s = time.process_time() - began
                times[key].append(taken_s / requests * 1e6)
        tasks.cancel_scope.cancel()
    return times


def _rows(
    times: dict[tuple[str, str], list[float]],
) -> list[dict[str, Any]]:
    return [
        {
            "path": name,
            "request": kind,
            "us a request": statistics.median(values),
            "least us": min(values),
            "most us": max(values),
        }
        for (name, kind), values in times.items()
    ]


async def _profiled(name: str, kind: str, requests: int) -> None:
    path, sender = _PATHS[name](_policy(kind))
    await _loop(path, sender, kind, _WARM_UP)
    profile = cProfile.Profile()
    profile.enable()
    await _loop(path, sender, kind, requests)
    profile.disable()
    pstats.Stats(profile).sort_stats("tottime").print_stats(40)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--requests", type=int, default=500, help="a round")
    parser.add_argument("--trial", action="store_true", help="print only")
    parser.add_argument(
        "--profile",
        choices=list(_PATHS),
        help=f"print a profile of {_HEDGED!r} instead",
    )
    return parser.parse_args()


def main() -> None:
    """Runs the bench."""
    options = _options()
    run = functools.partial(anyio.run, backend_options={"use_uvloop": True})
    if options.profile:
        run(_profiled, options.profile, _HEDGED, options.requests)
        return
    rows = _rows(run(_measure, options.rounds, options.requests))
    if options.trial:
        print(table(rows))
        return
    keep(
        "pipeline",
        "Our own processor time a request, without sockets",
        f"python -m bench.pipeline --rounds {options.rounds} "
        f"--requests {options.requests}",
        [("Processor time", rows)],
        "One request at a time with 8 fields and 100 bytes; median of the "
        "rounds, with the least and the most of them. With a forward both "
        "nodes are counted.",
    )


if __name__ == "__main__":
    main()
