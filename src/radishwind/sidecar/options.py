"""The limits and times of a node on the platform, and where they come from."""

from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.membership.gossip_options import GossipOptions
from radishwind.routing.cost_weights import CostWeights
from radishwind.settings.node import NodeSettings
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.switches import Switches
from radishwind.store.budgeted_store import StoreBudget

#: Connections kept to one peer, to the server beside, and to the store.
PEER_CONNECTIONS = 250
SERVER_CONNECTIONS = 250
STORE_CONNECTIONS = 8

#: Connections that the listeners hold, by who comes there. With those that we
#: open they stay below the 3,900 sockets that the platform grants: callers who
#: come back each time on a new connection left 3,003 and 4,199 open in one node
#: while they were kept for their idle time.
MAX_CALLER_CONNECTIONS = 2000
MAX_PEER_CONNECTIONS = 1200
MAX_OTHER_CONNECTIONS = 64

#: Idle connections to peers are kept so long (s); they are ours at both ends.
PEER_KEEPALIVE_S = 20.0

#: Idle connections to the server are kept so long (s): less than the shortest
#: idle time that servers of the deployments have, 10 s.
SERVER_KEEPALIVE_S = 8.0

#: Listeners keep idle connections at least so long (s); callers use one again
#: after up to four fifths of the configured limit, 15 s as deployed.
CALLER_IDLE_S = 20.0
PEER_IDLE_S = 60.0

#: Pipelined requests of one connection that run before their turn: callers of
#: the deployments send one or two; more of one connection would take a server's
#: slots from others.
AHEAD = 8

#: A refused request may come back after about this time (s); callers heed at
#: most a third of the time they have left.
RETRY_AFTER_S = 0.15

#: Nobody is told to come back later than this (s): the time limits of the
#: deployments are 0.25 to 2.5 s. Returns are spread by this part.
MAX_RETRY_AFTER_S = 0.25
RETRY_AFTER_SPREAD = 0.3

#: The first calls of the store wait up to this long, at random (s).
START_SPREAD_S = 0.15

#: The same where the whole system starts for the first time (s): callers come
#: 10 s later, and who comes late finds contacts and routes by one call. With
#: 26 nodes a calm day made 274 calls of the store where all came within 0.15 s.
FIRST_START_SPREAD_S = 1.5

#: Facts of one message (bytes), by their length in JSON: in msgpack, with the
#: own fact and that of the receiver beside them, it still fits a datagram.
DATAGRAM_PAYLOAD_BYTES = 1_000

GOSSIP = GossipOptions(
    probe_period_s=1.0,
    probe_timeout_s=0.4,
    suspicion_periods=2.0,
    push_delay_s=0.05,
    rejoin_period_s=2.0,
    sync_period_s=8.0,
    sync_retry_s=0.3,
    forget_after_s=120.0,
    message_payload_bytes=DATAGRAM_PAYLOAD_BYTES,
)

#: A node alone looks for others within a second of the store's return.
DISCOVERY = DiscoveryOptions(
    spread_s=START_SPREAD_S,
    backoff_s=0.3,
    max_backoff_s=1.0,
    early_checks=0,
    burst_calls=30,
    calls_per_hour=1200.0,
    contacts=3,
    prefers_stale_reads=True,
)

STORE_BUDGET = StoreBudget(
    calls_per_s=10.0, burst=60, initial_pause_s=0.1, max_pause_s=0.8
)


def membership_settings(settings: PlacedSettings) -> NodeSettings:
    """Returns the settings that membership reads."""
    return NodeSettings(
        target=settings.node,
        service=settings.service,
        failure_domain=settings.failure_domain,
        store=settings.store,
        caller_listen=settings.callers,
        peer_listen=settings.peers,
        peer_address=settings.peer_address,
        admin_listen=settings.control,
        start_spread_s=start_spread_s(settings),
    )


def start_spread_s(settings: PlacedSettings) -> float:
    """Returns how long the first calls of the store wait at most (s)."""
    if settings.first_start:
        return FIRST_START_SPREAD_S
    return START_SPREAD_S


def cost_weights_for(switches: Switches) -> CostWeights:
    """Returns what counts in a choice of a target."""
    usual = CostWeights()
    return CostWeights(
        cross_domain_s=usual.cross_domain_s if switches.crossing else 0.0,
        failure_factor=usual.failure_factor if switches.failures else 0.0,
        slowness_weight=usual.slowness_weight if switches.slowness else 0.0,
    )
