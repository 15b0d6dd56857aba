"""The metrics of the data path and of membership, read from their counters."""

from radishwind.entry import EntryPipeline
from radishwind.node.membership_tasks import MembershipTasks
from radishwind.node.observe import Observation
from radishwind.node.target import TargetSide


def add_metrics(
    observation: Observation,
    entry: EntryPipeline,
    target: TargetSide,
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
        "target.requests",
        "{request}",
        "Requests at the target beside: slots, in flight, waiting.",
        target.load_by_kind,
    )
    observation.counter(
        "target.probe.cost",
        "s",
        "Time of the server beside that probes took.",
        lambda: {"probe": target.probe_cost_s()},
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
