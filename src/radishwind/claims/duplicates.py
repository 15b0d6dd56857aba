"""What a sending is told whose key is claimed already."""

from radishwind.claims.claim_record import ClaimRecord
from radishwind.claims.claim_record import ClaimState
from radishwind.claims.claim_record import KeyedRequest
from radishwind.core.codes import ResultCode
from radishwind.http.types import Response
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown

#: Tells a caller that the answer is the recorded one of an earlier sending.
REPLAY_FIELD = "Radishwind-Replayed"

#: The least and the longest a repeat of a running call is asked to wait (s).
_LEAST_RETRY_S = 0.1
_RUNNING_RETRY_S = 1.0


def duplicate_outcome(
    record: ClaimRecord, sending: KeyedRequest, wall_ms: int
) -> Outcome:
    """Returns what a sending is told whose key is claimed already.

    Args:
      record: the claim found.
      sending: the new sending.
      wall_ms: wall-clock time (ms since the epoch, UTC).
    """
    if record.key != sending.key:
        return Unknown(
            ResultCode.CLAIM_UNKNOWN, "Another key has the same digest."
        )
    if record.fingerprint != sending.fingerprint:
        return NotRun(
            ResultCode.KEY_REUSED,
            "The idempotency key was used for another request.",
        )
    if record.caller and sending.caller and record.caller != sending.caller:
        # Neither another caller's answer nor "not run" may be told.
        return Unknown(
            ResultCode.CLAIM_UNKNOWN, "Another caller has used the key."
        )
    if record.state is ClaimState.DONE:
        return _finished(record)
    left_s = (record.expires_ms - wall_ms) / 1000
    if left_s > 0:
        return Unknown(
            ResultCode.CLAIM_RUNNING,
            "An earlier sending with this key may still run.",
            max(_LEAST_RETRY_S, min(left_s, _RUNNING_RETRY_S)),
        )
    return Unknown(
        ResultCode.CLAIM_UNKNOWN,
        "An earlier sending with this key may have run.",
    )


def _finished(record: ClaimRecord) -> Outcome:
    kept = record.answer
    if kept is None:
        return Unknown(
            ResultCode.CLAIM_UNKNOWN,
            "An earlier sending ran; its answer was too large to keep.",
        )
    headers = (*kept.headers, (REPLAY_FIELD, "true"))
    return Done(Response(kept.status, headers, kept.body, len(kept.body)))
