"""Whether an account's request lies within its quota."""

import abc


class QuotaGate(abc.ABC):
    """Counts the requests of accounts against their quotas."""

    @abc.abstractmethod
    def admit(self, account: str, now: float) -> float | None:
        """Counts a request that comes now, if it lies within the quota.

        Args:
          account: the name of the account.
          now: monotonic time (s).

        Returns:
          `None` if it may run, else after how long there will be room (s).
        """

    @abc.abstractmethod
    def refund(self, account: str, taken_at: float, now: float) -> None:
        """Takes back the count of a request that was let in and did not run.

        Args:
          account: the name of the account.
          taken_at: when it was let in (monotonic s).
          now: monotonic time (s).
        """

    def describe(self, account: str) -> str:
        """Returns what decides on the requests of `account`, for the log."""
        return ""


class NoQuotas(QuotaGate):
    """Lets everything in."""

    def admit(self, account: str, now: float) -> float | None:
        return None

    def refund(self, account: str, taken_at: float, now: float) -> None:
        """Counts nothing."""
