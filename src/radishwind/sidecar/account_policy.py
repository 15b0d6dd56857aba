"""Decides what a forwarded attempt may claim of client accounts."""

from radishwind.http.types import Request
from radishwind.membership.directory import Directory
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_listener import AttemptPolicy
from radishwind.platform import account_fields
from radishwind.platform import parse_host
from radishwind.routes.active_routes import ActiveRoutes


class AccountPolicy(AttemptPolicy):
    """Believes the name of an account from nodes only.

    A node that started while the store was away can't sign yet. Its callers'
    requests on public routes are still taken: anybody may make those.
    """

    def __init__(
        self, keyring: Keyring, routes: ActiveRoutes, directory: Directory
    ) -> None:
        """Makes a policy.

        Args:
          keyring: whether signatures are required.
          routes: the routes in force.
          directory: the nodes there are.
        """
        self._keyring = keyring
        self._routes = routes
        self._directory = directory

    def matches_account(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether the server is told the account that was signed."""
        if not self._keyring.requires_signatures:
            return True
        told = (info.account,) if info.account else ()
        return account_fields(request.headers) == told

    def accepts_unsigned(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether any caller might make the request without a key."""
        if info.account:
            return False
        host = parse_host(request.headers)
        route = self._routes.table.match(host, request.path)
        if route is None or not route.public:
            return False
        if all(
            part.service != info.service for part in route.weighted_services
        ):
            return False
        return any(
            member.address.host == request.remote
            for member in self._directory.members()
        )
