"""What a node's admin listener tells of configuration."""

import msgspec

from radishwind.config.model import Inventory
from radishwind.config.model import Rules

CONFIG_PATH = "/v1/config"
FLEET_PATH = "/v1/config/fleet"


class ConfigInForce(msgspec.Struct, frozen=True):
    """The configuration a node has in force."""

    revision: int
    change_id: str
    inventory: Inventory
    rules: Rules


class FleetReport(msgspec.Struct, frozen=True):
    """Where a configuration is in force, as one node sees it.

    Attributes:
      revision: the revision in force at the node asked.
      change_id: the change that made it.
      members: nodes known, the one asked included.
      in_force: how many of them have it, or a newer one.
      lagging: the names of up to 100 that have an older one.
      silent: the names of up to 100 that gave no answer.
      unlisted: up to 100 that announced themselves but are not in the
        inventory; they get no requests.
    """

    revision: int
    change_id: str
    members: int
    in_force: int
    lagging: tuple[str, ...]
    silent: tuple[str, ...]
    unlisted: tuple[str, ...]
