"""Metrics of the connections that a node opens."""

from collections.abc import Mapping

from radishwind.http.httptools_sender import HttptoolsSender
from radishwind.telemetry.node_exposition import NodeExposition


def add_connection_metrics(
    metrics: NodeExposition, senders: Mapping[str, HttptoolsSender]
) -> None:
    """Adds the metrics of `senders`, by the name of what they connect to."""
    metrics.add_counter(
        "radishwind_connections_opened_total",
        "Connections opened, by what they lead to.",
        lambda: {
            f'to="{name}"': sender.opened_count
            for name, sender in senders.items()
        },
    )
    metrics.add_counter(
        "radishwind_connections_closed_total",
        "Connections closed for what was received on them, and why.",
        lambda: {
            f'to="{name}",reason="{reason}"': count
            for name, sender in senders.items()
            for reason, count in sender.close_counts.items()
        },
    )
