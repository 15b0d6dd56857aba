"""Bounds the bytes of a message that are neither its head nor its body.

Sizes of chunks, their extensions and trailers may go on without end, also
within a single field, which the parser would buffer. They are therefore
measured by what goes into the parser and what body comes out of it.
"""

#: Framing bytes allowed beside the body of any size (bytes).
FRAMING_ALLOWANCE_BYTES = 16 * 1024

#: Largest piece of received bytes that is parsed before the framing is measured
#: again (bytes).
PIECE_BYTES = 16 * 1024


class FramingBudget:
    """Measures the framing of one message; it may take as much as the body."""

    def __init__(self) -> None:
        self._framing_bytes = 0
        self._body_bytes = 0

    def start(self) -> None:
        """Starts with the body of a message."""
        self._framing_bytes = self._body_bytes = 0

    def record_received(self, size: int) -> None:
        """Records bytes that the parser consumes."""
        self._framing_bytes += size

    def record_body(self, size: int) -> None:
        """Records bytes of the body that the parser returned."""
        self._framing_bytes -= size
        self._body_bytes += size

    @property
    def is_exceeded(self) -> bool:
        """Whether the framing takes more than it may."""
        return self._framing_bytes > FRAMING_ALLOWANCE_BYTES + self._body_bytes
