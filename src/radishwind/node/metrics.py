"""Metrics of the data path and of membership, read from their counters."""

from radishwind.entry import EntryPipeline
from radishwind.http.connection_memory import ConnectionMemory
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.node_telemetry import NodeTelemetry
from radishwind.supervision import Supervisor


def add_metrics(
    telemetry: NodeTelemetry,
    entry: EntryPipeline,
    membership: MembershipTasks,
    supervisor: Supervisor,
    memory: ConnectionMemory,
) -> None:
    """Registers the metrics of requests, membership, duties, connections."""
    telemetry.counter(
        "attempts",
        "{attempt}",
        "Calls taken, attempts made for them, and hedges among these.",
        lambda: {
            "calls": entry.counts.calls,
            "attempts": entry.counts.attempts,
            "hedges": entry.counts.hedges,
        },
    )
    telemetry.counter(
        "duty.failures",
        "{error}",
        "Errors contained, by the duty or listener that raised them.",
        supervisor.error_counts,
    )
    telemetry.gauge(
        "duty.running",
        "{duty}",
        "1 while a duty runs, 0 during a pause after an error.",
        lambda: {s.name: int(s.is_running) for s in supervisor.statuses()},
    )
    telemetry.gauge(
        "connection.memory",
        "By",
        "What accepted and opened connections hold, approximately.",
        lambda: {"": memory.used_bytes},
    )
    telemetry.counter(
        "connection.closed_early",
        "{connection}",
        "Accepted connections that this node closed, and why.",
        lambda: {str(k): count for k, count in memory.closes.counts.items()},
    )
    telemetry.gauge(
        "peers",
        "{member}",
        "Members known, by state.",
        membership.members_by_state,
    )
    telemetry.counter(
        "gossip",
        "By",
        "Bytes of membership messages, without HTTP's own fields.",
        lambda: {
            "sent": membership.traffic.bytes_sent,
            "received": membership.traffic.bytes_received,
        },
    )
