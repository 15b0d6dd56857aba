"""Decodes the configuration that the operator writes to the store."""

import msgspec

from radishwind.accounts import Account
from radishwind.accounts import digest_key
from radishwind.decoding import JsonDecoder
from radishwind.decoding.numbers import Int
from radishwind.decoding.numbers import NonNegativeFloat
from radishwind.decoding.numbers import NonNegativeInt
from radishwind.decoding.numbers import PositiveInt
from radishwind.platform.errors import PlatformMalformedError
from radishwind.routes.model import CallerLimits
from radishwind.routes.model import Route
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.routes.model import WeightedService

#: The store key that holds the complete newest configuration.
CONFIG_KEY = "op/config"

#: The store prefix of all keys that the operator writes, and of no others.
OPERATOR_PREFIX = "op/"

#: The store prefix of the keys that name evacuated failure domains.
_EVACUATION_PREFIX = "op/evacuate/"

#: The kinds of routes whose requests may run more than once.
_IDEMPOTENT_KINDS = frozenset({"safe", "download"})

#: The kind of routes whose responses are large.
_LARGE_KIND = "download"

#: The largest configuration (bytes).
MAX_CONFIG_BYTES = 32 << 20


class _Part(msgspec.Struct, frozen=True):
    service: str
    weight: NonNegativeFloat = 1.0


class _Route(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    host: str
    prefix: str
    timeout_ms: NonNegativeFloat
    kind: str = "unsafe"
    aim_ms: NonNegativeFloat = 0.0
    priority: Int = 0
    service: str | None = None
    split: tuple[_Part, ...] = ()
    attempts: PositiveInt = 1
    allowed_regions: tuple[str, ...] = ()
    public: bool = False


class _Service(msgspec.Struct, frozen=True, rename="kebab"):
    name: str
    health_path: str = ""
    max_conns: PositiveInt = 64
    warmup_s: NonNegativeFloat = 0.0
    warmup_per_s: NonNegativeFloat | None = None


class _Tenant(msgspec.Struct, frozen=True, rename="kebab"):
    # A client account; a rate of 0 means no limit.
    name: str
    api_keys: tuple[str, ...] = ()
    priority: Int | None = None
    rate_per_s: NonNegativeFloat = 0.0
    burst: NonNegativeFloat = 0.0


class _Limits(msgspec.Struct, frozen=True, rename="kebab"):
    max_header_bytes: NonNegativeInt = 16 * 1024
    max_body_bytes: NonNegativeInt = 64 * 1024 * 1024
    header_timeout_ms: NonNegativeFloat = 3000.0
    idle_timeout_ms: NonNegativeFloat = 15000.0


class _Config(msgspec.Struct, frozen=True, rename="kebab"):
    version: NonNegativeInt
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] = ()


_decoder = JsonDecoder[_Config](
    _Config, "a configuration", MAX_CONFIG_BYTES, PlatformMalformedError
)


def decode_routes(data: bytes) -> RouteConfig:
    """Decodes a configuration.

    Args:
      data: content of the key `CONFIG_KEY`, JSON.

    Raises:
      PlatformMalformedError: `data` is malformed; the message states where
        and why.
    """
    cfg = _decoder.decode(data)
    return RouteConfig(
        cfg.version,
        tuple(_make_route(route) for route in cfg.routes),
        {
            s.name: ServiceInfo(
                s.name,
                s.health_path,
                s.max_conns,
                s.warmup_s,
                s.warmup_per_s,
            )
            for s in cfg.services
        },
        CallerLimits(
            cfg.limits.max_header_bytes,
            cfg.limits.max_body_bytes,
            cfg.limits.header_timeout_ms / 1000,
            cfg.limits.idle_timeout_ms / 1000,
        ),
        tuple(_make_account(tenant) for tenant in cfg.tenants),
    )


def evacuated_domain(key: str) -> str | None:
    """Returns the failure domain evacuated by `key`, if there is one."""
    if not key.startswith(_EVACUATION_PREFIX):
        return None
    name = key.removeprefix(_EVACUATION_PREFIX)
    return name if name and "/" not in name else None


def _make_account(tenant: _Tenant) -> Account:
    return Account(
        tenant.name,
        tuple(digest_key(key) for key in tenant.api_keys),
        tenant.priority,
        tenant.rate_per_s,
        tenant.burst,
    )


def _make_route(route: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(part.service, part.weight) for part in route.split
    )
    if not weighted_services and route.service is not None:
        weighted_services = (WeightedService(route.service),)
    if not weighted_services:
        raise PlatformMalformedError(
            f"configuration: expected a service or a split in route "
            f"{route.name!r}, got neither"
        )
    timeout_s = route.timeout_ms / 1000
    return Route(
        name=route.name,
        host=route.host.lower(),
        prefix=route.prefix,
        idempotent=route.kind in _IDEMPOTENT_KINDS,
        weighted_services=weighted_services,
        timeout_s=timeout_s,
        aim_s=route.aim_ms / 1000 if route.aim_ms else timeout_s,
        priority=route.priority,
        attempts=route.attempts,
        regions=frozenset(route.allowed_regions),
        public=route.public,
        has_large_responses=route.kind == _LARGE_KIND,
    )
