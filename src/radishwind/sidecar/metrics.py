"""Registers the metrics of a node and serves them."""

from collections.abc import Callable
from collections.abc import Mapping
import typing

import msgspec

from radishwind.core.clock import Clock
from radishwind.entry.call_executor import AttemptCounts
from radishwind.entry.key_authenticator import KeyAuthenticator
from radishwind.entry.routed_classifier import RoutedClassifier
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.recency import ProofRenewer
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.sidecar.link_side import LinkSide
from radishwind.sidecar.peer_side import PeerSide
from radishwind.sidecar.quota_sharing import QuotaSharing
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.store.budgeted_store import BudgetedStore
from radishwind.store.watch_monitor import WatchMonitor
from radishwind.supervision import Supervisor
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.node_exposition import NodeExposition

PATH = "/metrics"

#: Number of routes whose body sizes are exported: those used most.
MAX_ROUTES = 32

_TEXT = (("Content-Type", "text/plain; version=0.0.4"),)


class MetricSources(typing.NamedTuple):
    """The parts of a node whose state the metrics expose."""

    attempts: AttemptCounts
    target: SidecarTarget
    membership: MembershipTasks
    routes: ActiveRoutes
    evacuation: EvacuationState
    store: BudgetedStore
    peers: PeerSide
    quotas: QuotaSharing
    links: LinkSide
    clock: Clock
    output: BoundedOutput
    malformed_by_source: Callable[[], Mapping[str, int]]
    keys: KeyAuthenticator
    recency: ProofRenewer
    classifier: RoutedClassifier
    watch: WatchMonitor
    supervisor: Supervisor
    memory: ConnectionMemory


def add_metrics(metrics: NodeExposition, sources: MetricSources) -> None:
    """Adds the metrics that read the state of the parts of a node."""
    _add_data_path(metrics, sources)
    _add_control(metrics, sources)
    _add_recency(metrics, sources)
    _add_quotas(metrics, sources.quotas)
    _add_supervision(metrics, sources)


def _add_data_path(metrics: NodeExposition, sources: MetricSources) -> None:
    counts, target = sources.attempts, sources.target
    metrics.add_counter(
        "radishwind_attempts_total",
        "Attempts, hedges among them.",
        lambda: {'kind="all"': counts.attempts, 'kind="hedge"': counts.hedges},
    )
    metrics.add_counter(
        "radishwind_target_outcomes_total",
        "Attempts at the server beside, by outcome.",
        lambda: {
            f'outcome="{kind}"': count
            for kind, count in target.pipeline.outcome_counts().items()
        },
    )
    metrics.add_gauge(
        "radishwind_connection_memory_bytes",
        "What accepted and opened connections hold, approximately.",
        lambda: {"": sources.memory.used_bytes},
    )
    metrics.add_counter(
        "radishwind_connections_closed_early_total",
        "Accepted connections that this node closed, and why.",
        lambda: {
            f'reason="{reason}"': count
            for reason, count in sources.memory.closes.counts.items()
        },
    )
    metrics.add_counter(
        "radishwind_queue_wait_seconds_total",
        "Time that attempts waited for a slot.",
        lambda: {"": target.pipeline.queue_wait_s},
    )
    metrics.add_counter(
        "radishwind_health_checks_total",
        "Health checks sent to the server beside.",
        lambda: {"": target.load_monitor.checks_sent},
    )
    metrics.add_counter(
        "radishwind_target_sent_total",
        "Requests and health checks sent to the server beside.",
        lambda: {
            'kind="request"': target.exchange.sent_count,
            'kind="check"': target.load_monitor.checks_sent,
        },
    )
    metrics.add_gauge(
        "radishwind_target_limit_per_second",
        "The request limit that the server beside states; none without one.",
        lambda: (
            {}
            if target.stated_limit.per_s is None
            else {"": target.stated_limit.per_s}
        ),
    )
    metrics.add_gauge(
        "radishwind_target_requests",
        "Requests at the server beside and waiting for it.",
        lambda: {
            'state="in_flight"': target.admission.in_flight,
            'state="queued"': target.admission.queued,
        },
    )
    metrics.add_gauge(
        "radishwind_target_pace",
        "How long work takes there now; 1 is as usual.",
        lambda: {"": target.load_monitor.current_pace().factor},
    )
    metrics.add_gauge(
        "radishwind_target_best_in_flight",
        "Requests at once at which the server beside ends most.",
        lambda: {"": target.admission.slots},
    )
    metrics.add_gauge(
        "radishwind_target_cold",
        "1 while the server beside is cold and bounded, else 0.",
        lambda: {"": int(target.warmup.is_cold)},
    )
    metrics.add_gauge(
        "radishwind_load_age_seconds",
        "Age of the last load figure of the server beside.",
        lambda: {"": target.load_monitor.load_age_s()},
    )


