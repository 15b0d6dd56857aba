"""Whether what a node knows of keys is recent enough to act on."""

import abc


class KeyFreshness(abc.ABC):
    """Says whether a key may be taken for one that is still in force."""

    @abc.abstractmethod
    def is_fresh(self, now: float) -> bool:
        """Returns whether requests with a key may run.

        Args:
          now: monotonic time (s), which goes on while the machine stands still.
        """

    def retry_s(self, now: float) -> float | None:
        """Returns when they may again where they may not (s), if it can tell.

        Args:
          now: as with `stands`.
        """
        return None


class AlwaysFresh(KeyFreshness):
    """Keys count as long as no newer configuration takes them away."""

    def is_fresh(self, now: float) -> bool:
        return True
