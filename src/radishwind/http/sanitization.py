"""Validates received requests and removes fields that are not forwarded.

Fields that apply to one connection only are removed (RFC 9110, 7.6.1). Requests
that two parsers could interpret differently are rejected.
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

#: Methods that cannot be forwarded to a backend server.
_REJECTED_METHODS = frozenset({"CONNECT", "TRACE"})

#: Fields that must not be repeated: receivers differ on which value counts.
_SINGLETON_FIELDS = ("host", "content-length", "idempotency-key")

_DOT_SEGMENT = re.compile(r"/(\.|%2e){1,2}(/|$)", re.IGNORECASE)
_PATH = re.compile(r"/[\x21-\x7e]*")

#: Prefix of the fields that only nodes may send.
NODE_FIELD_PREFIX = "radishwind-node-"


def strip_hop_by_hop_fields(headers: Headers) -> Headers:
    """Returns the fields of `headers` that may be forwarded.

    Removes hop-by-hop fields, both standard ones and those that `Connection`
    lists, and fields that only nodes may send.
    """
    names = [name.lower() for name, _ in headers]
    dropped = _hop_by_hop_names(headers, names)
    kept = [
        item
        for item, name in zip(headers, names, strict=True)
        if name not in dropped and not name.startswith(NODE_FIELD_PREFIX)
    ]
    return tuple(kept)


def _hop_by_hop_names(headers: Headers, names: list[str]) -> frozenset[str]:
    """Returns the names of hop-by-hop fields, in lower case."""
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
      RequestRejectedError: the target has another form, characters that must
        be percent-encoded, or dot segments, which a server may resolve to a
        path of another service.
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
    """Checks what the parser does not check.

    Raises:
      RequestRejectedError: the method is not supported, a field is repeated
        that must not be, or a value is not UTF-8.
    """
    if request.method in _REJECTED_METHODS:
        raise RequestRejectedError(
            "expected a method that backend servers support, got "
            f"{request.method}"
        )
    names = [name.lower() for name, _ in request.headers]
    for name in _SINGLETON_FIELDS:
        if names.count(name) > 1:
            raise RequestRejectedError(f"expected one field {name}, got more")
    for name, value in request.headers:
        if not value.isprintable() and "\t" not in value:
            raise RequestRejectedError(
                f"expected printable text in {name[:40]!r}"
            )
