"""Decides which forwarded attempts may name a client account."""

from radishwind.http.types import Request
from radishwind.membership.directory import Directory
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_listener import AttemptPolicy
from radishwind.platform import get_account_fields
from radishwind.platform import parse_host
from radishwind.routes.active_routes import ActiveRoutes


class AccountPolicy(AttemptPolicy):
    """Accepts the name of an account only from authenticated nodes.

    A node that started while the store was unavailable cannot sign yet. The
    attempts that it forwards for public routes are accepted nevertheless, since
    these need no account.
    """

    def __init__(
        self, keyring: Keyring, routes: ActiveRoutes, directory: Directory
    ) -> None:
        """Creates a policy.

        Args:
          keyring: knows whether signatures are required.
          routes: the routes in force.
          directory: the known nodes.
        """
        self._keyring = keyring
        self._routes = routes
        self._directory = directory

    def matches_account(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether the request names exactly the signed account."""
        if not self._keyring.requires_signatures:
            return True
        expected = (info.account,) if info.account else ()
        return get_account_fields(request.headers) == expected

    def accepts_unsigned(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether the attempt is accepted without a signature.

        Only a known node may forward one, for a public route and no account.
        """
        if info.account:
            return False
        host = parse_host(request.headers)
        route = self._routes.table.match(host, request.path)
        if route is None or not route.public:
            return False
        if all(
            weighted.service != info.service
            for weighted in route.weighted_services
        ):
            return False
        return any(
            member.address.host == request.remote
            for member in self._directory.members()
        )
