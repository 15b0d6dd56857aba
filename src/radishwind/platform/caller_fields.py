"""Decodes what a caller tells in header fields."""

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
    """Returns what a caller tells.

    Args:
      headers: as received, without those of one connection only.
      own_service: the service of this instance; it goes on as the caller's.
      accounts: whether there are client accounts, so that a key is read and
        goes no further, nor does a name that the caller claims.

    Raises:
      CallRejectedError: the id is missing or a field cannot be read.
    """
    request_id, timeout, host = "", "", ""
    kept = []
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
                keys += (_key(item[1]),)
            continue
        if name not in OVERWRITTEN_FIELDS:
            kept.append(item)
    kept.append((CALLER_SERVICE, own_service))
    if not 0 < len(request_id) <= _MAX_ID_CHARS:
        raise CallRejectedError(
            f"expected {REQUEST_ID} of 1 to {_MAX_ID_CHARS} characters, "
            f"got {len(request_id)}"
        )
    return CallerFields(
        request_id, _timeout_ms(timeout), _host(host), tuple(kept), keys
    )


def parse_host(headers: Headers) -> str:
    """Returns the host that a request names; empty where it names none."""
    return _host(get_header(headers, "host") or "")


def account_fields(headers: Headers) -> tuple[str, ...]:
    """Returns the accounts that a request names to a backend server."""
    return tuple(value for name, value in headers if name.lower() == _ACCOUNT)


def add_account_field(headers: Headers, name: str) -> Headers:
    """Returns `headers` with the account `name` for the backend server."""
    return (*headers, (ACCOUNT, name))


def _key(text: str) -> str:
    """Returns the key in `text`; empty where that is malformed."""
    scheme, _, key = text.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key.isascii():
        return ""
    return "" if any(c.isspace() for c in key) else key


def _timeout_ms(text: str) -> int | None:
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


def _host(text: str) -> str:
    name, mark, port = text.rpartition(":")
    if mark and port.isdigit():
        return name.lower()
    return text.lower()
