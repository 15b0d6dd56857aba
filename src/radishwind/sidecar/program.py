"""Starts the process: settings, log, event loop."""

import contextlib
import faulthandler
import gc
import os
import pathlib
import sys
import traceback

import msgspec

from radishwind.core.clock import BootClock
from radishwind.core.clock import Clock
from radishwind.core.errors import RadishwindError
from radishwind.http.types import Address
from radishwind.platform.boot import decode_settings
from radishwind.platform.boot import PATH_VARIABLE
from radishwind.process.early_exit import STDERR_FD
from radishwind.process.early_exit import STDOUT_FD
from radishwind.process.runner import ProcessRunner
from radishwind.process.signals import ProcessSignals
from radishwind.settings.loader import SettingError
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.app import SidecarNode
from radishwind.sidecar.settings_reloader import SettingsFile
from radishwind.sidecar.switches import read_switches
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.bounded_output import start_bounded_logging

#: Environment variable with the port of the metrics; 0 for none.
METRICS_VARIABLE = "RADISHWIND_METRICS_PORT"

#: Environment variable with the address, as HOST:PORT, by which other nodes
#: reach this one through an address translator or a proxy.
PEER_ADDRESS_VARIABLE = "RADISHWIND_PEER_ADDRESS"

_MAX_PORT = 65535

#: Exit code for invalid settings (sysexits.h: EX_CONFIG).
_EXIT_CONFIG = 78

#: Exit code for an error of the running node (EX_SOFTWARE).
_EXIT_SOFTWARE = 70

#: Allocations before a collection of the youngest generation. Requests create
#: few reference cycles, and a collection pauses all requests.
_GC_THRESHOLD_ALLOCATIONS = 20_000


def main(signals: ProcessSignals) -> None:
    """Runs a node with the settings file named in the environment.

    Args:
      signals: the installed signal handlers.
    """
    faulthandler.enable(STDERR_FD)
    clock = BootClock()
    output = start_bounded_logging(STDOUT_FD)
    runner = ProcessRunner(signals, clock, output)
    try:
        node = _load_node(clock, output)
    except RadishwindError as exc:
        _print(f"radishwind: {exc}\n")
        sys.exit(runner.log_error(exc, _EXIT_CONFIG))
    gc.freeze()
    gc.enable()
    gc.set_threshold(_GC_THRESHOLD_ALLOCATIONS, 10, 10)
    try:
        runner.run(lambda: node)
    except BaseException as exc:
        _print("".join(traceback.format_exception(exc)))
        sys.exit(runner.log_error(exc, _EXIT_SOFTWARE))


def _load_node(clock: Clock, output: BoundedOutput) -> SidecarNode:
    file = SettingsFile(pathlib.Path(_settings_path()), _decode_settings)
    settings = file.load()
    switches = read_switches(os.environ)
    return SidecarNode(settings, clock, file, output, switches)


def _print(text: str) -> None:
    """Writes `text` to the standard error, if its reader accepts it at once."""
    with contextlib.suppress(OSError):
        os.set_blocking(STDERR_FD, False)
        os.write(STDERR_FD, text.encode(errors="replace"))


def _settings_path() -> str:
    return os.environ.get(PATH_VARIABLE, "/etc/radishwind/boot.toml")


def _decode_settings(text: str) -> PlacedSettings:
    settings = decode_settings(text, _metrics_port())
    return msgspec.structs.replace(settings, peer_address=_peer_address())


def _peer_address() -> Address | None:
    """Returns the address named in the environment; `None` for none.

    Raises:
      SettingError: the value is not an address.
    """
    text = os.environ.get(PEER_ADDRESS_VARIABLE, "")
    if not text:
        return None
    try:
        return Address.parse(text)
    except ValueError as exc:
        raise SettingError(f"{PEER_ADDRESS_VARIABLE}: {exc}") from exc


def _metrics_port() -> int:
    """Returns the port named in the environment; 0 for no metrics.

    Raises:
      SettingError: the value is not a port.
    """
    text = os.environ.get(METRICS_VARIABLE, "0")
    is_number = text.isascii() and text.isdigit() and len(text) <= 5
    if not is_number or int(text) > _MAX_PORT:
        raise SettingError(
            f"{METRICS_VARIABLE}: expected a port from 0 to {_MAX_PORT}, "
            f"got {text[:40]!r}"
        )
    return int(text)
