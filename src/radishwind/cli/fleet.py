"""Asks a node's admin listener where a configuration is in force."""

import time
from typing import TypeVar

import anyio
import msgspec
import typer

from radishwind.cli.admin import AdminError
from radishwind.cli.admin import fetch_admin
from radishwind.config.errors import ConfigError
from radishwind.config.model import Configuration
from radishwind.config.reports import CONFIG_PATH
from radishwind.config.reports import ConfigInForce
from radishwind.config.reports import FLEET_PATH
from radishwind.config.reports import FleetReport
from radishwind.core import ResultCode

#: How long an answer may take (s); a node gathers from all its peers for some.
_TIMEOUT_S = 30.0

#: Time between two questions while waiting (s).
_STEP_S = 0.2

_T = TypeVar("_T")


class NotInForceError(ConfigError):
    """An accepted change is not in force everywhere yet."""

    code = ResultCode.CHANGE_UNSETTLED


def fetch(admin: str, path: str) -> bytes:
    """Returns what a node's admin listener answers to GET `path`.

    Raises:
      AdminError: it gave no good answer.
      SettingError: `admin` is not HOST:PORT.
    """

    async def run() -> bytes:
        try:
            with anyio.fail_after(_TIMEOUT_S):
                return await fetch_admin(admin, path)
        except TimeoutError as exc:
            raise AdminError(f"{admin}{path}: no answer in time") from exc

    return anyio.run(run)


def fetched(admin: str, path: str, model: type[_T]) -> _T:
    """Returns what a node answers to GET `path`, read as `model`.

    Raises:
      AdminError: it gave no good answer.
      SettingError: `admin` is not HOST:PORT.
    """
    try:
        return msgspec.json.decode(fetch(admin, path), type=model)
    except msgspec.MsgspecError as exc:
        raise AdminError(
            f"{admin}{path}: expected a node's answer, got {exc}"
        ) from exc


def config_of(admin: str) -> Configuration:
    """Returns the configuration in force at the node; see `fetched`."""
    found = fetched(admin, CONFIG_PATH, ConfigInForce)
    return Configuration(
        found.revision, found.change_id, found.inventory, found.rules
    )


def report_of(admin: str) -> FleetReport:
    """Returns where the configuration is in force, as a node sees it."""
    return fetched(admin, FLEET_PATH, FleetReport)


def wait_in_force(admin: str, revision: int, limit_s: float) -> None:
    """Waits until every member known to the node at `admin` has `revision`.

    Raises:
      NotInForceError: that took longer than `limit_s` (s).
    """
    start = time.monotonic()
    while True:
        report = report_of(admin)
        took_s = time.monotonic() - start
        if report.revision >= revision and report.in_force == report.members:
            typer.echo(
                f"in force on {report.in_force} of {report.members} nodes "
                f"after {took_s:.1f} s"
            )
            return
        if took_s > limit_s:
            raise NotInForceError(
                f"accepted, but after {took_s:.1f} s {describe(report)}"
            )
        time.sleep(_STEP_S)


def describe(report: FleetReport) -> str:
    """Returns a report as text for operators."""
    text = (
        f"revision {report.revision} is in force on {report.in_force} of "
        f"{report.members} nodes"
    )
    for what, names in (
        ("lagging", report.lagging),
        ("no answer from", report.silent),
        ("announced but not in the inventory", report.unlisted),
    ):
        if names:
            text += f"; {what}: {', '.join(names)}"
    return text
