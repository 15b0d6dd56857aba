"""Logs and metrics.

eliot and OpenTelemetry take time to load and memory: `metrics` is imported
only by nodes that keep metrics, eliot by those that log by it.
"""

from radishwind.telemetry.part_logger import PartLogger
from radishwind.telemetry.part_logger import start_logging

__all__ = ["PartLogger", "start_logging"]
