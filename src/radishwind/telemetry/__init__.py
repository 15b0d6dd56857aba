"""Logs and metrics.

eliot and OpenTelemetry are slow to import and take memory. `node_metrics` is
therefore imported only by nodes that keep OpenTelemetry metrics, and eliot only
by processes that log through it.
"""

from radishwind.telemetry.part_logger import PartLogger

__all__ = ["PartLogger"]
