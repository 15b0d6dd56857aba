"""Splits a configuration into parts and assembles it from them.

The common part holds what belongs to no single service; each service has a part
of its own with its targets and rules. Thus a change of one target rewrites and
sends only one small part, and the size of a part does not depend on the number
of services.
"""

from collections.abc import Mapping
import dataclasses
import itertools
from typing import TypeAlias

import msgspec

from radishwind.config.errors import RevisionRefusedError
from radishwind.config.integrity import find_first_fault
from radishwind.config.model import Configuration
from radishwind.config.model import FailureDomain
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import ServiceRules
from radishwind.config.model import Target
from radishwind.config.records import ChangeRecord
from radishwind.config.records import manifest_digest
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError

COMMON = "common"
SERVICE_PREFIX = "service/"

#: The largest part that is read (bytes); etcd accepts 1.5 MB.
MAX_PART_BYTES = 2 << 20


class CommonPart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a configuration that belongs to no single service.

    Attributes:
      failure_domains: all failure domains, sorted by name.
      links: all links, sorted by the names of their ends.
      defaults: rules of services without rules of their own.
    """

    failure_domains: tuple[FailureDomain, ...]
    links: tuple[Link, ...]
    defaults: ServiceRules


class ServicePart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service with its targets, sorted by name, and its rules if any."""

    service: Service
    targets: tuple[Target, ...]
    rules: ServiceRules | None


Part: TypeAlias = CommonPart | ServicePart

_common_decoder = JsonDecoder[CommonPart](CommonPart, "a part", MAX_PART_BYTES)
_service_decoder = JsonDecoder[ServicePart](
    ServicePart, "a part", MAX_PART_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """A complete configuration with its parts.

    Attributes:
      record: the change that produced it; `None` before the first.
      refs: version of each part, by name.
      parts: parts by name.
      cfg: the assembled configuration.
    """

    record: ChangeRecord | None = None
    refs: Mapping[str, str] = dataclasses.field(default_factory=dict)
    parts: Mapping[str, Part] = dataclasses.field(default_factory=dict)
    cfg: Configuration = Configuration()

    @property
    def revision(self) -> int:
        """Revision of the configuration; 0 before the first change."""
        return self.cfg.revision

    @property
    def change_id(self) -> str:
        """ID of the change that produced it; empty before the first change."""
        return self.cfg.change_id


def split_into_parts(inventory: Inventory, rules: Rules) -> dict[str, Part]:
    """Returns the parts of a configuration by name, with sorted content."""
    targets: dict[str, list[Target]] = {}
    for target in sorted(inventory.targets, key=lambda t: t.name):
        targets.setdefault(target.service, []).append(target)
    parts: dict[str, Part] = {
        COMMON: CommonPart(
            tuple(sorted(inventory.failure_domains, key=lambda d: d.name)),
            tuple(sorted(inventory.links, key=lambda e: (e.a, e.b))),
            rules.defaults,
        )
    }
    for service in sorted(inventory.services, key=lambda s: s.name):
        parts[SERVICE_PREFIX + service.name] = ServicePart(
            service,
            tuple(targets.get(service.name, ())),
            rules.services.get(service.name),
        )
    return parts


def encode_part(part: Part) -> bytes:
    """Returns `part` encoded as JSON."""
    return msgspec.json.encode(part)


def decode_part(name: str, content: bytes) -> Part:
    """Returns the part `name` encoded in `content`.

    Raises:
      RevisionRefusedError: `content` is malformed or a different part.
    """
    try:
        if name == COMMON:
            return _common_decoder.decode(content)
        part = _service_decoder.decode(content)
    except MalformedInputError as exc:
        raise RevisionRefusedError(f"part {name[:80]}: {exc.args[0]}") from exc
    found = part.service.name
    foreign = [t.name for t in part.targets if t.service != found]
    if name != SERVICE_PREFIX + found or foreign:
        raise RevisionRefusedError(
            f"part {name[:80]}: expected that service and its targets, "
            f"got {found} and {foreign[:3]}"
        )
    return part


def assemble(
    record: ChangeRecord, refs: Mapping[str, str], parts: Mapping[str, Part]
) -> Snapshot:
    """Returns the complete configuration after checking it.

    Args:
      record: the change that produced it.
      refs: version of each part, by name.
      parts: parts by name; at least those in `refs`, in these versions.

    Raises:
      RevisionRefusedError: parts are missing, or the configuration is invalid.
    """
    missing = [name for name in refs if name not in parts]
    if missing or COMMON not in refs:
        raise RevisionRefusedError(
            f"revision {record.revision}: expected all parts, "
            f"{len(missing)} missing, among them {missing[:3]}"
        )
    if manifest_digest(refs) != record.digest:
        raise RevisionRefusedError(
            f"revision {record.revision}: the part versions do not match "
            "the digest of its record"
        )
    used = {name: parts[name] for name in sorted(refs)}
    cfg = _join(record, used)
    _check(cfg)
    return Snapshot(record, dict(refs), used, cfg)


def _join(record: ChangeRecord, parts: Mapping[str, Part]) -> Configuration:
    common = parts[COMMON]
    assert isinstance(common, CommonPart)
    services = [p for p in parts.values() if isinstance(p, ServicePart)]
    inventory = Inventory(
        common.failure_domains,
        tuple(part.service for part in services),
        tuple(itertools.chain.from_iterable(p.targets for p in services)),
        common.links,
    )
    rules = Rules(
        common.defaults,
        {p.service.name: p.rules for p in services if p.rules is not None},
    )
    return Configuration(record.revision, record.change_id, inventory, rules)


def _check(cfg: Configuration) -> None:
    fault = find_first_fault(cfg)
    if fault:
        raise RevisionRefusedError(f"revision {cfg.revision}: {fault}")
