"""The signals that reach a node, from its first instruction to its exit.

No signal that can be handled ends the process by itself: a signal to stop
starts the graceful shutdown, a signal to reload has the settings read again,
and the others are logged. Imported before anything else of a node, so it only
imports modules that the interpreter has loaded or that cost next to nothing.
"""

from collections.abc import Callable
import os
import signal
from types import FrameType

from radishwind.process.early_exit import write_last_line

#: Signals that start the graceful shutdown. The system sends SIGXCPU once the
#: process has used its processor time, and kills it only later.
STOP_SIGNALS = (
    signal.SIGTERM,
    signal.SIGINT,
    signal.SIGQUIT,
    signal.SIGXCPU,
)

#: The signal to read the settings again.
RELOAD_SIGNAL = signal.SIGHUP

#: Signals without a meaning for a node, which end a process by default.
IGNORED_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
)

_HANDLED = (*STOP_SIGNALS, RELOAD_SIGNAL, *IGNORED_SIGNALS)

#: Receives a signal, in the main thread and at any point of its code.
SignalReceiver = Callable[[signal.Signals], object]


class ProcessSignals:
    """Handles the signals of the process in each phase of its life.

    Until `receive` is called, a signal to stop ends the process with exit
    status 0, since no request is in progress yet; others are ignored. Then all
    of them go to the receiver. From `ignore` on, all of them are ignored.

    Attributes:
      stop_signal: the first signal to stop; `None` if there was none.
    """

    def __init__(self, log_fd: int) -> None:
        """Creates the handlers without installing them.

        Args:
          log_fd: the descriptor of the log.
        """
        self._log_fd = log_fd
        self._receiver: SignalReceiver | None = None
        self.stop_signal: signal.Signals | None = None

    def install(self) -> None:
        """Handles the signals from now on."""
        for number in _HANDLED:
            signal.signal(number, self._handle)

    def receive(self, receiver: SignalReceiver) -> None:
        """Passes each further signal to `receiver`."""
        self._receiver = receiver

    def ignore(self) -> None:
        """Ignores all signals until the process has ended.

        The process is about to exit. The action is set in the system, since
        the interpreter removes Python's handlers before its end.
        """
        self._receiver = _ignore_signal
        for number in _HANDLED:
            signal.signal(number, signal.SIG_IGN)

    def _handle(self, number: int, frame: FrameType | None) -> None:
        received = signal.Signals(number)
        is_stop = received in STOP_SIGNALS
        if is_stop and self.stop_signal is None:
            self.stop_signal = received
        if self._receiver is not None:
            self._receiver(received)
            return
        if is_stop:
            # An exception could be swallowed by the code that it interrupts.
            write_last_line(self._log_fd, 0, received.name)
            os._exit(0)


def _ignore_signal(number: signal.Signals) -> None:
    """Receives the signals that arrive while they are being ignored."""
