"""The settings file and its changes, told by a signal or by nothing."""

import asyncio
from collections.abc import Callable
import pathlib

import anyio

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.settings.placed import PlacedSettings
from radishwind.telemetry.part_logger import PartLogger

#: How often the file is looked at for a change that nobody signals (s).
CHECK_INTERVAL_S = 1.0


class SettingsUnreadableError(RadishwindError):
    """The settings file cannot be opened."""

    code = ResultCode.SETTING_INVALID


class SettingsFile:
    """Reads the settings; a malformed file leaves the old ones in force."""

    def __init__(
        self, path: pathlib.Path, decode: Callable[[str], PlacedSettings]
    ) -> None:
        self._path = path
        self._decode = decode
        self._text = ""

    def load(self) -> PlacedSettings:
        """Returns the settings as the file has them now.

        Raises:
          RadishwindError: the file is missing or malformed.
        """
        text = self._read()
        settings = self._decode(text)
        self._text = text
        return settings

    def changed(self) -> PlacedSettings | None:
        """Returns the settings if the file changed since they were read.

        Raises:
          RadishwindError: it changed and is missing or malformed; it is not
            reported again until it changes once more.
        """
        text = self._read()
        if text == self._text:
            return None
        self._text = text
        return self._decode(text)

    def _read(self) -> str:
        try:
            return self._path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            raise SettingsUnreadableError(
                f"expected a settings file, got {exc}"
            ) from exc


class SettingsReloader:
    """Takes a changed settings file, with or without a signal."""

    def __init__(
        self,
        file: SettingsFile,
        clock: Clock,
        changed: Callable[[PlacedSettings], None],
    ) -> None:
        """Wires the task.

        Args:
          file: the settings file.
          clock: the clock.
          changed: takes the new settings.
        """
        self._file = file
        self._changed = changed
        self._log = PartLogger("settings", clock)
        self._asked = asyncio.Event()

    def look_now(self) -> None:
        """Looks at the file without waiting for its turn."""
        self._asked.set()

    async def run(self) -> None:
        """Looks at the file until cancelled."""
        while True:
            with anyio.move_on_after(CHECK_INTERVAL_S):
                await self._asked.wait()
            self._asked.clear()
            self.look()

    def look(self) -> None:
        """Takes the file if it changed; a malformed one changes nothing."""
        try:
            changed = self._file.changed()
        except RadishwindError as exc:
            self._log.error(
                "The settings file is unusable; the old settings stay.",
                reason=str(exc),
            )
            return
        if changed is not None:
            self._changed(changed)
