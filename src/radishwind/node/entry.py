"""Creates the routing policy of a node."""

from collections.abc import Callable
import random

from radishwind.config.index import ConfigIndex
from radishwind.routing import make_chooser
from radishwind.routing import TargetChooser
from radishwind.settings import NodeSettings
from radishwind.target import TargetPipeline


def make_node_chooser(
    settings: NodeSettings,
    rng: random.Random,
    index: Callable[[], ConfigIndex],
    target: TargetPipeline,
) -> TargetChooser:
    """Returns the routing policy that the settings select."""
    return make_chooser(
        settings.routing,
        rng,
        node_name=settings.target,
        failure_domain=settings.failure_domain,
        index=index,
        own_load=target.load_report,
    )
