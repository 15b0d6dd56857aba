"""Creates a node's store clients and configuration tasks."""

from collections.abc import Callable
import dataclasses
import random

from radishwind.config.config_exchange import CONTROL_NAME
from radishwind.config.index import ConfigIndex
from radishwind.core import Clock
from radishwind.http import Sender
from radishwind.membership.directory import Directory
from radishwind.membership.rumor_bus import RumorBus
from radishwind.node.admin import AdminListener
from radishwind.node.config_admin import ConfigAdmin
from radishwind.node.config_tasks import ConfigTasks
from radishwind.node.node_telemetry import NodeTelemetry
from radishwind.peers import PeerClient
from radishwind.peers import PeerListener
from radishwind.settings import NodeSettings
from radishwind.store import BudgetedStore
from radishwind.store import EtcdStore
from radishwind.store import StoreBudget
from radishwind.telemetry import PartLogger

#: Number of consecutive failures after which store calls of claims pause: never
#: reached, because claims have a circuit breaker of their own.
_NEVER_PAUSE = 2**31


@dataclasses.dataclass(frozen=True, slots=True)
class NodeStores:
    """Two clients of the store, each with a call budget of its own.

    Attributes:
      control: for membership and configuration.
      claims: for claims, which divide their call rates between the nodes and
        pause after failures by themselves. This client counts the calls and
        limits them to the rates of the settings.
    """

    control: BudgetedStore
    claims: BudgetedStore

    async def close(self) -> None:
        """Closes the connections to the store."""
        await self.control.close()
        await self.claims.close()


def make_stores(
    settings: NodeSettings,
    control_sender: Sender,
    claims_sender: Sender,
    clock: Clock,
    rng: random.Random,
) -> NodeStores:
    """Returns the store clients, limited by the node's call budgets."""
    control = StoreBudget(settings.store_calls_per_s, settings.store_burst)
    claims_per_s = settings.claim_writes_per_s + settings.claim_reads_per_s
    claims = StoreBudget(
        claims_per_s,
        max(settings.store_burst, int(claims_per_s)),
        pause_after_failures=_NEVER_PAUSE,
    )
    return NodeStores(
        BudgetedStore(
            EtcdStore(control_sender, settings.store), clock, rng, control
        ),
        BudgetedStore(
            EtcdStore(claims_sender, settings.store), clock, rng, claims
        ),
    )


def make_config(
    *,
    settings: NodeSettings,
    clock: Clock,
    rng: random.Random,
    stores: NodeStores,
    directory: Directory,
    peers: PeerClient,
    rumor_bus: RumorBus,
    listener: PeerListener,
    admin: AdminListener,
    telemetry: NodeTelemetry,
    on_adopted: Callable[[ConfigIndex], None],
) -> ConfigTasks:
    """Returns the configuration tasks; registers their paths and metrics."""
    tasks = ConfigTasks(
        settings=settings,
        clock=clock,
        rng=rng,
        store=stores.control,
        directory=directory,
        peers=peers,
        rumor_bus=rumor_bus,
        on_adopted=on_adopted,
        log=PartLogger("config", clock).info,
    )
    listener.add_control_handler(CONTROL_NAME, tasks.handle_control)
    config_admin = ConfigAdmin(tasks, stores.control, stores.claims)
    config_admin.add_to(admin)
    config_admin.add_metrics(telemetry)
    return tasks
