"""Identifies a request when it is sent again."""

import urllib.parse

import xxhash

from radishwind.http.types import BodyStream
from radishwind.http.types import Request

#: Query parameters that callers add to bypass caches.
_VOLATILE_PARAMETERS = frozenset(
    {"_", "cachebust", "cb", "nonce", "t", "timestamp", "ts"}
)


def fingerprint(request: Request) -> str:
    """Returns a hash of the method, the normalized path and the body.

    Query parameters that only bypass caches are left out, and the others are
    sorted. Of a streamed body only the length is included.
    """
    hashed = xxhash.xxh3_64()
    hashed.update(f"{request.method} {_normalize(request.path)}\n".encode())
    if isinstance(request.body, BodyStream):
        hashed.update(f"stream of {request.body_bytes}".encode())
    else:
        hashed.update(request.body)
    return hashed.hexdigest()


def _normalize(path: str) -> str:
    base, separator, query = path.partition("?")
    if not separator:
        return base
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    stable = sorted(
        p for p in pairs if p[0].lower() not in _VOLATILE_PARAMETERS
    )
    return f"{base}?{urllib.parse.urlencode(stable)}"
