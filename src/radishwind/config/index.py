"""Index of a configuration, built once when it is adopted."""

from radishwind.config.model import Configuration
from radishwind.config.model import Service
from radishwind.config.model import Target


class ConfigIndex:
    """Look-up tables over a configuration for use in the data path."""

    def __init__(self, cfg: Configuration) -> None:
        self.cfg = cfg
        self.targets: dict[str, Target] = {
            target.name: target for target in cfg.inventory.targets
        }
        self._routes = _routes(cfg.inventory.services)
        self._latency_s = _latencies(cfg)

    def service_for(self, host: str, path: str) -> str | None:
        """Returns the service to which `host` and `path` are routed, if any."""
        name = host.rpartition(":")[0] or host
        for prefix, hosts, service in self._routes:
            if hosts and name not in hosts:
                continue
            if path_is_under(path, prefix):
                return service
        return None

    def one_way_s(self, a: str, b: str) -> float:
        """Returns the one-way latency between two failure domains (s)."""
        return self._latency_s.get((a, b), 0.0)


def _routes(
    services: tuple[Service, ...],
) -> list[tuple[str, frozenset[str], str]]:
    """Returns tuples (prefix, hosts, service), the most specific first."""
    routes = [
        (prefix, frozenset(service.hosts), service.name)
        for service in services
        for prefix in service.path_prefixes or (f"/{service.name}",)
    ]
    return sorted(routes, key=lambda r: (not r[1], -len(r[0]), r[2]))


def _latencies(cfg: Configuration) -> dict[tuple[str, str], float]:
    latencies: dict[tuple[str, str], float] = {}
    for link in cfg.inventory.links:
        latencies[link.a, link.b] = link.one_way_ms / 1000
        latencies[link.b, link.a] = link.one_way_ms / 1000
    return latencies


def path_is_under(path: str, prefix: str) -> bool:
    """Returns whether `path` equals `prefix` or is below it.

    Only whole path segments are compared.
    """
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return prefix.endswith("/") or not rest or rest[0] in "/?"
