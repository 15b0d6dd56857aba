"""Simulated sessions, and weakened variants that they must detect."""

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
from tests.proofs.failures import LEASE_LAPSE
from tests.proofs.session_testbed import run_until_idle
from tests.proofs.session_testbed import SessionTestbed

BODY = b"tavola"


class RetryOnAnyError(RetryPolicy):
    """Weak: retries after any outcome but a response."""

    def should_retry(self, call, outcome, attempts, now) -> bool:
        return attempts < 3 and not isinstance(outcome, Done)


class CutMeansNotRun(ClaimGuard):
    """Weak: reports a request as not run when its connection broke."""

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
    """Weak: accepts any response without comparing its attempt id."""
    field = get_header(response.headers, peer_attempts.ANSWER_FIELD.lower())
    return msgspec.json.decode(field, type=peer_attempts.AnswerInfo)


def _last_outcome(kept, outcome):
    """Weak: reports the last attempt's outcome and drops earlier ones."""
    return outcome


@dataclasses.dataclass(frozen=True)
class WeakVariant:
    """A weakened version of the code.

    Attributes:
      options: options of the testbed.
      patch: makes a context manager that patches the code meanwhile.
    """

    options: dict[str, object] = dataclasses.field(default_factory=dict)
    patch: Callable[[], contextlib.AbstractContextManager] = (
        contextlib.nullcontext
    )


WEAK_VARIANTS = {
    "no claim": WeakVariant({"guard": lambda guard, store, clock: NoClaims()}),
    "retry on any error": WeakVariant({"retries": RetryOnAnyError()}),
    "not run told after a cut": WeakVariant({"guard": CutMeansNotRun}),
    "answer taken for another attempt": WeakVariant(
        patch=lambda: mock.patch.object(
            peer_attempts, "_decode_answer", _any_answer
        )
    ),
    "last outcome told": WeakVariant(
        patch=lambda: mock.patch(
            "radishwind.entry.call_executor.combine_outcomes", _last_outcome
        )
    ),
}
UNWEAKENED = WeakVariant({"retries": CappedRetryPolicy()})


async def _flush_claims(testbed: SessionTestbed) -> None:
    """Lets each entry node write its pending claim updates to the store."""
    await run_until_idle()
    testbed.cluster.clock.advance(1.0)
    for node in testbed.entries.values():
        for _ in range(3):
            await node.claims.updates.flush()


async def _warm_up(testbed: SessionTestbed) -> None:
    """Sends reads until both target nodes have answered one."""
    while any(channel.last_response is None for channel in testbed.nodes):
        await testbed.send("entry-b", "", b"onda", "GET")


async def run_keyed(testbed: SessionTestbed, failures: tuple[str, ...]) -> None:
    """Sends a booking once under each failure, then once to each entry node."""
    await _warm_up(testbed)
    entries = ("entry-a", "entry-b")
    for number, failure in enumerate(failures):
        entry = entries[number % 2]
        send = functools.partial(testbed.send, entry, "k", BODY)
        await FAILURES[failure](testbed, entry, send)
        await _flush_claims(testbed)
    for entry in entries:
        await testbed.send(entry, "k", BODY)
        await _flush_claims(testbed)
    testbed.check_not_run_reports(BODY, len(failures) + 2)


async def run_unkeyed(method: str, testbed: SessionTestbed, failures) -> None:
    """Sends requests without a key, each once under both failures."""
    await _warm_up(testbed)
    for number, entry in enumerate(("entry-a", "entry-b")):
        body = b"tavola %d" % number

        async def send(entry=entry, body=body) -> None:
            await testbed.send(entry, "", body, method)

        async def both(entry=entry, send=send) -> None:
            await FAILURES[failures[-1]](testbed, entry, send)

        await FAILURES[failures[0]](testbed, entry, both)
        await _flush_claims(testbed)
        testbed.check_not_run_reports(body, 1)


KEYED_BOOKING = "a booking with a key"
SESSIONS = {
    KEYED_BOOKING: run_keyed,
    "a booking without a key": functools.partial(run_unkeyed, "POST"),
    "a read": functools.partial(run_unkeyed, "GET"),
}


def run_session(
    what: str, failures: tuple[str, ...], variant: WeakVariant = UNWEAKENED
) -> SessionTestbed:
    """Runs a session under `failures` and returns its testbed."""
    testbed = SessionTestbed(**variant.options)

    async def main() -> None:
        with anyio.fail_after(60):
            async with testbed.open():
                await SESSIONS[what](testbed, failures)

    with variant.patch():
        anyio.run(main)
    return testbed


def failure_pairs(what: str) -> Iterator[tuple[str, str]]:
    """Yields each pair of failures that may be combined in a session."""
    for first in FAILURES:
        for second in FAILURES:
            keyed_first = what == KEYED_BOOKING and second != LEASE_LAPSE
            if LEASE_LAPSE not in (first, second) or keyed_first:
                yield first, second


def find_violations(
    what: str, variant: WeakVariant = UNWEAKENED, until: str = ""
) -> list[str]:
    """Returns the violations found over all pairs of failures.

    Args:
      what: name of the session.
      variant: code variant under test.
      until: stops the search once a violation contains this text; empty to
        run all pairs.
    """
    violations: list[str] = []
    for names in failure_pairs(what):
        testbed = run_session(what, names, variant)
        violations += [
            f"{' + '.join(names)}: {text}" for text in testbed.violations
        ]
        if until and any(until in text for text in violations):
            break
    return violations
