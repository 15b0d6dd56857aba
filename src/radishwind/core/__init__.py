"""Shared by all packages: clocks, result codes and the base exception."""

from radishwind.core.clock import BootClock
from radishwind.core.clock import Clock
from radishwind.core.clock import ManualClock
from radishwind.core.clock import SystemClock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError

__all__ = [
    "BootClock",
    "Clock",
    "ManualClock",
    "RadishwindError",
    "ResultCode",
    "SystemClock",
]
