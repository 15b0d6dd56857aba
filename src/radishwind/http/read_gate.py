"""Pauses reading from a connection while any part of it has a reason to."""

import asyncio
from collections.abc import Callable
import enum


class PauseReason(enum.Enum):
    """Why nothing is read from a connection."""

    #: Requests wait to be parsed, or too many of them are unanswered.
    BACKLOG = enum.auto()
    #: The reader of a body is slower than its sender.
    BODY = enum.auto()


class ReadGate:
    """Reads from a transport unless a reason to pause holds."""

    def __init__(
        self,
        transport: asyncio.Transport,
        on_changed: Callable[[bool], None] | None = None,
    ) -> None:
        """Creates the gate of a connection that is being read.

        Args:
          transport: of the connection.
          on_changed: called with whether reading is paused, when that changes.
        """
        self._transport = transport
        self._on_changed = on_changed or _ignore_change
        self._reasons: set[PauseReason] = set()

    @property
    def is_paused(self) -> bool:
        """Whether nothing is read."""
        return bool(self._reasons)

    def pause(self, reason: PauseReason) -> None:
        """Pauses reading for `reason`."""
        was_paused = bool(self._reasons)
        self._reasons.add(reason)
        if not was_paused and not self._transport.is_closing():
            self._transport.pause_reading()
            self._on_changed(True)

    def resume(self, reason: PauseReason) -> None:
        """Resumes reading unless another reason holds."""
        if not self._reasons or reason not in self._reasons:
            return
        self._reasons.remove(reason)
        if not self._reasons and not self._transport.is_closing():
            self._transport.resume_reading()
            self._on_changed(False)


def _ignore_change(is_paused: bool) -> None:
    """The default for `on_changed`."""
