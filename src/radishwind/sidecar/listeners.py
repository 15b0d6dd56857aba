"""Opens the listeners of a node, each with its limits."""

from collections.abc import Sequence

import msgspec

from radishwind.http.httptools_connection import MayRunAhead
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.limits import ServerLimits
from radishwind.http.meter import ByteMeter
from radishwind.http.meter import NO_METER
from radishwind.http.server import Handler
from radishwind.http.types import Address
from radishwind.node.error_logging import with_error_logging
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.options import CALLER_IDLE_S
from radishwind.sidecar.options import MAX_CALLER_CONNECTIONS
from radishwind.sidecar.options import MAX_OTHER_CONNECTIONS
from radishwind.sidecar.options import MAX_PEER_CONNECTIONS
from radishwind.sidecar.options import PEER_IDLE_S
from radishwind.telemetry.logs import PartLogger


class Handlers(msgspec.Struct, frozen=True):
    """Who answers at each listener.

    Attributes:
      callers: requests of callers.
      peers: requests of other nodes.
      heartbeats: what the server beside tells.
      ready: the platform's question whether the node takes callers.
      metrics: the metrics.
      may_run_ahead: decides which pipelined requests of callers run before
        their turn.
    """

    callers: Handler
    peers: Handler
    heartbeats: Handler
    ready: Handler
    metrics: Handler
    may_run_ahead: MayRunAhead


async def listening(
    settings: PlacedSettings,
    handlers: Handlers,
    ahead: int,
    log: PartLogger,
    link: ByteMeter,
) -> Sequence[HttptoolsServer]:
    """Returns the listeners, open.

    Args:
      settings: where they listen.
      handlers: who answers.
      ahead: pipelined requests of a caller that run before their turn.
      log: told of handlers that fail.
      link: counts what passes between nodes.
    """
    callers = ServerLimits(
        connections=MAX_CALLER_CONNECTIONS, idle_s=CALLER_IDLE_S, ahead=ahead
    )
    peers = ServerLimits(
        connections=MAX_PEER_CONNECTIONS, idle_s=PEER_IDLE_S, ahead=0
    )
    others = ServerLimits(
        connections=MAX_OTHER_CONNECTIONS, idle_s=CALLER_IDLE_S, ahead=0
    )
    wanted = [
        (handlers.peers, settings.peers, peers),
        (handlers.heartbeats, settings.control, others),
        (handlers.callers, settings.callers, callers),
        (handlers.ready, settings.ready, others),
    ]
    if settings.metrics_port:
        address = Address(settings.host, settings.metrics_port)
        wanted.append((handlers.metrics, address, others))
    servers = []
    for handler, listen, limits in wanted:
        meter = link if limits is peers else NO_METER
        server = HttptoolsServer(limits, handlers.may_run_ahead, meter)
        await server.start(with_error_logging(handler, log), listen)
        servers.append(server)
    return servers