def _add_control(metrics: NodeExposition, sources: MetricSources) -> None:
    store, membership = sources.store, sources.membership
    metrics.add_counter(
        "radishwind_store_calls_total",
        "Calls of the store, by kind.",
        lambda: {
            **{f'kind="{k}"': n for k, n in store.call_counts.items()},
            'kind="failed"': store.failed_count,
            'kind="unsent"': store.refused_count,
        },
    )
    metrics.add_gauge(
        "radishwind_members",
        "Nodes known, by state.",
        lambda: {
            f'state="{state}"': count
            for state, count in membership.members_by_state().items()
        },
    )
    metrics.add_gauge(
        "radishwind_routes_version",
        "The version of the routes in force.",
        lambda: {"": sources.routes.version},
    )
    metrics.add_gauge(
        "radishwind_store_watch_open",
        "1 while this node watches the store, else 0.",
        lambda: {"": int(sources.watch.is_open)},
    )
    metrics.add_gauge(
        "radishwind_store_watch_quiet_seconds",
        "How long the open watch has reported no change.",
        lambda: {"": sources.watch.quiet_s()},
    )
    metrics.add_counter(
        "radishwind_store_watches_replaced_total",
        "Watches replaced since they had missed a change, or may have.",
        lambda: {"": sources.watch.replaced_count},
    )
    metrics.add_gauge(
        "radishwind_domains_emptied",
        "Failure domains that get nothing new, by name.",
        lambda: {f'domain="{n}"': 1 for n in sorted(sources.evacuation.names)},
    )
    metrics.add_counter(
        "radishwind_datagrams_total",
        "Datagrams between nodes: load, and short messages of membership.",
        lambda: {
            'way="sent"': sources.peers.socket.sent_count,
            'way="received"': sources.peers.socket.received_count,
            'way="malformed"': sources.peers.socket.malformed_count,
        },
    )
    metrics.add_counter(
        "radishwind_peer_messages_refused_total",
        "Messages between nodes that were refused, by what and why.",
        sources.peers.refused_by_label,
    )
    metrics.add_gauge(
        "radishwind_peer_signatures",
        "1 for what holds: messages are signed, required to be, lack a secret.",
        lambda: {
            'state="signed"': int(
                sources.peers.keyring.signing_secret is not None
            ),
            'state="required"': int(sources.peers.keyring.requires_signatures),
            'state="lacking"': int(sources.peers.keyring.lacks_secret),
        },
    )
    _add_links(metrics, sources)
    metrics.add_counter(
        "radishwind_left_out_total",
        "Words of other writers that nobody can read, by where they came.",
        lambda: {
            f'from="{k}"': n for k, n in sources.malformed_by_source().items()
        },
    )
    metrics.add_counter(
        "radishwind_log_lines_dropped_total",
        "Log lines that the reader did not take in time.",
        lambda: {"": sources.output.dropped},
    )


def _add_supervision(metrics: NodeExposition, sources: MetricSources) -> None:
    metrics.add_counter(
        "radishwind_duty_failures_total",
        "Errors contained, by the duty or listener that raised them.",
        lambda: {
            f'duty="{name}"': count
            for name, count in sources.supervisor.error_counts().items()
        },
    )
    metrics.add_gauge(
        "radishwind_duty_running",
        "1 while a duty runs, 0 during a pause after an error.",
        lambda: {
            f'duty="{status.name}"': int(status.is_running)
            for status in sources.supervisor.statuses()
        },
    )


