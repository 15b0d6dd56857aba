"""Interface for the classification of requests, and the basic classifier."""

import abc
from collections.abc import Callable
import itertools
import random

from radishwind.config.index import ConfigIndex
from radishwind.core.clock import Clock
from radishwind.entry.call import Call
from radishwind.entry.call import classify
from radishwind.http.types import Request


class Classifier(abc.ABC):
    """Determines the service of a request and how it is handled."""

    @abc.abstractmethod
    def classify(self, request: Request) -> Call:
        """Returns the call of `request`.

        Raises:
          CallRejectedError: the request cannot be classified.
        """


class InventoryClassifier(Classifier):
    """Classifies by the inventory and the rules of the configuration."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rng: random.Random,
        index: Callable[[], ConfigIndex],
    ) -> None:
        self._clock = clock
        self._index = index
        # The random part keeps ids unique across restarts of the node.
        self._id_prefix = f"{node_name}-{rng.getrandbits(64):016x}"
        self._calls = itertools.count(1)

    def classify(self, request: Request) -> Call:
        return classify(
            request,
            self._index(),
            f"{self._id_prefix}-{next(self._calls)}",
            self._clock.monotonic(),
            self._clock.wall_ms(),
        )
