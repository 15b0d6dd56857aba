"""Wires the communication between nodes and its authentication.

A forwarded attempt names its client account, so messages between nodes are
signed while the configuration in force has any accounts.
"""

from collections.abc import Callable
import os
import random

from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.http.sender import Sender
from radishwind.loads.link_admission import LinkAdmission
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import ranks_among_first
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.peers.fleet_security import FleetDatagramAuthenticator
from radishwind.peers.fleet_security import FleetSigner
from radishwind.peers.fleet_security import FleetVerifier
from radishwind.peers.fleet_security import START_ID_BYTES
from radishwind.peers.fleet_security import StartIds
from radishwind.peers.keyring import Keyring
from radishwind.peers.peer_client import HttpPeerClient
from radishwind.peers.peer_listener import PeerListener
from radishwind.peers.peer_socket import PeerSocket
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.platform import decode_routes
from radishwind.platform.routes import CONFIG_KEY
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.model import RouteConfig
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.account_policy import AccountPolicy
from radishwind.sidecar.options import start_spread_s
from radishwind.sidecar.route_verifier import RouteVerifier
from radishwind.sidecar.secret_manager import SecretManager
from radishwind.store.base import Store
from radishwind.store.base import StoreEntry
from radishwind.supervision import Duty
from radishwind.target.pipeline import TargetPipeline


class PeerSide:
    """Sends messages to other nodes and receives theirs.

    Attributes:
      keyring: the secrets by which messages are signed and verified.
      authenticator: signs and verifies datagrams.
      signer: signs requests.
      client: sends control messages.
      socket: sends and receives datagrams.
      listener: handles requests of other nodes.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        sender: Sender,
        traffic: PeerTraffic,
    ) -> None:
        """Wires the parts that depend on no other side of the node.

        Args:
          settings: settings of the node.
          clock: the clock.
          sender: sends requests to other nodes.
          traffic: counts the messages to other nodes.
        """
        self._settings = settings
        self._clock = clock
        self._own_address = settings.peer_address or settings.peers
        self._had_no_accounts = False
        self._start_ids = StartIds(os.urandom(START_ID_BYTES))
        self.keyring = Keyring(clock)
        self.authenticator = FleetDatagramAuthenticator(
            self.keyring, self._start_ids, self._own_address, clock
        )
        self.signer = FleetSigner(self.keyring, self._start_ids)
        self.client = HttpPeerClient(sender, self.signer, traffic)
        self.socket = PeerSocket(self.authenticator, traffic.record_datagram)

    def wire(
        self,
        *,
        rng: random.Random,
        store: Store,
        membership: MembershipTasks,
        routes: ActiveRoutes,
        target: TargetPipeline,
        record_request_from: Callable[[str], None],
        link_admission: LinkAdmission,
        restart: Callable[[], None],
    ) -> None:
        """Wires the parts that depend on other sides of the node.

        Args:
          rng: randomizes backoff.
          store: the platform's store.
          membership: the known nodes.
          routes: the routes in force.
          target: runs the forwarded attempts.
          record_request_from: called with the host of each node that forwards
            an attempt.
          link_admission: limits concurrent large responses by the free capacity
            of the link.
          restart: ends the process, to start without its unverified routes.
        """
        self._directory = membership.directory
        self._secret_manager = SecretManager(
            keyring=self.keyring,
            store=store,
            clock=self._clock,
            rng=rng,
            rumor_bus=membership.rumor_bus,
            is_creator=self._ranks_first,
            spread_s=start_spread_s(self._settings),
            entropy=os.urandom,
        )
        self._route_verifier = RouteVerifier(
            keyring=self.keyring,
            routes=routes,
            store=store,
            key=CONFIG_KEY,
            decode=decode_routes,
            clock=self._clock,
            on_forged=restart,
        )
        self.listener = PeerListener(
            node_name=self._settings.node,
            clock=self._clock,
            rules_for=lambda service: ServiceRules(),
            target=target,
            verifier=FleetVerifier(
                self.keyring, self._start_ids, self._own_address
            ),
            policy=AccountPolicy(self.keyring, routes, self._directory),
            record_request_from=record_request_from,
            link_admission=link_admission,
        )
        membership.listen_on(self.listener)
        routes.subscribe(self._on_adopted)

    def on_listed(self, entry: StoreEntry) -> None:
        """Accepts an entry that was listed together with the contacts."""
        self._secret_manager.on_listed(entry)

    def on_new_era(self) -> None:
        """Handles that the store came back from a copy."""
        self._secret_manager.on_new_era()

    def duties(self) -> tuple[Duty, ...]:
        """Returns the duties: to verify the routes and to obtain the secret."""
        return (
            Duty("peers.route_check", self._route_verifier.run),
            Duty("peers.secret", self._secret_manager.run),
        )

    def refused_by_label(self) -> dict[str, int]:
        """Returns the number of refused messages by kind and reason.

        The keys are the labels of the metric.
        """
        return {
            **{
                f'what="request",why="RW-{code}"': count
                for code, count in self.listener.refused_by_code.items()
            },
            **{
                f'what="datagram",why="{why}"': count
                for why, count in self.authenticator.refused_by_reason.items()
            },
        }

    def _on_adopted(self, cfg: RouteConfig) -> None:
        """Signs if there are accounts, and later requires signatures.

        With a grace period if this node had no accounts before, since other
        nodes may not have adopted them yet, and at the first start of the whole
        system, when all nodes read the secret at the same time.
        """
        with_grace = self._had_no_accounts or self._settings.first_start
        self.keyring.set_has_accounts(bool(cfg.accounts), with_grace=with_grace)
        self._had_no_accounts = not cfg.accounts

    def _ranks_first(self) -> bool:
        """Returns whether this node ranks first among the live nodes."""
        others = [
            member.name
            for member in self._directory.members()
            if member.state is not MemberState.DEAD
            and member.name != self._settings.node
        ]
        return ranks_among_first(self._settings.node, others, 1)
