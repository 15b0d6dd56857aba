"""How long the requests and answers of a route are, learned and bounded."""

from typing import TYPE_CHECKING

import msgspec

from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import Outcome

if TYPE_CHECKING:
    from radishwind.entry.call import Call

#: Weight of one exchange in the mean sizes.
MEAN_WEIGHT = 0.05

#: How fast the large size fades towards what comes, an exchange.
FADE_WEIGHT = 0.02

#: What an answer is taken to hold that the configuration calls large, before
#: the first came (bytes): it is more than is held whole.
LARGE_BYTES = 64 * 1024

#: Routes remembered; the one that was first known is forgotten.
MOST_ROUTES = 2048


class Sizes(msgspec.Struct):
    """The sizes of one route.

    Attributes:
      request: mean of a request's body (bytes).
      answer: mean of an answer's body (bytes).
      large: an answer that few exceed (bytes); fades.
      count: exchanges learned from.
    """

    request: float = 0.0
    answer: float = 0.0
    large: float = 0.0
    count: int = 0


class RouteSizes:
    """The sizes by route."""

    def __init__(self) -> None:
        self._sizes: dict[str, Sizes] = {}
        self._large: frozenset[str] = frozenset()

    def expect_large(self, routes: frozenset[str]) -> None:
        """Takes the routes whose answers the configuration calls large."""
        self._large = routes

    def learn(self, route: str, request_bytes: int, answer_bytes: int) -> None:
        """Takes one exchange.

        Args:
          route: the route that took it.
          request_bytes: the request's body (bytes).
          answer_bytes: the answer's body (bytes).
        """
        sizes = self._sizes.get(route)
        if sizes is None:
            sizes = self._sizes[route] = Sizes()
            if len(self._sizes) > MOST_ROUTES:
                del self._sizes[next(iter(self._sizes))]
        sizes.count += 1
        # A plain mean at first, so that the first one doesn't count for long.
        weight = max(MEAN_WEIGHT, 1 / sizes.count)
        sizes.request += weight * (request_bytes - sizes.request)
        sizes.answer += weight * (answer_bytes - sizes.answer)
        sizes.large += FADE_WEIGHT * (answer_bytes - sizes.large)
        sizes.large = max(sizes.large, float(answer_bytes))

    def learn_from(self, call: "Call", outcome: Outcome) -> None:
        """Takes an attempt that went well; others tell nothing of sizes."""
        if not isinstance(outcome, Done):
            return
        response = outcome.response
        if is_server_error(response.status):
            return
        body = response.body
        told = len(body) if isinstance(body, bytes) else response.body_bytes
        self.learn(call.route, call.request.body_bytes or 0, told or 0)

    def exchange_bytes(self, route: str) -> float:
        """Returns both bodies of a usual exchange; 0 where unknown (bytes)."""
        sizes = self._sizes.get(route)
        request_bytes = sizes.request if sizes is not None else 0.0
        return request_bytes + self.answer_bytes(route)

    def answer_bytes(self, route: str) -> float:
        """Returns the body of a usual answer; 0 where unknown (bytes)."""
        sizes = self._sizes.get(route)
        if sizes is not None:
            return sizes.answer
        return float(LARGE_BYTES) if route in self._large else 0.0

    def known(self) -> dict[str, Sizes]:
        """Returns what is known, by route."""
        return dict(self._sizes)

    def most_used(self, most: int) -> dict[str, Sizes]:
        """Returns what is known of `most` routes, those used most first."""
        used = sorted(self._sizes.items(), key=lambda item: -item[1].count)
        return dict(used[:most])
