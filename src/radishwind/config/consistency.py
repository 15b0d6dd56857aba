"""What must hold between the entries of an inventory and of rules.

It works on decoded JSON, not on the models, so that a file with a malformed
entry still gets every other fault listed in the same run.
"""

from collections.abc import Iterator
import itertools
from typing import Any

from radishwind.config.model import ServiceRules
from radishwind.config.validation import FileFault
from radishwind.config.validation import shown

_DEFAULTS = ServiceRules()

#: Lists are lists in files, and tuples in documents made of the models.
_LIST = (list, tuple)


def find_inventory_faults(inventory: Any) -> list[FileFault]:
    """Returns duplicates, unknown references and ambiguous routes."""
    faults: list[FileFault] = []
    for kind in ("failure_domains", "services", "targets"):
        _note_repeated_names(inventory, kind, faults)
    domains = _names(inventory, "failure_domains")
    services = _names(inventory, "services")
    for number, target in _items(inventory, "targets"):
        place = f"targets[{number}]"
        _note_unknown(target, "service", services, place, faults)
        _note_unknown(target, "failure_domain", domains, place, faults)
    _note_links(inventory, domains, faults)
    _note_routes(inventory, faults)
    return faults


def find_rules_faults(rules: Any) -> list[FileFault]:
    """Returns what is contradictory within the rules of a service."""
    faults: list[FileFault] = []
    defaults = _field(rules, "defaults", dict) or {}
    _note_contradictions(defaults, "defaults", faults)
    for name, entry in (_field(rules, "services", dict) or {}).items():
        if isinstance(entry, dict):
            merged = {**defaults, **entry}
            _note_contradictions(merged, f"services.{name[:80]}", faults)
    return faults


def find_cross_faults(
    inventory: Any, rules: Any, changed: str = "rules"
) -> list[FileFault]:
    """Returns rules of services that the inventory doesn't list.

    Args:
      inventory: the decoded inventory.
      rules: the decoded rules.
      changed: which of the two is being changed, for the place told.
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
            text = f"expected {shown(name)}, which the rules name, got none"
        faults.append(FileFault(place, text))
    return faults


def _items(document: Any, kind: str) -> Iterator[tuple[int, dict[str, Any]]]:
    for number, item in enumerate(_field(document, kind, _LIST) or ()):
        if isinstance(item, dict):
            yield number, item


def _field(value: Any, name: str, kind: type | tuple[type, ...]) -> Any:
    """Returns the field if it is there and of that type, else `None`."""
    if not isinstance(value, dict):
        return None
    field = value.get(name)
    return field if isinstance(field, kind) else None


def _names(document: Any, kind: str) -> set[str]:
    names = (_field(item, "name", str) for _, item in _items(document, kind))
    return {name for name in names if name is not None}


def _note_repeated_names(
    inventory: Any, kind: str, faults: list[FileFault]
) -> None:
    first: dict[str, int] = {}
    for number, item in _items(inventory, kind):
        name = _field(item, "name", str)
        if name is None:
            continue
        if name in first:
            text = (
                f"expected a name of its own, got {shown(name)} as in "
                f"{kind}[{first[name]}]"
            )
            faults.append(FileFault(f"{kind}[{number}].name", text))
        first.setdefault(name, number)


def _note_unknown(
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
        f"expected a {what.replace('_', ' ')} listed above, got {shown(name)}"
    )
    faults.append(FileFault(f"{place}.{field}", text))


def _note_links(
    inventory: Any, domains: set[str], faults: list[FileFault]
) -> None:
    """Either no link or all: a distance left out would be a guess."""
    seen: set[tuple[str, str]] = set()
    for number, link in _items(inventory, "links"):
        place = f"links[{number}]"
        for end in ("a", "b"):
            _note_unknown(link, end, domains, place, faults)
        a, b = _field(link, "a", str), _field(link, "b", str)
        if a is None or b is None:
            continue
        pair = (min(a, b), max(a, b))
        if a == b:
            text = f"expected two failure domains, got {shown(a)} twice"
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


def _note_routes(inventory: Any, faults: list[FileFault]) -> None:
    taken: dict[tuple[str, str], str] = {}
    for number, service in _items(inventory, "services"):
        name = _field(service, "name", str)
        if name is None:
            continue
        for route in sorted(_routes(service, name)):
            other = taken.setdefault(route, name)
            if other != name:
                text = (
                    f"expected a route of its own, got {shown(route[1])} "
                    f"(host {route[0] or 'any'}) as {shown(other)} has"
                )
                faults.append(FileFault(f"services[{number}]", text))


def _routes(service: dict[str, Any], name: str) -> set[tuple[str, str]]:
    hosts = _field(service, "hosts", _LIST) or [""]
    prefixes = _field(service, "path_prefixes", _LIST) or [f"/{name}"]
    return {
        (host, prefix)
        for host in hosts
        for prefix in prefixes
        if isinstance(host, str) and isinstance(prefix, str)
    }


def _note_contradictions(
    entry: dict[str, Any], place: str, faults: list[FileFault]
) -> None:
    longest = _whole(entry, "max_deadline_ms", _DEFAULTS.max_deadline_ms)
    deadline = _whole(entry, "deadline_ms", _DEFAULTS.deadline_ms)
    if longest is not None and deadline is not None and deadline > longest:
        text = f"expected at most max_deadline_ms {longest}, got {deadline}"
        faults.append(FileFault(f"{place}.deadline_ms", text))


def _whole(entry: dict[str, Any], name: str, default: int) -> int | None:
    value = entry.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int):
        return None
    return value
