"""Outcome of duplicates: requests whose idempotency key is claimed already."""

from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import ClaimState
from radishwind.claims.claim_record import KeyedRequest
from radishwind.core.codes import ResultCode
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown

#: Header field that marks a response as the recorded one of an earlier request.
REPLAY_FIELD = "Radishwind-Replayed"

#: Bounds of the retry delay for a duplicate of a running call.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 1.0


def duplicate_outcome(
    record: ClaimRecord, request: KeyedRequest, wall_ms: int
) -> Outcome:
    """Returns the outcome of a request whose key is claimed already.

    Args:
      record: the existing claim.
      request: the new request.
      wall_ms: wall-clock time (ms since the epoch, UTC).
    """
    if record.key != request.key:
        return Unknown(
            ResultCode.CLAIM_UNKNOWN,
            "Another idempotency key has the same digest.",
        )
    if record.fingerprint != request.fingerprint:
        return NotRun(
            ResultCode.KEY_REUSED,
            "The idempotency key was used for a different request.",
        )
    if record.caller and request.caller and record.caller != request.caller:
        # A response to another caller must not be disclosed, and "not run"
        # would be false.
        return Unknown(
            ResultCode.CLAIM_UNKNOWN,
            "The idempotency key was used by another caller.",
        )
    if record.state is ClaimState.DONE:
        return _replay(record)
    left_s = (record.expires_ms - wall_ms) / 1000
    if left_s > 0:
        return Unknown(
            ResultCode.CLAIM_RUNNING,
            "An earlier request with this key may still be running.",
            max(_MIN_RETRY_AFTER_S, min(left_s, _MAX_RETRY_AFTER_S)),
        )
    return Unknown(
        ResultCode.CLAIM_UNKNOWN,
        "An earlier request with this key may have run.",
    )


def _replay(record: ClaimRecord) -> Outcome:
    """Returns the recorded response of a call that is done."""
    answer = record.answer
    if answer is None:
        return Unknown(
            ResultCode.CLAIM_UNKNOWN,
            "An earlier request with this key ran; its response was too large "
            "to be recorded.",
        )
    headers = (*answer.headers, (REPLAY_FIELD, "true"))
    return Done(Response(answer.status, headers, answer.body, len(answer.body)))
