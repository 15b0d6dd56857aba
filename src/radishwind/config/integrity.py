"""A fast check of a complete configuration, for nodes.

Operators' files are checked before they are accepted, and all faults are listed
with their places. A node checks again on each adoption what it relies on. This
must not delay requests, so it is a second, smaller check on the models.
"""

import operator

from radishwind.config.model import Configuration
from radishwind.config.model import Inventory

# Faster than comprehensions over thousands of targets.
_name = operator.attrgetter("name")
_service = operator.attrgetter("service")
_failure_domain = operator.attrgetter("failure_domain")


def find_first_fault(cfg: Configuration) -> str:
    """Returns the first fault found; empty if there is none."""
    inventory = cfg.inventory
    checks = (_names, _failure_domains, _services, _routes)
    for check in checks:
        fault = check(inventory)
        if fault:
            return fault
    unknown = cfg.rules.services.keys() - {s.name for s in inventory.services}
    if unknown:
        return f"rules of services not listed: {sorted(unknown)[:3]}"
    return ""


def _names(inventory: Inventory) -> str:
    for entries in (
        inventory.failure_domains,
        inventory.services,
        inventory.targets,
    ):
        if len(set(map(_name, entries))) != len(entries):
            return f"a {type(entries[0]).__name__} is listed twice"
    return ""


def _failure_domains(inventory: Inventory) -> str:
    known = set(map(_name, inventory.failure_domains))
    named = set(map(_failure_domain, inventory.targets))
    named |= {link.a for link in inventory.links}
    named |= {link.b for link in inventory.links}
    unknown = sorted(named - known)
    return f"failure domains not listed: {unknown[:3]}" if unknown else ""


def _services(inventory: Inventory) -> str:
    known = set(map(_name, inventory.services))
    unknown = sorted(set(map(_service, inventory.targets)) - known)
    return f"services not listed: {unknown[:3]}" if unknown else ""


def _routes(inventory: Inventory) -> str:
    taken: dict[tuple[str, str], str] = {}
    for service in inventory.services:
        name = service.name
        prefixes = service.path_prefixes or (f"/{name}",)
        for host in service.hosts or ("",):
            for prefix in prefixes:
                if taken.setdefault((host, prefix), name) != name:
                    return (
                        f"service {name} has the same route as another service"
                    )
    return ""
