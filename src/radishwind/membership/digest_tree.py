"""Digests that tell two equal tables from different ones in a few bytes.

Entries fall into leaves by the hash of their key, and leaves into groups. The
digest of a leaf or a group is the exclusive or of the hashes of its entries,
so it can be updated one entry at a time.
"""

import xxhash

GROUP_COUNT = 32
LEAVES_PER_GROUP = 32
LEAF_COUNT = GROUP_COUNT * LEAVES_PER_GROUP


def leaf_of(key: str) -> int:
    """Returns the leaf of the entry with `key`."""
    return xxhash.xxh32_intdigest(key.encode()) % LEAF_COUNT


class DigestTree:
    """Digests of all leaves and groups."""

    def __init__(self) -> None:
        self._leaf_digests = [0] * LEAF_COUNT
        self._group_digests = [0] * GROUP_COUNT

    def toggle(self, key: str, version: str) -> None:
        """Adds the entry of `key` with `version`, or removes it again."""
        leaf = leaf_of(key)
        value = xxhash.xxh32_intdigest(f"{key}\n{version}".encode())
        self._leaf_digests[leaf] ^= value
        self._group_digests[leaf // LEAVES_PER_GROUP] ^= value

    def group_digests(self) -> tuple[int, ...]:
        """Returns the digests of all groups."""
        return tuple(self._group_digests)

    def leaf_digests(self, group: int) -> tuple[int, ...]:
        """Returns the digests of the leaves of `group`."""
        first = group * LEAVES_PER_GROUP
        return tuple(self._leaf_digests[first : first + LEAVES_PER_GROUP])

    def differing_groups(self, remote: tuple[int, ...]) -> list[int]:
        """Returns the groups whose digest differs from the one in `remote`."""
        pairs = zip(self._group_digests, remote, strict=True)
        return [n for n, (own, other) in enumerate(pairs) if own != other]

    def differing_leaves(
        self, group: int, remote: tuple[int, ...]
    ) -> list[int]:
        """Returns the leaves of `group` whose digest differs from `remote`."""
        first = group * LEAVES_PER_GROUP
        pairs = zip(self.leaf_digests(group), remote, strict=True)
        return [
            first + n for n, (own, other) in enumerate(pairs) if own != other
        ]
