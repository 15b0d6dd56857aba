"""Opens the listeners of a node, each with its own limits."""

import msgspec

from radishwind.http.byte_meter import ByteMeter
from radishwind.http.byte_meter import NO_METER
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.httptools_server import HttptoolsServer
from radishwind.http.server import Handler
from radishwind.http.server_connection import MayRunInParallel
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.http.types import Request
from radishwind.node.error_logging import with_error_logging
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.options import CALLER_IDLE_TIMEOUT_S
from radishwind.sidecar.options import MAX_CALLER_CONNECTIONS
from radishwind.sidecar.options import MAX_OTHER_CONNECTIONS
from radishwind.sidecar.options import MAX_PEER_CONNECTIONS
from radishwind.sidecar.options import PEER_IDLE_TIMEOUT_S
from radishwind.sidecar.options import WRITE_TIMEOUT_S
from radishwind.supervision import failure_log
from radishwind.telemetry.part_logger import PartLogger


class Handlers(msgspec.Struct, frozen=True):
    """The handlers of the listeners.

    Attributes:
      callers: handles requests of callers.
      peers: handles requests of other nodes.
      heartbeats: handles heartbeats of the local backend server.
      ready: handles readiness checks of the platform.
      metrics: serves the metrics.
      may_run_in_parallel: whether a pipelined request of a caller may run
        before the ones ahead of it are answered.
    """

    callers: Handler
    peers: Handler
    heartbeats: Handler
    ready: Handler
    metrics: Handler
    may_run_in_parallel: MayRunInParallel


def without_errors(may_run_in_parallel: MayRunInParallel) -> MayRunInParallel:
    """Returns the same decision; an error in it lets no request run ahead."""

    def decide(request: Request) -> bool:
        try:
            return may_run_in_parallel(request)
        except Exception as exc:
            failure_log().record("callers.pipelining", exc)
            return False

    return decide


async def open_listeners(
    settings: PlacedSettings,
    handlers: Handlers,
    max_pipelined: int,
    log: PartLogger,
    link_meter: ByteMeter,
    memory: ConnectionMemory,
    servers: list[HttptoolsServer],
) -> None:
    """Opens the listeners.

    Args:
      settings: the addresses to listen on.
      handlers: the handlers of the listeners.
      max_pipelined: pipelined requests of a caller that run in parallel.
      log: logs unexpected errors of handlers.
      link_meter: counts the bytes exchanged with other nodes.
      memory: bounds what the connections of all listeners hold.
      servers: gets each listener once it is open, so that those can be closed
        if a later one cannot be opened.
    """
    callers = ServerLimits(
        max_connections=MAX_CALLER_CONNECTIONS,
        idle_timeout_s=CALLER_IDLE_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        max_pipelined=max_pipelined,
    )
    peers = ServerLimits(
        max_connections=MAX_PEER_CONNECTIONS,
        idle_timeout_s=PEER_IDLE_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        max_pipelined=0,
    )
    others = ServerLimits(
        max_connections=MAX_OTHER_CONNECTIONS,
        idle_timeout_s=CALLER_IDLE_TIMEOUT_S,
        write_timeout_s=WRITE_TIMEOUT_S,
        max_pipelined=0,
    )
    listeners = [
        (handlers.peers, settings.peers, peers),
        (handlers.heartbeats, settings.control, others),
        (handlers.callers, settings.callers, callers),
        (handlers.ready, settings.ready, others),
    ]
    if settings.metrics_port:
        address = Address(settings.host, settings.metrics_port)
        listeners.append((handlers.metrics, address, others))
    for handler, listen, limits in listeners:
        meter = link_meter if limits is peers else NO_METER
        server = HttptoolsServer(
            limits, without_errors(handlers.may_run_in_parallel), meter, memory
        )
        await server.start(with_error_logging(handler, log), listen)
        servers.append(server)
