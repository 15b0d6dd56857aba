"""Whether a call gets another attempt."""

from radishwind.retries.budget import RetryBudget
from radishwind.retries.policy import may_repeat
from radishwind.retries.policy import RetryNotRun
from radishwind.retries.policy import RetryPolicy

__all__ = ["RetryBudget", "RetryNotRun", "RetryPolicy", "may_repeat"]
