"""Metrics of the era of the store."""

from radishwind.store.era_tracker import EraTracker
from radishwind.telemetry.node_exposition import NodeExposition


def add_store_metrics(metrics: NodeExposition, eras: EraTracker) -> None:
    """Adds the metrics of `eras`."""
    metrics.add_gauge(
        "radishwind_store_era",
        "The era of the store by its answers; 0 if it states none.",
        lambda: {"": eras.era},
    )
    metrics.add_counter(
        "radishwind_store_era_changes_total",
        "How often the store came back from a copy, as this node saw it.",
        lambda: {"": eras.change_count},
    )
    metrics.add_counter(
        "radishwind_store_answers_refused_total",
        "Answers of an earlier era, or without a valid one.",
        lambda: {"": eras.refused_count},
    )
