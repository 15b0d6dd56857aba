"""Checks the consistency of the entries of an inventory and of rules.

The checks work on decoded JSON, not on the models, so that all other faults of
a file with a malformed entry are still listed in the same run.
"""

from collections.abc import Iterator
import itertools
from typing import Any

from radishwind.config.model import ServiceRules
from radishwind.config.validation import FileFault
from radishwind.config.validation import short_repr

_DEFAULTS = ServiceRules()

#: Types of a JSON list: lists in files, tuples in documents made of the models.
_LIST_TYPES = (list, tuple)


def find_inventory_faults(inventory: Any) -> list[FileFault]:
    """Returns duplicate names, unknown references and ambiguous routes."""
    faults: list[FileFault] = []
    for kind in ("failure_domains", "services", "targets"):
        _check_names(inventory, kind, faults)
    domains = _names(inventory, "failure_domains")
    services = _names(inventory, "services")
    for index, target in _items(inventory, "targets"):
        place = f"targets[{index}]"
        _check_reference(target, "service", services, place, faults)
        _check_reference(target, "failure_domain", domains, place, faults)
    _check_links(inventory, domains, faults)
    _check_routes(inventory, faults)
    return faults


def find_rules_faults(rules: Any) -> list[FileFault]:
    """Returns contradictions within the rules of each service."""
    faults: list[FileFault] = []
    defaults = _field(rules, "defaults", dict) or {}
    _check_deadlines(defaults, "defaults", faults)
    for name, entry in (_field(rules, "services", dict) or {}).items():
        if isinstance(entry, dict):
            merged = {**defaults, **entry}
            _check_deadlines(merged, f"services.{name[:80]}", faults)
    return faults


def find_cross_faults(
    inventory: Any, rules: Any, changed: str = "rules"
) -> list[FileFault]:
    """Returns faults for rules of services that the inventory doesn't list.

    Args:
      inventory: the decoded inventory.
      rules: the decoded rules.
      changed: which of the two is being changed, for the place of the fault.
    """
    known = _names(inventory, "services")
    faults = []
    for name in _field(rules, "services", dict) or {}:
        if name in known:
            continue
        place = f"services.{name[:80]}"
        text = "expected a service of the inventory, got an unknown name"
        if changed == "inventory":
            place = "services"
            text = (
                f"expected {short_repr(name)}, which the rules name, got none"
            )
        faults.append(FileFault(place, text))
    return faults


def _items(document: Any, kind: str) -> Iterator[tuple[int, dict[str, Any]]]:
    for index, item in enumerate(_field(document, kind, _LIST_TYPES) or ()):
        if isinstance(item, dict):
            yield index, item


def _field(value: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """Returns the field if it exists and has this type, else `None`."""
    if not isinstance(value, dict):
        return None
    field = value.get(name)
    return field if isinstance(field, kind) else None


def _names(document: Any, kind: str) -> set[str]:
    names = (_field(item, "name", str) for _, item in _items(document, kind))
    return {name for name in names if name is not None}


def _check_names(inventory: Any, kind: str, faults: list[FileFault]) -> None:
    first_index: dict[str, int] = {}
    for index, item in _items(inventory, kind):
        name = _field(item, "name", str)
        if name is None:
            continue
        if name in first_index:
            text = (
                f"expected a unique name, got {short_repr(name)} as in "
                f"{kind}[{first_index[name]}]"
            )
            faults.append(FileFault(f"{kind}[{index}].name", text))
        first_index.setdefault(name, index)


def _check_reference(
    item: dict[str, Any],
    field: str,
    known: set[str],
    place: str,
    faults: list[FileFault],
) -> None:
    name = _field(item, field, str)
    if name is None or name in known:
        return
    what = "failure domain" if field in ("a", "b") else field
    text = (
        f"expected a {what.replace('_', ' ')} listed above, "
        f"got {short_repr(name)}"
    )
    faults.append(FileFault(f"{place}.{field}", text))


def _check_links(
    inventory: Any, domains: set[str], faults: list[FileFault]
) -> None:
    """Checks that either no links or the links of all pairs are listed.

    The latency of a missing link would have to be guessed.
    """
    seen: set[tuple[str, str]] = set()
    for index, link in _items(inventory, "links"):
        place = f"links[{index}]"
        for end in ("a", "b"):
            _check_reference(link, end, domains, place, faults)
        a, b = _field(link, "a", str), _field(link, "b", str)
        if a is None or b is None:
            continue
        pair = (min(a, b), max(a, b))
        if a == b:
            text = f"expected two failure domains, got {short_repr(a)} twice"
            faults.append(FileFault(place, text))
        if pair in seen:
            text = f"expected each pair once, got {a} and {b} again"
            faults.append(FileFault(place, text[:200]))
        seen.add(pair)
    if not seen:
        return
    for pair in itertools.combinations(sorted(domains), 2):
        if pair not in seen:
            text = f"expected a link between {pair[0]} and {pair[1]}, got none"
            faults.append(FileFault("links", text[:200]))


def _check_routes(inventory: Any, faults: list[FileFault]) -> None:
    owners: dict[tuple[str, str], str] = {}
    for index, service in _items(inventory, "services"):
        name = _field(service, "name", str)
        if name is None:
            continue
        for route in sorted(_routes(service, name)):
            other = owners.setdefault(route, name)
            if other != name:
                text = (
                    f"expected a unique route, got {short_repr(route[1])} "
                    f"(host {route[0] or 'any'}) as {short_repr(other)} has"
                )
                faults.append(FileFault(f"services[{index}]", text))


def _routes(service: dict[str, Any], name: str) -> set[tuple[str, str]]:
    hosts = _field(service, "hosts", _LIST_TYPES) or [""]
    prefixes = _field(service, "path_prefixes", _LIST_TYPES) or [f"/{name}"]
    return {
        (host, prefix)
        for host in hosts
        for prefix in prefixes
        if isinstance(host, str) and isinstance(prefix, str)
    }


def _check_deadlines(
    entry: dict[str, Any], place: str, faults: list[FileFault]
) -> None:
    max_deadline = _integer(entry, "max_deadline_ms", _DEFAULTS.max_deadline_ms)
    deadline = _integer(entry, "deadline_ms", _DEFAULTS.deadline_ms)
    if (
        max_deadline is not None
        and deadline is not None
        and deadline > max_deadline
    ):
        text = (
            f"expected at most max_deadline_ms {max_deadline}, got {deadline}"
        )
        faults.append(FileFault(f"{place}.deadline_ms", text))


def _integer(entry: dict[str, Any], name: str, default: int) -> int | None:
    value = entry.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value
