"""Ranks members by hash, so that all nodes name the same few for a duty."""

from collections.abc import Iterable

import xxhash


def hash_rank(name: str) -> int:
    """Returns the rank of `name`; evenly spread and the same everywhere."""
    return xxhash.xxh64_intdigest(name.encode())


def ranks_among_first(name: str, names: Iterable[str], count: int) -> bool:
    """Returns whether fewer than `count` of `names` rank before `name`."""
    own = (hash_rank(name), name)
    before = sum((hash_rank(other), other) < own for other in names)
    return before < count
