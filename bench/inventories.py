"""Inventories of one service, made for benches without nodes."""

from collections.abc import Sequence

from radishwind.config.index import ConfigIndex
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Target
from radishwind.http.types import Address
from radishwind.membership.directory import Member


def one_service(
    service: str,
    names: Sequence[str],
    slots: int,
    failure_domains: Sequence[str],
    links: Sequence[Link],
) -> tuple[ConfigIndex, tuple[Member, ...]]:
    """Returns a configuration of one service, and its members.

    Args:
      service: its name.
      names: of its targets.
      slots: of each target.
      failure_domains: which the targets stand in, in turn.
      links: between the failure domains.
    """
    targets = tuple(
        Target(name, service, failure_domains[i % len(failure_domains)], slots)
        for i, name in enumerate(names)
    )
    members = tuple(
        Member(t.name, service, t.failure_domain, Address("127.0.0.1", 1))
        for t in targets
    )
    inventory = Inventory(targets=targets, links=tuple(links))
    return ConfigIndex(Configuration(inventory=inventory)), members
