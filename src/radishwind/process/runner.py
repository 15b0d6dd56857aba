"""Runs a node in an event loop until it has ended."""

import asyncio
from collections.abc import Callable
import signal

import uvloop

from radishwind.core.clock import Clock
from radishwind.process.runnable_node import RunnableNode
from radishwind.process.signals import ProcessSignals
from radishwind.process.signals import RELOAD_SIGNAL
from radishwind.process.signals import STOP_SIGNALS
from radishwind.telemetry.part_logger import PartLogger


class ProcessRunner:
    """Runs a node and passes the signals of the process on to it."""

    def __init__(self, signals: ProcessSignals, clock: Clock) -> None:
        """Creates a runner.

        Args:
          signals: the installed signal handlers.
          clock: the clock.
        """
        self._signals = signals
        self._log = PartLogger("process", clock)

    def run(self, make_node: Callable[[], RunnableNode]) -> None:
        """Runs a node until it has ended.

        Args:
          make_node: returns the node; called in the event loop.
        """
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._run_node(make_node))

    async def _run_node(self, make_node: Callable[[], RunnableNode]) -> None:
        node = make_node()
        loop = asyncio.get_running_loop()
        # A signal interrupts other code, such as a write to the log, so
        # nothing is done until the event loop runs.
        self._signals.receive(
            lambda number: loop.call_soon_threadsafe(self._act_on, number, node)
        )
        try:
            await node.run()
        finally:
            # While the event loop still runs, since the receiver calls it.
            self._signals.ignore()

    def _act_on(self, number: signal.Signals, node: RunnableNode) -> None:
        if number in STOP_SIGNALS:
            self._log.info("Received a signal to stop.", signal=number.name)
            node.request_stop()
        elif number is not RELOAD_SIGNAL or not node.reload():
            self._log.info("Ignored a signal.", signal=number.name)
