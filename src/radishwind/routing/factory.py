"""Makes the routing policy that a setting names."""

from collections.abc import Callable
import enum
import random

from radishwind.config.index import ConfigIndex
from radishwind.routing.balanced_chooser import BalancedChooser
from radishwind.routing.baselines import FewestOwnRequests
from radishwind.routing.baselines import RandomChooser
from radishwind.routing.baselines import RoundRobin
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser


class RoutingPolicy(enum.StrEnum):
    """The policies; all but `balanced` are there to be compared with."""

    BALANCED = "balanced"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    FEWEST_OWN = "fewest-own"

    @classmethod
    def parse(cls, text: str) -> "RoutingPolicy":
        """Parses the name of a policy.

        Raises:
          ValueError: it names none.
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
    """Returns a chooser of `policy`; see `BalancedChooser` for the rest."""
    if policy is RoutingPolicy.RANDOM:
        return RandomChooser(rng)
    if policy is RoutingPolicy.ROUND_ROBIN:
        return RoundRobin(rng)
    if policy is RoutingPolicy.FEWEST_OWN:
        return FewestOwnRequests(rng)
    return BalancedChooser(
        rng,
        node_name=node_name,
        failure_domain=failure_domain,
        index=index,
        own_load=own_load,
    )
