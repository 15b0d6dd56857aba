"""The metrics of a node and where they are served."""

from collections.abc import Callable
from collections.abc import Mapping
import typing

import msgspec

from radishwind.entry.attempts import AttemptCounts
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.routes.emptied import EmptiedInForce
from radishwind.routes.in_force import RoutesInForce
from radishwind.sidecar.peer_side import PeerSide
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.budget import BudgetedStore
from radishwind.telemetry.exposition import NodeExposition
from radishwind.telemetry.output import BoundedOutput

PATH = "/metrics"

_TEXT = (("Content-Type", "text/plain; version=0.0.4"),)


class Counted(typing.NamedTuple):
    """What is counted in a node."""

    attempts: AttemptCounts
    target: SidecarTarget
    membership: MembershipTasks
    routes: RoutesInForce
    emptied: EmptiedInForce
    store: BudgetedStore
    peers: PeerSide
    output: BoundedOutput
    left_out: Callable[[], Mapping[str, int]]


def add_metrics(metrics: NodeExposition, counted: Counted) -> None:
    """Adds what the parts of a node count anyway."""
    _add_data_path(metrics, counted)
    _add_control(metrics, counted)


def _add_data_path(metrics: NodeExposition, counted: Counted) -> None:
    counts, target = counted.attempts, counted.target
    metrics.counter(
        "radishwind_attempts_total",
        "Attempts, hedges among them.",
        lambda: {'kind="all"': counts.attempts, 'kind="hedge"': counts.hedges},
    )
    metrics.counter(
        "radishwind_target_outcomes_total",
        "Attempts at the server beside, by outcome.",
        lambda: {
            f'outcome="{kind}"': count
            for kind, count in target.pipeline.outcomes().items()
        },
    )
    metrics.counter(
        "radishwind_queue_wait_seconds_total",
        "Time that attempts waited for a slot.",
        lambda: {"": target.pipeline.queue_wait_s},
    )
    metrics.counter(
        "radishwind_health_checks_total",
        "Health checks sent to the server beside.",
        lambda: {"": target.pulse.checks},
    )
    metrics.gauge(
        "radishwind_target_requests",
        "Requests at the server beside and waiting for it.",
        lambda: {
            'state="in_flight"': target.admission.in_flight,
            'state="queued"': target.admission.queued,
        },
    )
    metrics.gauge(
        "radishwind_target_pace",
        "How long work takes there now; 1 is as usual.",
        lambda: {"": target.pulse.now().factor},
    )
    metrics.gauge(
        "radishwind_target_best_in_flight",
        "Requests at once at which the server beside ends most.",
        lambda: {"": target.admission.slots},
    )
    metrics.gauge(
        "radishwind_target_cold",
        "1 while the server beside is cold and bounded, else 0.",
        lambda: {"": int(target.warmup.is_cold)},
    )
    metrics.gauge(
        "radishwind_load_age_seconds",
        "Age of the last load figure of the server beside.",
        lambda: {"": target.pulse.age_s()},
    )


def _add_control(metrics: NodeExposition, counted: Counted) -> None:
    store, membership = counted.store, counted.membership
    metrics.counter(
        "radishwind_store_calls_total",
        "Calls of the store, by kind.",
        lambda: {
            **{f'kind="{k}"': n for k, n in store.calls.items()},
            'kind="failed"': store.failed,
            'kind="unsent"': store.refused,
        },
    )
    metrics.gauge(
        "radishwind_members",
        "Nodes known, by state.",
        lambda: {
            f'state="{state}"': count
            for state, count in membership.members_by_state().items()
        },
    )
    metrics.gauge(
        "radishwind_routes_version",
        "The version of the routes in force.",
        lambda: {"": counted.routes.version},
    )
    metrics.gauge(
        "radishwind_domains_emptied",
        "Failure domains that get nothing new, by name.",
        lambda: {f'domain="{n}"': 1 for n in sorted(counted.emptied.names)},
    )
    metrics.counter(
        "radishwind_datagrams_total",
        "Datagrams between nodes: load, and short messages of membership.",
        lambda: {
            'way="sent"': counted.peers.socket.sent,
            'way="received"': counted.peers.socket.received,
            'way="malformed"': counted.peers.socket.malformed,
        },
    )
    metrics.counter(
        "radishwind_peer_messages_refused_total",
        "Messages between nodes that were refused, by what and why.",
        counted.peers.refused,
    )
    metrics.gauge(
        "radishwind_peer_signatures",
        "1 for what holds: messages are signed, required to be, lack a secret.",
        lambda: {
            'state="signed"': int(counted.peers.keyring.signing is not None),
            'state="required"': int(counted.peers.keyring.requires),
            'state="lacking"': int(counted.peers.keyring.lacks),
        },
    )
    metrics.counter(
        "radishwind_left_out_total",
        "Words of other writers that nobody can read, by where they came.",
        lambda: {f'from="{k}"': n for k, n in counted.left_out().items()},
    )
    metrics.counter(
        "radishwind_log_lines_dropped_total",
        "Log lines that the reader did not take in time.",
        lambda: {"": counted.output.dropped},
    )


class MetricsListener(msgspec.Struct, frozen=True):
    """Answers on the metrics address.

    Attributes:
      metrics: what is told.
    """

    metrics: NodeExposition

    async def handle(self, request: Request) -> Response:
        """Answers one question."""
        if request.path.partition("?")[0] != PATH:
            return Response(404, (), b"", 0)
        body = self.metrics.text().encode()
        return Response(200, _TEXT, body, len(body))
