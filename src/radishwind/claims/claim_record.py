"""The record of a claim in the store, and the request that it is made for."""

import dataclasses
import enum
from typing import Annotated

import msgspec
import xxhash

from radishwind.decoding.numbers import NonNegativeInt
from radishwind.entry.call import Call
from radishwind.entry.call import CALLER_FIELD
from radishwind.http.types import get_header
from radishwind.http.types import Headers

CLAIM_PREFIX = "/radishwind/claims/"


class ClaimState(enum.StrEnum):
    """State of a claimed call according to the store.

    CLAIMED means that the call may be running or may have run. DONE means that
    the server responded.
    """

    CLAIMED = "claimed"
    DONE = "done"


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """A server's response, recorded with a claim.

    Attributes:
      status: the HTTP status.
      headers: the header field lines in order.
      body: the whole body.
    """

    status: Annotated[int, msgspec.Meta(ge=200, le=599)]
    headers: Headers
    body: bytes

    def size_bytes(self) -> int:
        """Returns the approximate size of the response (bytes)."""
        header_bytes = sum(len(k) + len(v) + 4 for k, v in self.headers)
        return len(self.body) + header_bytes


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim as it is stored, in JSON.

    Attributes:
      key: the caller's complete idempotency key; the store key only contains
        its digest.
      nonce: unique ID of the write that made this claim.
      node: name of the entry node that made the claim.
      fingerprint: digest of the request, see `fingerprint`.
      expires_ms: deadline of the call (ms since the epoch, UTC). No attempt
        of the call runs after it.
      caller: name that the caller stated for itself, empty if none.
      state: state of the call.
      answer: the server's response; `None` if there is none so far or it was
        too large to be recorded.
    """

    key: str
    nonce: str
    node: str
    fingerprint: str
    expires_ms: NonNegativeInt
    caller: str = ""
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request with an idempotency key.

    A request that the caller sends again is a `KeyedRequest` of its own, with
    the same `identity`.

    Attributes:
      service: name of the requested service.
      key: the caller's idempotency key.
      fingerprint: digest of the request, see `fingerprint`.
      caller: name that the caller stated for itself, empty if none.
    """

    service: str
    key: str
    fingerprint: str
    caller: str

    @classmethod
    def from_call(cls, call: Call) -> "KeyedRequest":
        """Returns the keyed request of `call`, which must have a key."""
        assert call.key is not None
        caller = get_header(call.request.headers, CALLER_FIELD) or ""
        return cls(call.service, call.key, fingerprint(call), caller)

    @property
    def identity(self) -> tuple[str, str]:
        """Service and key, by which duplicates are detected."""
        return self.service, self.key

    def store_key(self) -> str:
        """Returns the key in the store at which its claim is written."""
        digest = xxhash.xxh3_128_hexdigest(self.key.encode())
        return f"{CLAIM_PREFIX}{self.service}/{digest}"


def fingerprint(call: Call) -> str:
    """Returns a digest of method, path and body of a call.

    The body must have been buffered.
    """
    request = call.request
    assert isinstance(request.body, bytes)
    digest = xxhash.xxh3_128(f"{request.method} {request.path}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
