"""Reserves instances, so that one fault at a time controls their processes."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

from radishwind.standins.platform_fleet import Instance
from tests.soak.deployment import Deployment


def choose_unreserved(
    deployment: Deployment, rng: random.Random
) -> Instance | None:
    """Returns a random instance whose processes no other fault controls.

    Returns `None` if fewer than three are left, so that at least two instances
    keep running.
    """
    unreserved = [
        i
        for i in deployment.instances()
        if i.place.name not in deployment.reserved
    ]
    if len(unreserved) < 3:
        return None
    return rng.choice(unreserved)


async def inject_exclusively(
    deployment: Deployment,
    rng: random.Random,
    fault: Callable[[Instance], Awaitable[None]],
) -> str:
    """Injects a fault into an instance of its own; returns the name."""
    instance = choose_unreserved(deployment, rng)
    if instance is None:
        return "nothing"
    deployment.reserved.add(instance.place.name)
    try:
        await fault(instance)
    finally:
        deployment.reserved.discard(instance.place.name)
    return instance.place.name
