"""Answers nodes that ask for a configuration and can't sign the question yet.

A node that started while the store was away has no secret, and may know no
routes. The configuration holds the keys of client accounts, so it goes to
nobody who merely asks: it is brought to the address at which a node is known.
"""

from radishwind.core.clock import Clock
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
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
from radishwind.telemetry.logs import PartLogger

#: How long a node may take to take a configuration (s).
_PUSH_TIMEOUT_S = 0.4

_MSGPACK = (("Content-Type", "application/msgpack"),)


class UnsignedRequestHandler:
    """Brings the configuration to the known node at the asker's host."""

    def __init__(
        self,
        *,
        feed: RouteFeed,
        directory: Directory,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        """Wires the answers.

        Args:
          feed: knows what an asker lacks.
          directory: the nodes there are.
          peers: calls other nodes.
          clock: holds back lines that come again.
        """
        self._feed = feed
        self._directory = directory
        self._peers = peers
        self._log = PartLogger("routes", clock)
        self._on_their_way: set[str] = set()

    async def handle(self, request: Request) -> Response:
        """Answers once the configuration was brought, or that it wasn't."""
        body = await whole_body(request.body)
        try:
            message = decode(body)
        except FeedMalformedError as exc:
            return problem_response(exc.code, str(exc), "not-run")
        member = self._known_at(request.remote)
        if isinstance(message, UpdateRequest) and member is not None:
            await self._bring(member, self._feed.build_reply(message))
        data = encode(NoUpdate())
        return Response(200, _MSGPACK, data, len(data))

    def _known_at(self, host: str) -> Member | None:
        for member in self._directory.members():
            if member.address.host == host:
                return member
        return None

    async def _bring(
        self, member: Member, offer: RouteUpdate | NoUpdate
    ) -> None:
        if isinstance(offer, NoUpdate) or member.name in self._on_their_way:
            return
        self._on_their_way.add(member.name)
        try:
            await self._peers.call(
                member.address, CONTROL_NAME, encode(offer), _PUSH_TIMEOUT_S
            )
        except PeerError as exc:
            self._log.info("A push failed.", reason=str(exc)[:120])
        finally:
            self._on_their_way.discard(member.name)
