"""Opens the listeners of a node, each with its limits."""

from collections.abc import Sequence

import msgspec

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.server import Handler
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.node.error_logging import with_error_logging
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.options import CALLER_IDLE_S
from radishwind.sidecar.options import MAX_CALLER_CONNECTIONS
from radishwind.sidecar.options import MAX_OTHER_CONNECTIONS
from radishwind.sidecar.options import MAX_PEER_CONNECTIONS
from radishwind.sidecar.options import PEER_IDLE_S
from radishwind.telemetry.part_logger import PartLogger


class Handlers(msgspec.Struct, frozen=True):
    """Who answers at each listener.

    Attributes:
      callers: requests of callers.
      peers: requests of other nodes.
      heartbeats: what the server beside tells.
      ready: the platform's question whether the node takes callers.
      metrics: the metrics.
      may_run_in_parallel: whether a pipelined request of a caller may run
        before the ones ahead of it are answered.
    """

    callers: Handler
    peers: Handler
    heartbeats: Handler
    ready: Handler
    metrics: Handler
    may_run_in_parallel: MayRunInParallel


async def listening(
    settings: PlacedSettings,
    handlers: Handlers,
    max_pipelined: int,
    log: PartLogger,
    link: ByteMeter,
) -> Sequence[HttptoolsServer]:
    """Returns the listeners, open.

    Args:
      settings: where they listen.
      handlers: who answers.
      max_pipelined: pipelined requests of a caller that run in parallel.
      log: told of handlers that fail.
      link: counts what passes between nodes.
    """
    callers = ServerLimits(
        max_connections=MAX_CALLER_CONNECTIONS,
        idle_timeout_s=CALLER_IDLE_S,
        max_pipelined=max_pipelined,
    )
    peers = ServerLimits(
        max_connections=MAX_PEER_CONNECTIONS,
        idle_timeout_s=PEER_IDLE_S,
        max_pipelined=0,
    )
    others = ServerLimits(
        max_connections=MAX_OTHER_CONNECTIONS,
        idle_timeout_s=CALLER_IDLE_S,
        max_pipelined=0,
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
        server = HttptoolsServer(limits, handlers.may_run_in_parallel, meter)
        await server.start(with_error_logging(handler, log), listen)
        servers.append(server)
    return servers
