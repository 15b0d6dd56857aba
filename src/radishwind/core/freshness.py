"""Interface that tells whether what a node knows is recent enough to use."""

import abc


class Freshness(abc.ABC):
    """Determines whether knowledge of a node may be relied on."""

    @abc.abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Returns whether the knowledge is recent enough.

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


class AlwaysFresh(Freshness):
    """What is known counts until it is replaced."""

    def is_fresh(self, now: float) -> bool:
        return True
