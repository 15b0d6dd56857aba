"""What is written of a claim, and by what a sending is known."""

import dataclasses
import enum

import msgspec
import xxhash

from radishwind.entry.call import Call
from radishwind.entry.call import CALLER_FIELD
from radishwind.http.types import header
from radishwind.http.types import Headers

CLAIM_PREFIX = "/radishwind/claims/"


class ClaimState(enum.StrEnum):
    """How far a claimed call has come, as far as is written."""

    CLAIMED = "claimed"
    DONE = "done"


class RecordedResponse(msgspec.Struct, frozen=True, array_like=True):
    """A server's answer, small enough to keep.

    Attributes:
      status: the HTTP status.
      headers: the field lines in order.
      body: the whole body.
    """

    status: int
    headers: Headers
    body: bytes

    def size_bytes(self) -> int:
        """Returns roughly what it takes to keep (bytes)."""
        fields = sum(len(k) + len(v) + 4 for k, v in self.headers)
        return len(self.body) + fields


class ClaimRecord(msgspec.Struct, frozen=True, omit_defaults=True):
    """A claim as the store keeps it, in JSON.

    Attributes:
      key: the caller's idempotency key, whole.
      nonce: names the writing of this claim, unique.
      node: the entry node that holds it.
      fingerprint: of the request, see `fingerprint`.
      expires_ms: the call's deadline (ms since the epoch, UTC); nothing runs
        under this claim afterwards.
      caller: the name the caller gave itself, empty for none.
      state: how far it has come.
      answer: what the server answered, `None` if not done or too large.
    """

    key: str
    nonce: str
    node: str
    fingerprint: str
    expires_ms: int
    caller: str = ""
    state: ClaimState = ClaimState.CLAIMED
    answer: RecordedResponse | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """One sending of a keyed request.

    Attributes:
      service: the service it is for.
      key: the caller's idempotency key.
      fingerprint: of the request.
      caller: the name the caller gave itself, empty for none.
    """

    service: str
    key: str
    fingerprint: str
    caller: str

    @classmethod
    def from_call(cls, call: Call) -> "KeyedRequest":
        """Returns the sending that `call`, which has a key, is."""
        assert call.key is not None
        name = header(call.request.headers, CALLER_FIELD) or ""
        return cls(call.service, call.key, fingerprint(call), name)

    @property
    def identity(self) -> tuple[str, str]:
        """What all sendings of one keyed request share: service and key."""
        return self.service, self.key

    def store_key(self) -> str:
        """Returns the key of the store that its claim is written at."""
        digest = xxhash.xxh3_128_hexdigest(self.key.encode())
        return f"{CLAIM_PREFIX}{self.service}/{digest}"


def fingerprint(call: Call) -> str:
    """Returns a digest of method, path and body, which is held whole."""
    request = call.request
    assert isinstance(request.body, bytes)
    digest = xxhash.xxh3_128(f"{request.method} {request.path}\n".encode())
    digest.update(request.body)
    return digest.hexdigest()
