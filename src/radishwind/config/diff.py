"""Describes the differences between two configurations for operators."""

from collections.abc import Mapping
from typing import Any

import msgspec

from radishwind.config.model import Inventory
from radishwind.config.model import Rules


def describe_differences(
    old: tuple[Inventory, Rules], new: tuple[Inventory, Rules]
) -> tuple[str, ...]:
    """Returns a line for each entry added, removed or changed."""
    before, after = _entries(*old), _entries(*new)
    lines = []
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            lines.append(f"- {name}")
        elif name not in before:
            lines.append(f"+ {name}")
        else:
            lines.extend(_changed_fields(name, before[name], after[name]))
    return tuple(lines)


def _entries(inventory: Inventory, rules: Rules) -> dict[str, msgspec.Struct]:
    entries: dict[str, msgspec.Struct] = {"rules defaults": rules.defaults}
    for domain in inventory.failure_domains:
        entries[f"failure domain {domain.name}"] = domain
    for link in inventory.links:
        a, b = sorted((link.a, link.b))
        entries[f"link {a} {b}"] = msgspec.structs.replace(link, a=a, b=b)
    for service in inventory.services:
        entries[f"service {service.name}"] = service
    for target in inventory.targets:
        entries[f"target {target.name}"] = target
    for name, entry in rules.services.items():
        entries[f"rules {name}"] = entry
    return entries


def _changed_fields(
    name: str, before: msgspec.Struct, after: msgspec.Struct
) -> list[str]:
    if before == after:
        return []
    old, new = _as_mapping(before), _as_mapping(after)
    return [
        f"{name}: {field} {_shorten(old[field])} -> {_shorten(new[field])}"
        for field in old
        if old[field] != new[field]
    ]


def _as_mapping(entry: msgspec.Struct) -> Mapping[str, Any]:
    return msgspec.structs.asdict(entry)


def _shorten(value: Any) -> str:
    text = msgspec.json.encode(value).decode()
    return text if len(text) <= 80 else text[:77] + "..."
