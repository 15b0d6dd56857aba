"""Logs by eliot and metrics by OpenTelemetry.

`metrics` is imported only by nodes that keep metrics: OpenTelemetry takes
time to load and memory.
"""

from radishwind.telemetry.logs import PartLogger
from radishwind.telemetry.logs import start_logging

__all__ = ["PartLogger", "start_logging"]
