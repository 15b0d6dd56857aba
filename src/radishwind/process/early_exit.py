"""The last log line of a process that ends before its log is set up."""

import contextlib
import os
import time

#: The standard output and the standard error.
STDOUT_FD = 1
STDERR_FD = 2

#: The exit status of the interpreter for an uncaught error.
EXIT_UNCAUGHT = 1

#: Characters of the reason that are written.
_MAX_REASON_CHARS = 300


def open_standard_descriptors() -> None:
    """Opens those of the standard descriptors that are closed.

    Otherwise a connection would get the number of one, and the log would be
    written to it.
    """
    for fd in (0, STDOUT_FD, STDERR_FD):
        try:
            os.fstat(fd)
        except OSError:
            # The lowest free number, which is `fd`.
            os.open(os.devnull, os.O_RDWR)


def write_last_line(fd: int, status: int, cause: str, reason: str = "") -> None:
    """Writes the last log line to `fd`, if its reader accepts it at once.

    Args:
      fd: the descriptor of the log.
      status: the exit status.
      cause: a name of the cause: a signal or the type of an error.
      reason: further text for an operator.
    """
    level = "error" if status else "info"
    line = (
        '{"message_type":"radishwind:process"'
        f',"level":"{level}","text":"process: Ended."'
        f',"status":{status},"cause":"{_escape(cause)}"'
        f'{_reason_field(reason)},"timestamp":{time.time()}}}\n'
    )
    with contextlib.suppress(OSError):
        os.set_blocking(fd, False)
        os.write(fd, line.encode())


def _reason_field(reason: str) -> str:
    if not reason:
        return ""
    return f',"reason":"{_escape(reason[:_MAX_REASON_CHARS])}"'


def _escape(text: str) -> str:
    """Returns `text` for a JSON string; characters that need more become ?."""
    ascii_text = text.encode("ascii", "replace").decode()
    printable = "".join(c if c.isprintable() else "?" for c in ascii_text)
    return printable.replace("\\", "\\\\").replace('"', '\\"')
