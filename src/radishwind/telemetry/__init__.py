"""Logs by eliot and metrics by OpenTelemetry."""

from radishwind.telemetry.logs import PartLogger
from radishwind.telemetry.logs import start_logging
from radishwind.telemetry.metrics import NodeMetrics

__all__ = ["NodeMetrics", "PartLogger", "start_logging"]
