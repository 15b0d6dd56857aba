"""The metrics of the data path and of membership, read from their counters."""

from radishwind.entry import EntryPipeline
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.observation import Observation


def add_metrics(
    observation: Observation,
    entry: EntryPipeline,
    membership: MembershipTasks,
) -> None:
    """Adds the counters and gauges that the slices keep anyway."""
    observation.counter(
        "attempts",
        "{attempt}",
        "Calls taken, attempts made for them, and hedges among these.",
        lambda: {
            "calls": entry.counts.calls,
            "attempts": entry.counts.attempts,
            "hedges": entry.counts.hedges,
        },
    )
    observation.gauge(
        "peers",
        "{member}",
        "Members known, by state.",
        membership.members_by_state,
    )
    observation.counter(
        "gossip",
        "By",
        "Bytes of membership messages, without HTTP's own fields.",
        lambda: {
            "sent": membership.traffic.bytes_sent,
            "received": membership.traffic.bytes_received,
        },
    )
