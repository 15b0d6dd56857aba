"""Handles requests for routes from nodes that can't sign them yet.

A node that started while the store was unavailable has no secret, and may know
no routes. The configuration holds the API keys of client accounts, so it is not
sent in response to an unsigned request: it is pushed to the address at which
the node that the request names is known as a member. Whoever sends a request in
the name of another node has the configuration pushed to that one.
"""

from radishwind.core.clock import Clock
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes import problem_response
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.routes.messages import decode
from radishwind.routes.messages import encode
from radishwind.routes.messages import FeedMalformedError
from radishwind.routes.messages import NoUpdate
from radishwind.routes.messages import RouteUpdate
from radishwind.routes.messages import UpdateRequest
from radishwind.routes.route_feed import CONTROL_NAME
from radishwind.routes.route_feed import RouteFeed
from radishwind.telemetry.part_logger import PartLogger

#: Time within which a node must accept a pushed configuration (s).
_PUSH_TIMEOUT_S = 0.4

_MSGPACK = (("Content-Type", "application/msgpack"),)


class UnsignedRequestHandler:
    """Pushes the configuration to the known member that a request names."""

    def __init__(
        self,
        *,
        feed: RouteFeed,
        directory: Directory,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        """Creates the handler.

        Args:
          feed: builds the reply to a request.
          directory: the known members.
          peers: calls other nodes.
          clock: limits repeated log lines.
        """
        self._feed = feed
        self._directory = directory
        self._peers = peers
        self._log = PartLogger("routes", clock)
        self._pushes_in_flight: set[str] = set()

    async def handle(self, request: Request) -> Response:
        """Replies `NoUpdate` after the push, whether or not it succeeded."""
        body = await read_body(request.body)
        try:
            message = decode(body)
        except FeedMalformedError as exc:
            return problem_response(exc.code, str(exc), "not-run")
        if isinstance(message, UpdateRequest):
            member = self._find_member(message.node, request.remote)
            if member is not None:
                await self._push(member, self._feed.build_reply(message))
        data = encode(NoUpdate())
        return Response(200, _MSGPACK, data, len(data))

    def _find_member(self, name: str, host: str) -> Member | None:
        """Returns the member `name`; without a name, the one at `host`."""
        for member in self._directory.members():
            if member.name == name or (
                not name and member.address.host == host
            ):
                return member
        return None

    async def _push(
        self, member: Member, update: RouteUpdate | NoUpdate
    ) -> None:
        if (
            isinstance(update, NoUpdate)
            or member.name in self._pushes_in_flight
        ):
            return
        self._pushes_in_flight.add(member.name)
        try:
            await self._peers.call(
                member.address, CONTROL_NAME, encode(update), _PUSH_TIMEOUT_S
            )
        except PeerError as exc:
            self._log.info(
                "Failed to push the routes to a peer.", reason=str(exc)[:120]
            )
        finally:
            self._pushes_in_flight.discard(member.name)
