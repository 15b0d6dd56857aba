"""Client of the admin listener of a node."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.http import Address
from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.http import Request
from radishwind.http import SendError
from radishwind.http.types import read_body
from radishwind.settings import SettingError

_CONNECT_TIMEOUT_S = 2.0


class AdminError(RadishwindError):
    """The admin listener of a node did not answer as expected."""

    code = ResultCode.ADMIN_UNAVAILABLE


async def fetch_admin(address: str, path: str) -> bytes:
    """Fetches `path` from the admin listener `address`; returns the body.

    Raises:
      SettingError: `address` is not HOST:PORT.
      AdminError: there was no response, or its status was not 200.
    """
    try:
        destination = Address.parse(address)
    except ValueError as exc:
        raise SettingError(f"--admin: {exc}") from exc
    sender = make_sender(HttpLibrary.HYPERCORN_HTTPX, 1)
    try:
        response = await sender.send(
            destination, Request("GET", path), _CONNECT_TIMEOUT_S
        )
        body = await read_body(response.body)
    except SendError as exc:
        raise AdminError(
            f"{address}: expected a node's admin listener, got {exc.args[0]}"
        ) from exc
    finally:
        await sender.close()
    if response.status != 200:
        raise AdminError(
            f"{address}{path}: expected status 200, got {response.status}"
        )
    return body
