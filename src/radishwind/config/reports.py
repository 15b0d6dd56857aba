"""Reports on configuration that a node's admin listener returns."""

import msgspec

from radishwind.config.model import Inventory
from radishwind.config.model import Rules

CONFIG_PATH = "/v1/config"
FLEET_PATH = "/v1/config/fleet"


class ConfigInForce(msgspec.Struct, frozen=True):
    """The configuration in force on a node."""

    revision: int
    change_id: str
    inventory: Inventory
    rules: Rules


class FleetReport(msgspec.Struct, frozen=True):
    """Which nodes have adopted a configuration, as seen by one node.

    Attributes:
      revision: revision in force on the reporting node.
      change_id: ID of the change that produced it.
      members: number of known nodes, including the reporting node.
      in_force: number of nodes with this revision or a newer one.
      lagging: names of up to 100 nodes with an older revision.
      silent: names of up to 100 nodes that did not respond.
      unlisted: names of up to 100 nodes that announced themselves but are not
        in the inventory; they get no requests.
    """

    revision: int
    change_id: str
    members: int
    in_force: int
    lagging: tuple[str, ...]
    silent: tuple[str, ...]
    unlisted: tuple[str, ...]
