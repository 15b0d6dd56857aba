"""Wires what goes between nodes, and what authenticates it.

With client accounts a node says for which account an attempt is, so messages
between nodes are signed while the configuration in force has any.
"""

from collections.abc import Callable
import os
import random

import anyio

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
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.account_policy import AccountPolicy
from radishwind.sidecar.options import start_spread_s
from radishwind.sidecar.route_verifier import RouteVerifier
from radishwind.sidecar.secret_manager import SecretManager
from radishwind.store.base import Store
from radishwind.store.base import StoreEntry
from radishwind.target.pipeline import TargetPipeline


class PeerSide:
    """What a node sends to others and takes from them.

    Attributes:
      keyring: the secrets that count.
      authenticator: signs and verifies datagrams.
      signer: signs requests.
      client: sends control messages.
      socket: sends datagrams.
      listener: takes requests of other nodes.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        sender: Sender,
        traffic: PeerTraffic,
    ) -> None:
        """Wires what needs no other part.

        Args:
          settings: of the node.
          clock: the clock.
          sender: sends to other nodes.
          traffic: counts what is sent to them.
        """
        self._settings = settings
        self._clock = clock
        self._own = settings.peer_address or settings.peers
        self._ran_without = False
        self._start_ids = StartIds(os.urandom(START_ID_BYTES))
        self.keyring = Keyring(clock)
        self.authenticator = FleetDatagramAuthenticator(
            self.keyring, self._start_ids, self._own, clock
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
        """Wires what needs other parts.

        Args:
          rng: the random source of pauses.
          store: the platform's store.
          membership: which nodes there are.
          routes: the routes in force.
          target: runs the attempts.
          record_request_from: takes the host of each node that sends an
            attempt.
          link_admission: bounds the large answers that go out at once.
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
            verifier=FleetVerifier(self.keyring, self._start_ids, self._own),
            policy=AccountPolicy(self.keyring, routes, self._directory),
            record_request_from=record_request_from,
            link_admission=link_admission,
        )
        membership.listen_on(self.listener)
        routes.subscribe(self._adopted)

    def listed(self, entry: StoreEntry) -> None:
        """Takes an entry that was listed with the contacts."""
        self._secret_manager.on_listed(entry)

    async def run(self) -> None:
        """Finds the secret when it is needed, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._route_verifier.run)
            await self._secret_manager.run()

    def refused(self) -> dict[str, int]:
        """Returns how many messages were refused, by what and why."""
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

    def _adopted(self, cfg: RouteConfig) -> None:
        """Signs where there are accounts, and asks others to some time later.

        Where this node ran without accounts the others may still do so, and at
        the very first start all read the secret at the same time.
        """
        with_grace = self._ran_without or self._settings.first_start
        self.keyring.set_has_accounts(bool(cfg.accounts), with_grace=with_grace)
        self._ran_without = not cfg.accounts

    def _ranks_first(self) -> bool:
        """Returns whether this node ranks first of those that live."""
        others = [
            member.name
            for member in self._directory.members()
            if member.state is not MemberState.DEAD
            and member.name != self._settings.node
        ]
        return ranks_among_first(self._settings.node, others, 1)
