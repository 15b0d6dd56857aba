"""Decodes the settings file that the platform writes for each process."""

import math
from typing import Annotated
from typing import Any

import msgspec

from radishwind.decoding import decode_toml
from radishwind.decoding import parse_toml
from radishwind.decoding.numbers import Int
from radishwind.decoding.numbers import NonNegativeFloat
from radishwind.http.types import Address
from radishwind.platform.errors import PlatformMalformedError
from radishwind.platform.heartbeats import MAX_NAME_CHARS
from radishwind.settings.placed_settings import PlacedSettings

#: The environment variable with the path of the settings file.
PATH_VARIABLE = "RADISHWIND_BOOT"

#: Names the file in errors.
_WHAT = "a settings file"


# As in the messages between nodes.
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
_Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class _Listen(msgspec.Struct, frozen=True, rename="kebab"):
    outbound: str
    inbound: str
    ready: str
    control: str


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    memory_mb: Int = 300
    max_fds: Int = 4100
    link_mbps: NonNegativeFloat = 0.0


class _Provider(msgspec.Struct, frozen=True, rename="kebab"):
    address: str


class _File(msgspec.Struct, frozen=True, rename="kebab"):
    # `ip` is the address of the instance, `zone` its failure domain, `zones`
    # all failure domains with their regions. `app-addr` is the address of the
    # local backend server; `provider` is the platform's store.
    node: _Name
    ip: str
    zone: _Name
    service: _Name
    app_addr: str
    listen: _Listen
    provider: _Provider
    port_range: tuple[_Port, _Port]
    zones: dict[str, str] = {}
    heartbeat_ms: Int = 1500
    # Whether the whole fleet is starting now; says nothing about how this
    # process starts.
    bootstrap: bool = False
    bounds: tuple[str, ...] = ()
    limits: _Limits = _Limits()


def decode_settings(text: str, metrics_port: int = 0) -> PlacedSettings:
    """Decodes the platform's settings file.

    Args:
      text: content of the file, TOML.
      metrics_port: port on which metrics are served; 0 to serve none.

    Raises:
      PlatformMalformedError: a field is missing or cannot be read.
    """
    file = decode_toml(text, _File, _WHAT, PlatformMalformedError)
    try:
        return _make_settings(file, metrics_port)
    except ValueError as exc:
        raise PlatformMalformedError(f"settings file: {exc}") from exc


def _make_settings(file: _File, metrics_port: int) -> PlacedSettings:
    own = Address.parse(f"{file.ip}:{file.port_range[0]}")
    texts = _split_bounds(file.bounds)
    bounds = _parse_numbers(texts)
    is_strict = _parse_flag(texts, "strict-revoke")
    return PlacedSettings(
        node=file.node,
        service=file.service,
        failure_domain=file.zone,
        failure_domains=tuple(sorted(file.zones)),
        region_of=file.zones,
        host=own.host,
        peer_port=own.port,
        callers=Address.parse(file.listen.outbound),
        ready=Address.parse(file.listen.ready),
        control=Address.parse(file.listen.control),
        server=Address.parse(file.app_addr),
        store=Address.parse(file.provider.address),
        metrics_port=metrics_port,
        heartbeat_s=file.heartbeat_ms / 1000,
        drain_s=bounds.get("drain-ms", 2000.0) / 1000,
        stop_grace_s=bounds.get("grace-s", 6.0),
        ack_s=bounds.get("ack-ms", 4000.0) / 1000,
        retry_share=bounds.get("retry-ratio", 0.2),
        retry_slack=bounds.get("retry-slack", 20.0),
        retry_window_s=bounds.get("retry-window-s", 10.0),
        quota_window_s=bounds.get("quota-window-s", 5.0),
        quota_over=bounds.get("quota-over", 0.1),
        quota_slack=bounds.get("quota-slack", 20.0),
        cold_over=bounds.get("cold-over", 1.0),
        cold_slack=bounds.get("cold-slack", 0.0),
        config_s=bounds.get("config-ms", 2000.0) / 1000,
        revoke_s=bounds.get("revoke-ms", 5000.0) / 1000 if is_strict else None,
        link_mbps=file.limits.link_mbps,
        memory_bytes=file.limits.memory_mb << 20,
        first_start=file.bootstrap,
    )


def _parse_flag(texts: dict[str, str], name: str) -> bool:
    """Returns the value of the bound `name`; false if it is missing.

    Raises:
      ValueError: the value is neither true nor false. A misspelt value must
        not turn a rule off.
    """
    text = texts.get(name, "false").lower()
    if text not in ("true", "false"):
        raise ValueError(f"bounds: expected {name} true or false, got {text!r}")
    return text == "true"


def _split_bounds(lines: tuple[str, ...]) -> dict[str, str]:
    """Returns the unparsed values of the bounds by name."""
    texts: dict[str, str] = {}
    for line in lines:
        name, separator, value = line.partition("=")
        if not separator:
            raise ValueError(f"bounds: expected NAME=VALUE, got {line[:80]!r}")
        texts[name.strip()] = value.strip()
    return texts


def _parse_numbers(texts: dict[str, str]) -> dict[str, float]:
    """Returns the numeric bounds by name."""
    numbers = {name: _parse_number(text) for name, text in texts.items()}
    return {
        name: n
        for name, n in numbers.items()
        if n is not None and math.isfinite(n)
    }


def _parse_number(text: str) -> float | None:
    try:
        return float(text)
    except ValueError:
        return None


def parse_tables(text: str) -> dict[str, Any]:
    """Returns the settings file as plain tables, for display."""
    return parse_toml(text, _WHAT, PlatformMalformedError)
