"""Non-blocking output of log lines.

Lines are buffered in memory until the reader of the descriptor accepts them. If
the buffer is full, further lines are dropped and counted, and the count is
logged before the next line that fits.
"""

import collections
import os
import select

import msgspec

from radishwind.core.clock import Clock
from radishwind.telemetry.part_logger import LogMessage
from radishwind.telemetry.part_logger import set_log_sink

#: Size of the buffer of lines not yet written (bytes).
MAX_BUFFERED_BYTES = 256 * 1024


class BoundedOutput:
    """Writes JSON lines to a descriptor without blocking.

    Attributes:
      dropped: number of lines dropped since the start.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._buffer: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._unreported = 0
        self._is_line_torn = False
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, message: LogMessage) -> None:
        """Writes one message as a line, or buffers it."""
        line = _encode(message) + b"\n"
        self.flush()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            notice = {
                "text": "log: Lines were dropped.",
                "lines": self._unreported,
            }
            self._unreported = 0
            self._add(msgspec.json.encode(notice) + b"\n")
        self._add(line)
        self.flush()

    def flush(self) -> None:
        """Writes as many buffered lines as the descriptor accepts."""
        while self._buffer:
            line = self._buffer.popleft()
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                self._buffer.appendleft(line)
                return
            except OSError:
                # The reader has closed; the buffered lines are lost and count
                # as dropped.
                self.dropped += 1 + len(self._buffer)
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            self._is_line_torn = written < len(line)
            if self._is_line_torn:
                self._buffer.appendleft(line[written:])

    def flush_within(self, limit_s: float, clock: Clock) -> None:
        """Writes the buffered lines; gives up after `limit_s` (s)."""
        deadline = clock.monotonic() + limit_s
        self.flush()
        while self._buffer and (left_s := deadline - clock.monotonic()) > 0:
            select.select([], [self._fd], [], left_s)
            self.flush()

    def _add(self, line: bytes) -> None:
        if self._is_line_torn and not self._buffer:
            # The rest of that line was lost, since it couldn't be written.
            line = b"\n" + line
        self._buffer.append(line)
        self._buffered_bytes += len(line)


def _encode(message: LogMessage) -> bytes:
    """Returns a message as JSON; no message raises an error."""
    try:
        return msgspec.json.encode(message, enc_hook=str)
    except UnicodeEncodeError:
        # Such as the name of a file that is not UTF-8.
        escaped = {key: _escape(value) for key, value in message.items()}
        return msgspec.json.encode(escaped, enc_hook=str)


def _escape(value: str | float | None) -> str | float | None:
    if not isinstance(value, str):
        return value
    return value.encode(errors="backslashreplace").decode()


def start_bounded_logging(fd: int) -> BoundedOutput:
    """Writes the log lines of this process to `fd` as JSON lines."""
    output = BoundedOutput(fd)
    set_log_sink(output.write)
    return output


def start_logging(fd: int) -> BoundedOutput:
    """The same through eliot, which adds its own fields to each line."""
    import eliot

    output = BoundedOutput(fd)
    eliot.add_destinations(output.write)
    return output
