"""The settings file and its changes, told by a signal or by nothing."""

from collections.abc import Callable
import pathlib

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.settings.placed import PlacedSettings

#: How often the file is looked at for a change that nobody signals (s).
LOOK_PERIOD_S = 1.0


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
