"""What the process needs of a node."""

import abc


class RunnableNode(abc.ABC):
    """A node that runs until it is asked to stop."""

    @abc.abstractmethod
    async def run(self) -> None:
        """Runs until `request_stop`; then finishes requests in progress."""

    @abc.abstractmethod
    def request_stop(self) -> None:
        """Starts the graceful shutdown, unless it has started already.

        Called in the event loop, once `run` has been started.
        """

    @abc.abstractmethod
    def reload(self) -> bool:
        """Reads the settings again; returns false if there is nothing to read.

        Called in the event loop, once `run` has been started.
        """
