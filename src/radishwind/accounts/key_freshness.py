"""Interface that reports whether the known keys are recent enough to use."""

import abc


class KeyFreshness(abc.ABC):
    """Determines whether keys known to this node may be accepted."""

    @abc.abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Returns whether requests with a key may run.

        Args:
          now: monotonic time, which includes suspensions of the machine (s).
        """

    def retry_s(self, now: float) -> float | None:
        """Returns after how long a refused request may be retried (s).

        `None` if that is unknown.

        Args:
          now: monotonic time as for `is_fresh` (s).
        """
        return None


class AlwaysFresh(KeyFreshness):
    """Keys are accepted until a newer configuration removes them."""

    def is_fresh(self, now: float) -> bool:
        return True
