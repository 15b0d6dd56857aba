"""Settings from flags and environment: typed, with units, checked at start."""

from radishwind.settings.loader import load
from radishwind.settings.loader import setting
from radishwind.settings.loader import SettingError
from radishwind.settings.node_settings import NodeSettings

__all__ = ["NodeSettings", "SettingError", "load", "setting"]
