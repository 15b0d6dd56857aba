"""Decodes the header fields of requests from external callers."""

from radishwind.entry.call import CallRejectedError
from radishwind.entry.routed_classifier import CallerFields
from radishwind.http.types import get_header
from radishwind.http.types import Headers
from radishwind.platform.header_fields import ACCOUNT
from radishwind.platform.header_fields import ACCOUNT_FIELDS
from radishwind.platform.header_fields import CALLER_SERVICE
from radishwind.platform.header_fields import KEY
from radishwind.platform.header_fields import KEY_SCHEME
from radishwind.platform.header_fields import OVERWRITTEN_FIELDS
from radishwind.platform.header_fields import REQUEST_ID
from radishwind.platform.header_fields import TIMEOUT

_MAX_ID_CHARS = 128

_TIMEOUT = TIMEOUT.lower()
_REQUEST_ID = REQUEST_ID.lower()
_KEY = KEY.lower()
_ACCOUNT = ACCOUNT.lower()


def decode_caller_fields(
    headers: Headers, own_service: str, *, accounts: bool = False
) -> CallerFields:
    """Decodes the header fields of a caller's request.

    Args:
      headers: fields as received, without hop-by-hop fields.
      own_service: service of this instance, forwarded as the caller's service.
      accounts: whether client accounts are configured. If so, the key is
        decoded, and neither it nor an account that the caller claims is
        forwarded.

    Raises:
      CallRejectedError: the request id is missing or a field is malformed.
    """
    request_id, timeout, host = "", "", ""
    forwarded = []
    keys: tuple[str, ...] = ()
    for item in headers:
        name = item[0].lower()
        if name == _TIMEOUT:
            timeout = item[1]
        elif name == _REQUEST_ID:
            request_id = item[1]
        elif name == "host":
            host = item[1]
        if accounts and name in ACCOUNT_FIELDS:
            if name == _KEY:
                keys += (_parse_key(item[1]),)
            continue
        if name not in OVERWRITTEN_FIELDS:
            forwarded.append(item)
    forwarded.append((CALLER_SERVICE, own_service))
    if not 0 < len(request_id) <= _MAX_ID_CHARS:
        raise CallRejectedError(
            f"expected {REQUEST_ID} of 1 to {_MAX_ID_CHARS} characters, "
            f"got {len(request_id)}"
        )
    return CallerFields(
        request_id,
        _parse_timeout_ms(timeout),
        _strip_port(host),
        tuple(forwarded),
        keys,
    )


def parse_host(headers: Headers) -> str:
    """Returns the host of a request without its port; empty if it has none."""
    return _strip_port(get_header(headers, "host") or "")


def get_account_fields(headers: Headers) -> tuple[str, ...]:
    """Returns all values of the field that names the account of a request."""
    return tuple(value for name, value in headers if name.lower() == _ACCOUNT)


def add_account_field(headers: Headers, name: str) -> Headers:
    """Returns `headers` with a field that names the account `name`."""
    return (*headers, (ACCOUNT, name))


def _parse_key(text: str) -> str:
    """Returns the API key in `text`; empty if it is malformed."""
    scheme, _, key = text.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key.isascii():
        return ""
    return "" if any(c.isspace() for c in key) else key


def _parse_timeout_ms(text: str) -> int | None:
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e9:
        raise CallRejectedError(
            f"expected {TIMEOUT} in milliseconds, got {text[:40]!r}"
        )
    return int(value)


def _strip_port(text: str) -> str:
    name, separator, port = text.rpartition(":")
    if separator and port.isdigit():
        return name.lower()
    return text.lower()
