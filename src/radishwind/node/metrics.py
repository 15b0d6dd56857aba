"""Metrics of the data path and of membership, read from their counters."""

from radishwind.entry import EntryPipeline
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.node_telemetry import NodeTelemetry


def add_metrics(
    telemetry: NodeTelemetry,
    entry: EntryPipeline,
    membership: MembershipTasks,
) -> None:
    """Registers the counters and gauges of entry pipeline and membership."""
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
