"""Handles what the backend server states of itself in its responses."""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.membership.rumor_bus import RumorBus
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.dialect import VerifiedResponse
from radishwind.target.limit_records import LimitRecords
from radishwind.target.registered_server import RegisteredServer
from radishwind.target.server_process import ServerProcess
from radishwind.target.stated_limit import StatedLimit


class ServerNotices:
    """Applies the request limit that the server states, and that it leaves.

    Responses to requests that were sent before the current process of the
    server was accepted are ignored.
    """

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rumor_bus: RumorBus,
        server: RegisteredServer,
        limit: StatedLimit,
        on_leaving: Callable[[ServerProcess], None] | None = None,
    ) -> None:
        """Wires the handling.

        Args:
          node_name: the name of this node.
          clock: the clock.
          rumor_bus: keeps the limit across a restart of this node.
          server: the backend server.
          limit: the limit that it states.
          on_leaving: called with a process that states for the first time that
            it is leaving.
        """
        self._server = server
        self._limit = limit
        self._on_leaving = on_leaving or _ignore_process
        self._records = LimitRecords(
            node_name=node_name,
            clock=clock,
            rumor_bus=rumor_bus,
            process=lambda: server.process,
            on_restored=limit.restore,
        )

    def record_process(self) -> None:
        """Forgets what the previous process of the server stated."""
        self._limit.reset()
        self._records.restore()

    def record_response(self, response: VerifiedResponse) -> None:
        """Handles the response to a request."""
        metadata = response.metadata
        if metadata.is_other_incarnation:
            return
        if not self._server.is_from_current(
            response.incarnation, response.sent_at
        ):
            return
        self._limit.record_response(
            metadata, response.sent_at, is_success=response.is_success
        )
        self._apply(metadata)

    def record_check(self, response: ResponseMetadata, sent_at: float) -> None:
        """Handles the response to a health check.

        Args:
          response: what it states. It is taken to come from the current
            incarnation if it names none.
          sent_at: when the check was sent (monotonic s).
        """
        incarnation = response.incarnation or self._server.incarnation
        if not self._server.is_from_current(incarnation, sent_at):
            return
        self._limit.record_check(response, sent_at)
        self._apply(response)

    def _apply(self, metadata: ResponseMetadata) -> None:
        self._records.update(self._limit.per_s)
        if not metadata.is_leaving:
            return
        process = self._server.process
        if self._server.mark_leaving(process):
            self._on_leaving(process)


def _ignore_process(process: ServerProcess) -> None:
    """The default for `on_leaving`."""
