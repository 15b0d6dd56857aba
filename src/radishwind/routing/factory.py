"""Creates the routing policy given by a setting."""

from collections.abc import Callable
import enum
import random

from radishwind.config.index import ConfigIndex
from radishwind.routing.balanced_chooser import BalancedChooser
from radishwind.routing.baselines import LeastRequestChooser
from radishwind.routing.baselines import RandomChooser
from radishwind.routing.baselines import RoundRobinChooser
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser


class RoutingPolicy(enum.StrEnum):
    """The routing policies; all but `balanced` serve as baselines."""

    BALANCED = "balanced"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    FEWEST_OWN = "fewest-own"

    @classmethod
    def parse(cls, text: str) -> "RoutingPolicy":
        """Parses the name of a policy.

        Raises:
          ValueError: if `text` isn't the name of a policy.
        """
        try:
            return cls(text)
        except ValueError:
            raise ValueError(f"expected one of {', '.join(cls)}") from None


def make_chooser(
    policy: RoutingPolicy,
    rng: random.Random,
    *,
    node_name: str,
    failure_domain: str,
    index: Callable[[], ConfigIndex],
    own_load: Callable[[], LoadReport] | None = None,
) -> TargetChooser:
    """Creates a chooser; for the arguments see `BalancedChooser`."""
    if policy is RoutingPolicy.RANDOM:
        return RandomChooser(rng)
    if policy is RoutingPolicy.ROUND_ROBIN:
        return RoundRobinChooser(rng)
    if policy is RoutingPolicy.FEWEST_OWN:
        return LeastRequestChooser(rng)
    return BalancedChooser(
        rng,
        node_name=node_name,
        failure_domain=failure_domain,
        index=index,
        own_load=own_load,
    )
