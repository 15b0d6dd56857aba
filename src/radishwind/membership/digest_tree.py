"""Digests of a table of facts, so that equal tables are told by a few bytes.

The facts fall by the hash of their key into leaves, and the leaves into
groups; the digest of a leaf or group is the exclusive or of the hashes of its
facts, so that it can be kept up to date one fact at a time.
"""

import xxhash

GROUPS = 32
LEAVES_PER_GROUP = 32
LEAVES = GROUPS * LEAVES_PER_GROUP


def leaf_of(key: str) -> int:
    """Returns the leaf that the fact of `key` falls into."""
    return xxhash.xxh32_intdigest(key.encode()) % LEAVES


class DigestTree:
    """Digests of all leaves and groups."""

    def __init__(self) -> None:
        self._leaves = [0] * LEAVES
        self._groups = [0] * GROUPS

    def toggle(self, key: str, version: str) -> None:
        """Adds the fact of `key` with `version`, or takes it out again."""
        leaf = leaf_of(key)
        value = xxhash.xxh32_intdigest(f"{key}\n{version}".encode())
        self._leaves[leaf] ^= value
        self._groups[leaf // LEAVES_PER_GROUP] ^= value

    def groups(self) -> tuple[int, ...]:
        """Returns the digests of all groups."""
        return tuple(self._groups)

    def leaves(self, group: int) -> tuple[int, ...]:
        """Returns the digests of the leaves of `group`."""
        first = group * LEAVES_PER_GROUP
        return tuple(self._leaves[first : first + LEAVES_PER_GROUP])

    def differing_groups(self, theirs: tuple[int, ...]) -> list[int]:
        """Returns the groups whose digest differs from `theirs`."""
        pairs = zip(self._groups, theirs, strict=True)
        return [n for n, (own, their) in enumerate(pairs) if own != their]

    def differing_leaves(
        self, group: int, theirs: tuple[int, ...]
    ) -> list[int]:
        """Returns the leaves of `group` whose digest differs from `theirs`."""
        first = group * LEAVES_PER_GROUP
        pairs = zip(self.leaves(group), theirs, strict=True)
        return [
            first + n for n, (own, their) in enumerate(pairs) if own != their
        ]
