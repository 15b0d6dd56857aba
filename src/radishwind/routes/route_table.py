"""Matches requests to routes by host and longest path prefix."""

from collections.abc import Iterable

from radishwind.routes.model import Route
from radishwind.routes.model import WeightedService


class RouteTable:
    """Index of the routes of one version.

    A look-up takes one step for each path segment.
    """

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._credits: dict[str, list[float]] = {}

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route of `host` with the longest prefix of `path`.

        Returns `None` if no route matches.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        end = len(path.partition("?")[0])
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def next_service(self, route: Route) -> str:
        """Returns the service for the next request of `route`.

        Uses smooth weighted round robin: in any sequence of requests, each
        service gets its share to within one request, which a random choice
        would not guarantee.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._credits.setdefault(
            route.name, [0.0] * len(route.weighted_services)
        )
        total = sum(entry.weight for entry in route.weighted_services)
        if total <= 0:
            return route.weighted_services[0].service
        for i, entry in enumerate(route.weighted_services):
            credits[i] += entry.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= total
        return route.weighted_services[chosen].service


def service_names(entries: Iterable[WeightedService]) -> frozenset[str]:
    """Returns the service names of `entries`."""
    return frozenset(entry.service for entry in entries)
