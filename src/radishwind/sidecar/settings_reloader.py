"""Reads the settings file and reloads it when it changes."""

import asyncio
from collections.abc import Callable
import errno
import os
import pathlib
import stat

import anyio

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.decoding import decode_text
from radishwind.decoding.toml_decoder import MAX_TOML_BYTES
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.telemetry.part_logger import PartLogger

#: Interval of the checks for changes that no signal announces.
CHECK_INTERVAL_S = 1.0


class SettingsUnreadableError(RadishwindError):
    """The settings file cannot be read."""

    code = ResultCode.SETTING_INVALID


class SettingsFile:
    """The settings file."""

    def __init__(
        self, path: pathlib.Path, decode: Callable[[str], PlacedSettings]
    ) -> None:
        self._path = path
        self._decode = decode
        self._text = ""

    def load(self) -> PlacedSettings:
        """Returns the current settings in the file.

        Raises:
          RadishwindError: the file is missing or malformed.
        """
        text = self._read()
        settings = self._decode(text)
        self._text = text
        return settings

    def load_if_changed(self) -> PlacedSettings | None:
        """Returns the settings if the file changed since the last read.

        Raises:
          RadishwindError: the file changed and is missing or malformed. A
            malformed file is not reported again until it changes once more.
        """
        text = self._read()
        if text == self._text:
            return None
        self._text = text
        return self._decode(text)

    def _read(self) -> str:
        try:
            content = _read_regular_file(self._path, MAX_TOML_BYTES + 1)
        except OSError as exc:
            raise SettingsUnreadableError(
                f"expected a settings file, got {exc}"
            ) from exc
        return decode_text(
            content, "a settings file", MAX_TOML_BYTES, SettingsUnreadableError
        )


def _read_regular_file(path: pathlib.Path, max_bytes: int) -> bytes:
    """Returns the first bytes of a file, without waiting for a writer of it.

    Raises:
      OSError: it can't be read or isn't a regular file.
    """
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(fd, "rb") as file:
        if not stat.S_ISREG(os.fstat(fd).st_mode):
            raise OSError(errno.EINVAL, "not a regular file")
        return file.read(max_bytes)


class SettingsReloader:
    """Reloads a changed settings file, with or without a signal.

    A malformed file leaves the current settings in force.
    """

    def __init__(
        self,
        file: SettingsFile,
        clock: Clock,
        on_changed: Callable[[PlacedSettings], None],
    ) -> None:
        """Wires the task.

        Args:
          file: the settings file.
          clock: the clock.
          on_changed: called with the new settings.
        """
        self._file = file
        self._on_changed = on_changed
        self._log = PartLogger("settings", clock)
        self._check_requested = asyncio.Event()
        # Read from the file; an error hindered that they were applied.
        self._unapplied: PlacedSettings | None = None

    def check_now(self) -> None:
        """Checks the file at once."""
        self._check_requested.set()

    async def run(self) -> None:
        """Checks the file until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._check_requested.wait()
            self._check_requested.clear()
            self.check()

    def check(self) -> None:
        """Applies the file if it changed and is well-formed."""
        try:
            changed = self._file.load_if_changed()
        except RadishwindError as exc:
            self._log.error(
                "The settings file is invalid; the old settings stay.",
                reason=str(exc),
            )
            return
        self._unapplied = changed or self._unapplied
        if self._unapplied is not None:
            self._on_changed(self._unapplied)
            self._unapplied = None
