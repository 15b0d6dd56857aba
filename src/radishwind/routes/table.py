"""Finds the route of a request by host and longest prefix."""

from collections.abc import Iterable

from radishwind.routes.model import Part
from radishwind.routes.model import Route


class RouteTable:
    """The routes of one version, indexed; a look-up costs a step a segment."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._shares: dict[str, list[float]] = {}

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`."""
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def service_of(self, route: Route) -> str:
        """Returns the service that the next request of `route` goes to.

        Smooth weighted round robin: in any row of requests each part has its
        share to within one request, which a draw at random would not hold.
        """
        if len(route.parts) == 1:
            return route.parts[0].service
        credits = self._shares.setdefault(route.name, [0.0] * len(route.parts))
        total = sum(part.weight for part in route.parts)
        if total <= 0:
            return route.parts[0].service
        for i, part in enumerate(route.parts):
            credits[i] += part.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= total
        return route.parts[chosen].service


def services_of(parts: Iterable[Part]) -> frozenset[str]:
    """Returns the names of the services of `parts`."""
    return frozenset(part.service for part in parts)
