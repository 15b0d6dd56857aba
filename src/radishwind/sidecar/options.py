"""Limits and times of a node on the platform, with their reasons."""

from radishwind.membership.contact_registry import DiscoveryOptions
from radishwind.membership.gossip_options import GossipOptions
from radishwind.routing.cost_weights import CostWeights
from radishwind.settings.node_settings import NodeSettings
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.switches import Switches
from radishwind.store.budgeted_store import StoreBudget

#: Maximum number of connections to one peer, to the local backend server, to
#: its health path, and to the store.
PEER_POOL_SIZE = 250
SERVER_POOL_SIZE = 250
CHECK_POOL_SIZE = 1
STORE_POOL_SIZE = 8

#: Maximum number of connections of a listener, by its clients. Together with
#: the outgoing connections they stay below the 3,900 sockets that the platform
#: grants. Without these limits, callers that opened a connection for each
#: request left 3,003 and 4,199 connections open in one node until their idle
#: timeout.
MAX_CALLER_CONNECTIONS = 2000
MAX_PEER_CONNECTIONS = 1200
MAX_OTHER_CONNECTIONS = 64

#: Fraction of the machine's memory that all connections of all listeners may
#: hold together, and its least value (bytes). Nodes use 35 to 70 MB beside it.
CONNECTION_MEMORY_FRACTION = 0.25
MIN_CONNECTION_MEMORY_BYTES = 8 << 20

#: Idle timeout of connections to peers; both ends are nodes.
PEER_POOL_IDLE_S = 20.0

#: Idle timeout of connections to the server: less than the shortest idle
#: timeout of the servers in the deployments, 10 s.
SERVER_POOL_IDLE_S = 8.0

#: Idle timeouts of the listeners. Callers reuse a connection after up to four
#: fifths of the configured limit, which is 15 s as deployed.
CALLER_IDLE_TIMEOUT_S = 20.0
PEER_IDLE_TIMEOUT_S = 60.0

#: Time within which the receiver of a response must accept some of it (s): as
#: long as a connection may be idle.
WRITE_TIMEOUT_S = 20.0

#: Pipelined requests of one connection that may run in parallel. Callers in the
#: deployments send one or two; more of one connection would take a server's
#: slots from other callers.
MAX_PIPELINED = 8

#: Approximate time after which a refused request may be retried. Callers wait
#: for at most a third of their remaining time.
RETRY_AFTER_S = 0.15

#: Longest retry time given to a caller, since the timeouts in the
#: deployments are 0.25 to 2.5 s, and the fraction by which retry times are
#: spread.
MAX_RETRY_AFTER_S = 0.25
RETRY_AFTER_SPREAD = 0.3

#: The first store calls are delayed by a random time up to this.
START_SPREAD_S = 0.15

#: The same at the first start of the whole system. Callers arrive 10 s later,
#: and a node that starts late finds contacts and routes by one call. With 26
#: nodes that all called within 0.15 s, a day without faults took 274 store
#: calls.
FIRST_START_SPREAD_S = 1.5

#: Records and rumors in one message, by their length in JSON. Encoded as
#: msgpack, together with the records of sender and receiver, they still fit a
#: datagram.
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

#: A node without peers searches for them within a second after the store
#: becomes available.
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
    """Returns the settings that the membership uses."""
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


def connection_memory_bytes(settings: PlacedSettings) -> int:
    """Returns what all connections may hold together (bytes)."""
    share = int(settings.memory_bytes * CONNECTION_MEMORY_FRACTION)
    return max(MIN_CONNECTION_MEMORY_BYTES, share)


def start_spread_s(settings: PlacedSettings) -> float:
    """Returns the maximum delay of the first store calls (s)."""
    if settings.first_start:
        return FIRST_START_SPREAD_S
    return START_SPREAD_S


def cost_weights_for(switches: Switches) -> CostWeights:
    """Returns the weights of the routing cost with `switches`."""
    defaults = CostWeights()
    return CostWeights(
        cross_domain_s=defaults.cross_domain_s if switches.crossing else 0.0,
        failure_factor=defaults.failure_factor if switches.failures else 0.0,
        slowness_weight=defaults.slowness_weight if switches.slowness else 0.0,
    )
