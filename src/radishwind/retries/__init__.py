"""Retry policies and retry budgets."""

from radishwind.retries.budget import BudgetedRetryPolicy
from radishwind.retries.policy import CappedRetryPolicy
from radishwind.retries.policy import is_safe_to_retry
from radishwind.retries.policy import RetryPolicy

__all__ = [
    "BudgetedRetryPolicy",
    "CappedRetryPolicy",
    "RetryPolicy",
    "is_safe_to_retry",
]
