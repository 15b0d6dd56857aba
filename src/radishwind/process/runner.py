"""Runs a node in an event loop until it has ended, and logs why it ended."""

import asyncio
from collections.abc import Callable
import signal

import uvloop

from radishwind.core.clock import Clock
from radishwind.process.exit_status import describe_error
from radishwind.process.exit_status import exit_status_for
from radishwind.process.runnable_node import RunnableNode
from radishwind.process.signals import ProcessSignals
from radishwind.process.signals import RELOAD_SIGNAL
from radishwind.process.signals import STOP_SIGNALS
from radishwind.process.stray_errors import log_stray_errors
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.part_logger import first_error
from radishwind.telemetry.part_logger import PartLogger

#: How long the reader of the log gets to take the last lines (s).
_LAST_LINES_S = 0.2

#: The cause of an end that the node decided on, to start afresh.
_RESTART = "restart"


class ProcessRunner:
    """Runs a node and passes the signals of the process on to it.

    The last log line names the cause of the end and the exit status.
    """

    def __init__(
        self, signals: ProcessSignals, clock: Clock, output: BoundedOutput
    ) -> None:
        """Creates a runner.

        Args:
          signals: the installed signal handlers.
          clock: the clock.
          output: where the log goes.
        """
        self._signals = signals
        self._clock = clock
        self._output = output
        self._log = PartLogger("process", clock)

    def run(self, make_node: Callable[[], RunnableNode]) -> None:
        """Runs a node until it has ended as planned.

        Args:
          make_node: returns the node; called in the event loop.
        """
        log_stray_errors(self._log)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(self._run_node(make_node))
        stop_signal = self._signals.stop_signal
        cause = _RESTART if stop_signal is None else stop_signal.name
        self._log.change("Ended.", status=0, cause=cause)
        self._output.flush_within(_LAST_LINES_S, self._clock)

    def log_error(self, exc: BaseException, status: int | None = None) -> int:
        """Logs that an error ends the process.

        Args:
          exc: the error.
          status: the exit status; `None` for the one of the error.

        Returns:
          The exit status.
        """
        error = first_error(exc)
        code, text = describe_error(error)
        if status is None:
            status = exit_status_for(code)
        self._log.failure(
            "Ended.",
            error,
            may_suppress=False,
            status=status,
            cause=type(error).__name__,
            reason=text,
        )
        self._output.flush_within(_LAST_LINES_S, self._clock)
        return status

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
