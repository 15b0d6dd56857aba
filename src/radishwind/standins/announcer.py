"""Announces the backend stand-in periodically to the node on its instance.

`docs/target.md` describes the announcements of a real backend server.
"""

import contextlib

import anyio
import msgspec

from radishwind.http.errors import SendError
from radishwind.http.sender import Sender
from radishwind.http.types import abort_body
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.standins.backend import BackendStandin
from radishwind.standins.backend import HEALTH_PATH

#: Interval between announcements (s).
_INTERVAL_S = 1.0

#: Timeout for an announcement (s).
_TIMEOUT_S = 1.0


class Announcer:
    """Posts the server's name, address and state to its node."""

    def __init__(
        self,
        backend: BackendStandin,
        sender: Sender,
        *,
        target: str,
        instance: str,
        address: Address,
        node: Address,
    ) -> None:
        self._backend = backend
        self._sender = sender
        self._static_fields = {
            "target": target,
            "instance": instance,
            "address": str(address),
            "health_path": HEALTH_PATH,
        }
        self._node = node

    async def run(self) -> None:
        """Announces periodically until cancelled; ignores failed attempts."""
        while True:
            await self.announce()
            await anyio.sleep(_INTERVAL_S)

    async def announce(self) -> None:
        """Sends one announcement; ignores a failure."""
        current_fields = {
            "state": self._backend.state,
            "uptime_s": round(self._backend.uptime_s, 3),
        }
        body = msgspec.json.encode(self._static_fields | current_fields)
        fields = (("Content-Type", "application/json"),)
        request = Request("POST", "/v1/server", fields, body, len(body))
        with contextlib.suppress(SendError), anyio.move_on_after(_TIMEOUT_S):
            response = await self._sender.send(self._node, request, _TIMEOUT_S)
            abort_body(response.body)
