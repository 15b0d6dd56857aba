"""Queries a node for its configuration and where that is in force."""

import time
from typing import TypeVar

import anyio
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
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError

#: Timeout of a response; for some, a node queries all its peers.
_TIMEOUT_S = 30.0

#: Polling interval while waiting for a revision.
_POLL_INTERVAL_S = 0.2

#: The largest answer of a node (bytes); it may hold a whole configuration.
MAX_ANSWER_BYTES = 256 << 20

_T = TypeVar("_T")


class NotInForceError(ConfigError):
    """An accepted change is not in force everywhere yet."""

    code = ResultCode.CHANGE_UNSETTLED


def fetch(admin: str, path: str) -> bytes:
    """Fetches `path` from the admin listener of a node; returns the body.

    Raises:
      AdminError: the node did not answer as expected.
      SettingError: `admin` is not HOST:PORT.
    """

    async def run() -> bytes:
        try:
            with anyio.fail_after(_TIMEOUT_S):
                return await fetch_admin(admin, path)
        except TimeoutError as exc:
            raise AdminError(f"{admin}{path}: no answer in time") from exc

    return anyio.run(run)


def fetch_as(admin: str, path: str, model: type[_T]) -> _T:
    """Fetches `path` from the admin listener of a node, decoded as `model`.

    Raises:
      AdminError: the node did not answer as expected.
      SettingError: `admin` is not HOST:PORT.
    """
    decoder = JsonDecoder[_T](model, "a node's answer", MAX_ANSWER_BYTES)
    answer = fetch(admin, path)
    try:
        return decoder.decode(answer)
    except MalformedInputError as exc:
        raise AdminError(f"{admin}{path}: {exc.args[0]}") from exc


def fetch_config(admin: str) -> Configuration:
    """Fetches the configuration in force at a node; see `fetch_as`."""
    config_in_force = fetch_as(admin, CONFIG_PATH, ConfigInForce)
    return Configuration(
        config_in_force.revision,
        config_in_force.change_id,
        config_in_force.inventory,
        config_in_force.rules,
    )


def fetch_report(admin: str) -> FleetReport:
    """Fetches the report of a node on where its configuration is in force."""
    return fetch_as(admin, FLEET_PATH, FleetReport)


def wait_in_force(admin: str, revision: int, timeout_s: float) -> None:
    """Waits until every member known to the node at `admin` has `revision`.

    Raises:
      NotInForceError: not within `timeout_s` (s).
    """
    start = time.monotonic()
    while True:
        report = fetch_report(admin)
        elapsed_s = time.monotonic() - start
        if report.revision >= revision and report.in_force == report.members:
            typer.echo(
                f"in force on {report.in_force} of {report.members} nodes "
                f"after {elapsed_s:.1f} s"
            )
            return
        if elapsed_s > timeout_s:
            raise NotInForceError(
                f"accepted, but after {elapsed_s:.1f} s "
                f"{describe_report(report)}"
            )
        time.sleep(_POLL_INTERVAL_S)


def describe_report(report: FleetReport) -> str:
    """Formats a report for operators."""
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
