"""Interface that enforces the quotas of accounts."""

import abc


class QuotaGate(abc.ABC):
    """Admits or refuses requests according to the quotas of their accounts."""

    @abc.abstractmethod
    def admit(self, account: str, now: float) -> float | None:
        """Admits a request if it is within the quota, and counts it.

        Args:
          account: name of the account.
          now: monotonic time (s).

        Returns:
          `None` if the request is admitted, else the time after which a retry
          is likely to be admitted (s).
        """

    @abc.abstractmethod
    def refund(self, account: str, admitted_at: float, now: float) -> None:
        """Undoes the count of an admitted request that did not run.

        Args:
          account: name of the account.
          admitted_at: when the request was admitted (monotonic, s).
          now: monotonic time (s).
        """

    def describe(self, account: str) -> str:
        """Returns what decides on requests of `account`, for the log."""
        return ""


class NoQuotas(QuotaGate):
    """Admits every request."""

    def admit(self, account: str, now: float) -> float | None:
        return None

    def refund(self, account: str, admitted_at: float, now: float) -> None:
        """Does nothing, since nothing is counted."""
