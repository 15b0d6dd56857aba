"""What makes two requests the same request, sent again."""

import urllib.parse

import xxhash

from radishwind.http.types import BodyStream
from radishwind.http.types import Request

#: Query parameters that callers add to get past caches.
_VOLATILE_PARAMETERS = frozenset(
    {"_", "cachebust", "cb", "nonce", "t", "timestamp", "ts"}
)


def fingerprint(request: Request) -> str:
    """Returns a hash of the method, the path without volatile parts, the body.

    Volatile are query parameters that only defeat caches, and the order of the
    others. Of a streamed body only the length is known.
    """
    hashed = xxhash.xxh3_64()
    hashed.update(f"{request.method} {_stable(request.path)}\n".encode())
    if isinstance(request.body, BodyStream):
        hashed.update(f"stream of {request.body_bytes}".encode())
    else:
        hashed.update(request.body)
    return hashed.hexdigest()


def _stable(path: str) -> str:
    base, mark, query = path.partition("?")
    if not mark:
        return base
    pairs = urllib.parse.parse_qsl(query, keep_blank_values=True)
    kept = sorted(p for p in pairs if p[0].lower() not in _VOLATILE_PARAMETERS)
    return f"{base}?{urllib.parse.urlencode(kept)}"
