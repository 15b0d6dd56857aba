"""Log lines to standard output that never hold a request up.

Lines wait in memory until the reader takes them. If it does not, further lines
are dropped and counted, and the count is told with the next line that fits.
"""

import collections
import os
from typing import TextIO

import msgspec

from radishwind.telemetry.part_logger import LogMessage
from radishwind.telemetry.part_logger import set_log_sink

#: Lines that wait at most (bytes).
MAX_BUFFERED_BYTES = 256 * 1024


class BoundedOutput:
    """Writes JSON lines to a descriptor without ever blocking.

    Attributes:
      dropped: lines dropped since the start.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._waiting: collections.deque[bytes] = collections.deque()
        self._size = 0
        self._untold = 0
        self.dropped = 0
        os.set_blocking(fd, False)

    def write(self, message: LogMessage) -> None:
        """Writes one message as a line, now or once the reader takes it."""
        line = msgspec.json.encode(message, enc_hook=str) + b"\n"
        self.flush()
        if self._size + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            told = {"text": "log: Lines were dropped.", "lines": self._untold}
            self._untold = 0
            self._add(msgspec.json.encode(told) + b"\n")
        self._add(line)
        self.flush()

    def flush(self) -> None:
        """Writes what waits as far as the reader takes it."""
        while self._waiting:
            line = self._waiting.popleft()
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                self._waiting.appendleft(line)
                return
            except OSError:
                # Nobody reads any more; what waits is lost, and counted.
                self.dropped += 1 + len(self._waiting)
                self._waiting.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(line):
                self._waiting.appendleft(line[written:])

    def _add(self, line: bytes) -> None:
        self._waiting.append(line)
        self._size += len(line)


def start_bounded_logging(stream: TextIO) -> BoundedOutput:
    """Writes the log lines of this process to `stream`, as JSON."""
    output = BoundedOutput(stream.fileno())
    set_log_sink(output.write)
    return output
