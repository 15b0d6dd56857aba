"""Learned body sizes of the requests and responses of each route."""

from typing import TYPE_CHECKING

import msgspec

from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Weight of one exchange in the moving averages.
MEAN_WEIGHT = 0.05

#: Part by which the large size decays towards the last one with each exchange.
DECAY_WEIGHT = 0.02

#: Assumed size of responses that the configuration marks as large, before the
#: first one is seen. Responses of this size aren't buffered in full.
DEFAULT_LARGE_BYTES = 64 * 1024

#: Routes remembered at most; the first one added is dropped.
MAX_ROUTES = 2048


class BodySizes(msgspec.Struct):
    """The body sizes of one route.

    Attributes:
      request_bytes: mean size of a request.
      response_bytes: mean size of a response.
      large_response_bytes: size that few responses exceed, as a decaying
        maximum.
      count: number of exchanges.
    """

    request_bytes: float = 0.0
    response_bytes: float = 0.0
    large_response_bytes: float = 0.0
    count: int = 0


class RouteSizes:
    """Learned body sizes by route."""

    def __init__(self) -> None:
        self._sizes: dict[str, BodySizes] = {}
        self._large_routes: frozenset[str] = frozenset()

    def expect_large(self, routes: frozenset[str]) -> None:
        """Sets the routes whose responses the configuration marks as large."""
        self._large_routes = routes

    def learn(
        self, route: str, request_bytes: int, response_bytes: int
    ) -> None:
        """Records the sizes of an exchange.

        Args:
          route: the route of the exchange.
          request_bytes: size of the request's body.
          response_bytes: size of the response's body.
        """
        sizes = self._sizes.get(route)
        if sizes is None:
            sizes = self._sizes[route] = BodySizes()
            if len(self._sizes) > MAX_ROUTES:
                del self._sizes[next(iter(self._sizes))]
        sizes.count += 1
        # An arithmetic mean at first, so that the first exchange doesn't keep
        # a large weight.
        weight = max(MEAN_WEIGHT, 1 / sizes.count)
        sizes.request_bytes += weight * (request_bytes - sizes.request_bytes)
        sizes.response_bytes += weight * (response_bytes - sizes.response_bytes)
        sizes.large_response_bytes += DECAY_WEIGHT * (
            response_bytes - sizes.large_response_bytes
        )
        sizes.large_response_bytes = max(
            sizes.large_response_bytes, float(response_bytes)
        )

    def learn_from(self, call: "Call", outcome: Outcome) -> None:
        """Records the sizes of a successful attempt; ignores others."""
        if not isinstance(outcome, Done):
            return
        response = outcome.response
        if is_server_error(response.status):
            return
        body = response.body
        response_bytes = (
            len(body) if isinstance(body, bytes) else response.body_bytes
        )
        self.learn(
            call.route, call.request.body_bytes or 0, response_bytes or 0
        )

    def exchange_bytes(self, route: str) -> float:
        """Returns the mean size of both bodies; 0 if unknown."""
        sizes = self._sizes.get(route)
        request_bytes = sizes.request_bytes if sizes is not None else 0.0
        return request_bytes + self.response_bytes(route)

    def response_bytes(self, route: str) -> float:
        """Returns the mean size of a response's body; 0 if unknown."""
        sizes = self._sizes.get(route)
        if sizes is not None:
            return sizes.response_bytes
        return (
            float(DEFAULT_LARGE_BYTES) if route in self._large_routes else 0.0
        )

    def by_route(self) -> dict[str, BodySizes]:
        """Returns the learned sizes by route."""
        return dict(self._sizes)

    def most_used(self, max_count: int) -> dict[str, BodySizes]:
        """Returns the sizes of up to `max_count` routes, most used first."""
        ordered = sorted(self._sizes.items(), key=lambda item: -item[1].count)
        return dict(ordered[:max_count])
