"""Whether a call gets another attempt."""

from radishwind.retries.policy import RetryNotRun
from radishwind.retries.policy import RetryPolicy

__all__ = ["RetryNotRun", "RetryPolicy"]
