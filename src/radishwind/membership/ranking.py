"""Hash ranking, by which all nodes choose the same few members for a task."""

from collections.abc import Iterable

import xxhash


def hash_rank(name: str) -> int:
    """Returns the rank of `name`: a uniform hash, the same on all nodes."""
    return xxhash.xxh64_intdigest(name.encode())


def ranks_among_first(name: str, names: Iterable[str], count: int) -> bool:
    """Returns whether fewer than `count` of `names` rank before `name`."""
    own_rank = (hash_rank(name), name)
    preceding = sum((hash_rank(other), other) < own_rank for other in names)
    return preceding < count