def _add_recency(metrics: NodeExposition, sources: MetricSources) -> None:
    keys, recency = sources.keys, sources.recency
    metrics.add_counter(
        "radishwind_keys_refused_total",
        "Requests refused for their key, or for want of proof that it counts.",
        lambda: {
            'reason="key"': keys.refused_count,
            'reason="unproven"': keys.unproven_count,
        },
    )
    metrics.add_counter(
        "radishwind_routes_unproven_total",
        "Requests of unknown routes or keys answered as not run.",
        lambda: {"": sources.classifier.unproven_count},
    )
    metrics.add_gauge(
        "radishwind_key_proof_age_seconds",
        "Age of the proof that the configuration in force is recent.",
        recency.proof_ages_s,
    )
    exchange = recency.exchange
    metrics.add_counter(
        "radishwind_key_proof_questions_total",
        "Queries for such proof, sent and answered, and those of others.",
        lambda: {
            'way="asked"': exchange.queries_sent,
            'way="answered"': exchange.proofs_received,
            'way="served"': exchange.proofs_served,
        },
    )


def _add_quotas(metrics: NodeExposition, quotas: QuotaSharing) -> None:
    metrics.add_counter(
        "radishwind_quota_requests_total",
        "Requests of accounts with a quota; the largest by name.",
        lambda: {
            f'account="{_label(account)}",outcome="{outcome}"': count
            for (
                account,
                outcome,
            ), count in quotas.borrower.counts.by_outcome().items()
        },
    )
    metrics.add_counter(
        "radishwind_quota_lent_total",
        "Requests that this node lent ahead.",
        lambda: {"": quotas.lender.tokens_lent},
    )
    metrics.add_gauge(
        "radishwind_quota_accounts",
        "Accounts with a quota that are in use, by what this node does.",
        lambda: {
            'kind="borrowed"': quotas.borrower.account_count,
            'kind="lent"': quotas.lender.account_count,
            'kind="short"': quotas.lender.short_count,
        },
    )
    metrics.add_counter(
        "radishwind_quota_sent_total",
        "Datagrams of quotas sent, and their bytes.",
        lambda: {
            'kind="datagrams"': quotas.channel.datagrams_sent,
            'kind="bytes"': quotas.channel.bytes_sent,
        },
    )


def _add_links(metrics: NodeExposition, sources: MetricSources) -> None:
    links, link = sources.links, sources.links.meter
    metrics.add_counter(
        "radishwind_peer_messages_total",
        "Messages to other nodes, by failure domain, cause and route.",
        links.traffic.message_counts,
    )
    metrics.add_counter(
        "radishwind_peer_bytes_total",
        "Bytes of these and of their answers.",
        links.traffic.byte_counts,
    )
    metrics.add_counter(
        "radishwind_link_bytes_total",
        "Bytes of the exchanges with other nodes.",
        lambda: {
            'way="sent"': link.sent_bytes,
            'way="received"': link.received_bytes,
        },
    )
    metrics.add_gauge(
        "radishwind_link_use",
        "The part of the link that these take, over a time.",
        lambda: {
            'over="1s"': link.utilization(),
            'over="100ms"': link.recent_utilization(),
        },
    )
    metrics.add_gauge(
        "radishwind_link_queue_seconds",
        "How long the link takes for what was sent and can't have left yet.",
        lambda: {"": link.queue_s()},
    )
    metrics.add_counter(
        "radishwind_link_refusals_total",
        "Attempts of other nodes refused for want of room on the link.",
        lambda: {"": links.link_admission.refused_count},
    )
    metrics.add_gauge(
        "radishwind_round_trip_seconds",
        "The usual way to a failure domain and back, where one is fresh.",
        lambda: {
            f'domain="{name}"': round_trip_s
            for name, round_trip_s in links.round_trips.fresh_means_s(
                sources.clock.monotonic()
            ).items()
        },
    )
    metrics.add_gauge(
        "radishwind_route_bytes",
        "Bodies of a route's exchanges, as learned.",
        lambda: {
            f'route="{route}",body="{body}"': size
            for route, known in links.sizes.most_used(MAX_ROUTES).items()
            for body, size in (
                ("request", known.request_bytes),
                ("answer", known.response_bytes),
                ("large-answer", known.large_response_bytes),
            )
        },
    )


def _label(name: str) -> str:
    """Returns `name` with characters allowed in the value of a label."""
    return "".join(c if c.isalnum() or c in "-_." else "_" for c in name[:64])


class MetricsListener(msgspec.Struct, frozen=True):
    """Serves the metrics.

    Attributes:
      metrics: the metrics to serve.
    """

    metrics: NodeExposition

    async def handle(self, request: Request) -> Response:
        """Handles one request."""
        if request.path.partition("?")[0] != PATH:
            return Response(404, (), b"", 0)
        body = self.metrics.render().encode()
        return Response(200, _TEXT, body, len(body))
