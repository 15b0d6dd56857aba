"""Sessions played on a stage, and the weak variants that must fail them."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
from unittest import mock

import anyio
import msgspec

from radishwind.claims import ClaimGuard
from radishwind.claims import NoClaims
from radishwind.core import ResultCode
from radishwind.http.types import get_header
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.peers import attempts as peer_attempts
from radishwind.retries import CappedRetryPolicy
from radishwind.retries import RetryPolicy
from tests.proofs.failures import FAILURES
from tests.proofs.failures import LAPSE
from tests.proofs.stage import quiet
from tests.proofs.stage import Stage

BODY = b"tavola"


class RetryOnAnyError(RetryPolicy):
    """Weak: tries again whatever went wrong."""

    def should_retry(self, call, outcome, attempts, now) -> bool:
        return attempts < 3 and not isinstance(outcome, Done)


class CutMeansNotRun(ClaimGuard):
    """Weak: takes a broken connection for a request that did not run."""

    def __init__(self, guard, store, clock) -> None:
        self._guard = guard

    async def run(self, call, execute):
        outcome = await self._guard.run(call, execute)
        if (
            isinstance(outcome, Unknown)
            and outcome.code is ResultCode.EXCHANGE_BROKEN
        ):
            return NotRun(ResultCode.CONNECT_FAILED, "The connection broke.")
        return outcome


def _any_answer(response, attempt_id):
    """Weak: takes what arrives for the answer to this attempt."""
    field = get_header(response.headers, peer_attempts.ANSWER_FIELD.lower())
    return msgspec.json.decode(field, type=peer_attempts.AnswerInfo)


def _last_outcome(kept, outcome):
    """Weak: tells the last attempt's outcome, whatever came before."""
    return outcome


@dataclasses.dataclass(frozen=True)
class Weak:
    """A weaker version of the code: options of the stage, or a patch."""

    options: dict[str, object] = dataclasses.field(default_factory=dict)
    patch: Callable[[], contextlib.AbstractContextManager] = (
        contextlib.nullcontext
    )


WEAK = {
    "no claim": Weak({"guard": lambda guard, store, clock: NoClaims()}),
    "retry on any error": Weak({"retries": RetryOnAnyError()}),
    "not run told after a cut": Weak({"guard": CutMeansNotRun}),
    "answer taken for another attempt": Weak(
        patch=lambda: mock.patch.object(
            peer_attempts, "_decode_answer", _any_answer
        )
    ),
    "last outcome told": Weak(
        patch=lambda: mock.patch(
            "radishwind.entry.call_executor.combine_outcomes", _last_outcome
        )
    ),
}
STRONG = Weak({"retries": CappedRetryPolicy()})


async def _settle(stage: Stage) -> None:
    """Lets each node write what it has to tell the store."""
    await quiet()
    stage.cluster.clock.advance(1.0)
    for node in stage.entries.values():
        for _ in range(3):
            await node.claims.updates.flush()


async def _warm_up(stage: Stage) -> None:
    """Other callers' reads, until both nodes have answered one."""
    while any(wire.last is None for wire in stage.nodes):
        await stage.send("entry-b", "", b"onda", "GET")


async def keyed(stage: Stage, failures: tuple[str, ...]) -> None:
    """A booking is sent once for each failure, and then at each node."""
    await _warm_up(stage)
    entries = ("entry-a", "entry-b")
    for number, failure in enumerate(failures):
        entry = entries[number % 2]
        send = functools.partial(stage.send, entry, "k", BODY)
        await FAILURES[failure](stage, entry, send)
        await _settle(stage)
    for entry in entries:
        await stage.send(entry, "k", BODY)
        await _settle(stage)
    stage.judge(BODY, len(failures) + 2)


async def sent_once(method: str, stage: Stage, failures) -> None:
    """Requests without a key, each sent once under both failures."""
    await _warm_up(stage)
    for number, entry in enumerate(("entry-a", "entry-b")):
        body = b"tavola %d" % number

        async def send(entry=entry, body=body) -> None:
            await stage.send(entry, "", body, method)

        async def both(entry=entry, send=send) -> None:
            await FAILURES[failures[-1]](stage, entry, send)

        await FAILURES[failures[0]](stage, entry, both)
        await _settle(stage)
        stage.judge(body, 1)


KEYED = "a booking with a key"
PLAYS = {
    KEYED: keyed,
    "a booking without a key": functools.partial(sent_once, "POST"),
    "a read": functools.partial(sent_once, "GET"),
}


def play(what: str, failures: tuple[str, ...], weak: Weak = STRONG) -> Stage:
    """Returns the stage after a session under `failures`."""
    stage = Stage(**weak.options)

    async def main() -> None:
        with anyio.fail_after(60):
            async with stage.open():
                await PLAYS[what](stage, failures)

    with weak.patch():
        anyio.run(main)
    return stage


def pairs(what: str) -> Iterator[tuple[str, str]]:
    """Yields each pair of failures that may meet in a play."""
    for first in FAILURES:
        for second in FAILURES:
            keyed_first = what == KEYED and second != LAPSE
            if LAPSE not in (first, second) or keyed_first:
                yield first, second


def broken_by(what: str, weak: Weak = STRONG, until: str = "") -> list[str]:
    """Returns what was seen broken over all pairs.

    Args:
      what: the play.
      weak: the variant under test.
      until: ends the search once this is seen broken; empty to play all.
    """
    broken: list[str] = []
    for names in pairs(what):
        stage = play(what, names, weak)
        broken += [f"{' + '.join(names)}: {text}" for text in stage.broken]
        if until and any(until in text for text in broken):
            break
    return broken
