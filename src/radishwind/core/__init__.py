"""What every slice shares: the clock, result codes, the root of errors."""

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
