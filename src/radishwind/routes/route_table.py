"""Finds the route of a request by host and longest prefix."""

from collections.abc import Iterable

from radishwind.routes.model import Route
from radishwind.routes.model import WeightedService


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

    def next_service(self, route: Route) -> str:
        """Returns the service that the next request of `route` goes to.

        Smooth weighted round robin: in any row of requests each part has its
        share to within one request, which a draw at random would not hold.
        """
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        credits = self._shares.setdefault(
            route.name, [0.0] * len(route.weighted_services)
        )
        total = sum(part.weight for part in route.weighted_services)
        if total <= 0:
            return route.weighted_services[0].service
        for i, part in enumerate(route.weighted_services):
            credits[i] += part.weight
        chosen = max(range(len(credits)), key=credits.__getitem__)
        credits[chosen] -= total
        return route.weighted_services[chosen].service


def service_names(parts: Iterable[WeightedService]) -> frozenset[str]:
    """Returns the names of the services of `parts`."""
    return frozenset(part.service for part in parts)
