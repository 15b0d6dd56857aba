"""Removes the fields that belong to one connection only (RFC 9110, 7.6.1)."""

from radishwind.http.types import header
from radishwind.http.types import Headers

_HOP_BY_HOP = frozenset(
    {
        "connection",
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


def end_to_end(headers: Headers) -> Headers:
    """Returns `headers` without hop-by-hop fields, listed or well known."""
    named = header(headers, "connection")
    dropped = _HOP_BY_HOP
    if named is not None:
        dropped |= {token.strip().lower() for token in named.split(",")}
    return tuple(item for item in headers if item[0].lower() not in dropped)
