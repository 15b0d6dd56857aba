"""What is taken from a received message and what is refused.

Fields that belong to one connection only are removed (RFC 9110, 7.6.1).
Requests that two parsers could read differently are refused.
"""

import re
import urllib.parse

from radishwind.http.errors import RequestRejectedError
from radishwind.http.types import Headers
from radishwind.http.types import Request

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

#: Methods that make no sense for a backend server behind a node.
_REFUSED_METHODS = frozenset({"CONNECT", "TRACE"})

#: Fields that must not be given twice: receivers differ on which counts.
_SINGLE = ("host", "content-length", "idempotency-key")

_DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_PATH = re.compile(r"/[\x21-\x7e]*")

#: Fields that only nodes may send start so.
NODE_FIELD_PREFIX = "radishwind-node-"


def strip_hop_by_hop_fields(headers: Headers) -> Headers:
    """Returns `headers` as they may go on, in one pass.

    Hop-by-hop fields, listed or well known, and fields of nodes are removed.
    """
    names = [name.lower() for name, _ in headers]
    dropped = _dropped(headers, names)
    kept = [
        item
        for item, name in zip(headers, names, strict=True)
        if name not in dropped and not name.startswith(NODE_FIELD_PREFIX)
    ]
    return tuple(kept)


def _dropped(headers: Headers, names: list[str]) -> frozenset[str]:
    """Returns the hop-by-hop fields, by their `names` in lower case."""
    if "connection" not in names:
        return _HOP_BY_HOP
    lines = [
        value
        for (_, value), name in zip(headers, names, strict=True)
        if name == "connection"
    ]
    tokens = {token.strip().lower() for token in ",".join(lines).split(",")}
    return (_HOP_BY_HOP | tokens) - {"host", "content-length"}


def to_origin_form(path: str) -> str:
    """Returns the request target in origin form, `/PATH?QUERY`.

    Raises:
      RequestRejectedError: it has another form, characters that must be
        percent-encoded, or dot segments, which a server may resolve to a path
        of another service.
    """
    if path.startswith(("http://", "https://")):
        try:
            parts = urllib.parse.urlsplit(path)
            path = parts._replace(scheme="", netloc="", fragment="").geturl()
            path = path if path.startswith("/") else f"/{path}"
        except ValueError as exc:
            raise RequestRejectedError(f"expected a valid URL: {exc}") from exc
    if not _PATH.fullmatch(path):
        raise RequestRejectedError(
            f"expected a path of visible ASCII characters, got {path[:80]!r}"
        )
    if _DOT_SEGMENT.search(path.partition("?")[0]):
        raise RequestRejectedError(
            f"expected a path without dot segments, got {path[:80]!r}"
        )
    return path


def validate_request(request: Request) -> None:
    """Checks what the parser lets pass.

    Raises:
      RequestRejectedError: the method is refused, a field is given twice that
        must not be, or a value is not UTF-8.
    """
    if request.method in _REFUSED_METHODS:
        raise RequestRejectedError(
            f"expected a method for a backend server, got {request.method}"
        )
    names = [name.lower() for name, _ in request.headers]
    for name in _SINGLE:
        if names.count(name) > 1:
            raise RequestRejectedError(f"expected one field {name}, got more")
    for name, value in request.headers:
        if not value.isprintable() and "\t" not in value:
            raise RequestRejectedError(
                f"expected printable text in {name[:40]!r}"
            )
