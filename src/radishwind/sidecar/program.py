"""Starts the process: settings, log, event loop."""

import asyncio
import gc
import os
import pathlib
import sys

import msgspec
import uvloop

from radishwind.core.clock import BootClock
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.platform.boot import decode_settings
from radishwind.platform.boot import PATH_VARIABLE
from radishwind.settings.loader import SettingError
from radishwind.settings.placed import PlacedSettings
from radishwind.sidecar.app import SidecarNode
from radishwind.sidecar.settings_reloader import SettingsFile
from radishwind.sidecar.switches import read_switches
from radishwind.telemetry.bounded_output import start_bounded_logging

#: The variable that holds the port of the metrics; 0 for none.
METRICS_VARIABLE = "RADISHWIND_METRICS_PORT"

#: The variable that holds where other nodes reach this one, as HOST:PORT, where
#: an address translator or a proxy stands in between.
PEER_ADDRESS_VARIABLE = "RADISHWIND_PEER_ADDRESS"

_LAST_PORT = 65535

#: Exit code for settings that cannot be used (sysexits.h: EX_CONFIG).
_EXIT_SETTINGS = 78

#: Allocations before a collection of the youngest generation. Requests leave
#: few cycles behind, and a collection stops every request.
_GC_THRESHOLD = 20_000


def main() -> None:
    """Runs a node by the settings file that the environment names."""
    output = start_bounded_logging(sys.stdout)
    try:
        file = SettingsFile(pathlib.Path(_path()), _read)
        settings = file.load()
        switches = read_switches(os.environ)
    except RadishwindError as exc:
        print(f"radishwind: {exc}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    gc.freeze()
    gc.enable()
    gc.set_threshold(_GC_THRESHOLD, 10, 10)
    node = SidecarNode(settings, BootClock(), file, output, switches)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(node.run())


def _path() -> str:
    return os.environ.get(PATH_VARIABLE, "/etc/radishwind/boot.toml")


def _read(text: str) -> PlacedSettings:
    settings = decode_settings(text, _metrics_port())
    return msgspec.structs.replace(settings, peer_address=_peer_address())


def _peer_address() -> Address | None:
    """Returns the address that the environment names; `None` for none.

    Raises:
      SettingError: it is no address.
    """
    text = os.environ.get(PEER_ADDRESS_VARIABLE, "")
    if not text:
        return None
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise SettingError(f"{PEER_ADDRESS_VARIABLE}: {exc}") from exc


def _metrics_port() -> int:
    """Returns the port that the environment names; 0 for no metrics.

    Raises:
      SettingError: it is not a port.
    """
    text = os.environ.get(METRICS_VARIABLE, "0")
    if not text.isdigit() or int(text) > _LAST_PORT:
        raise SettingError(
            f"{METRICS_VARIABLE}: expected a port from 0 to {_LAST_PORT}, "
            f"got {text[:40]!r}"
        )
    return int(text)
