"""A client account as a frozen value."""

import hashlib

import msgspec

#: Length of a digest of a key (bytes).
_DIGEST_BYTES = 16


class Account(msgspec.Struct, frozen=True):
    """A client account of the operator.

    Attributes:
      name: unique; backend servers are told it.
      key_digests: of its keys, by `digest_key`.
      priority: its rank, which goes before that of a route; 0 is the highest,
        `None` leaves the route's.
      rate_per_s: requests a second that it may make at all nodes together; 0
        for no limit.
      burst: requests beyond that rate that it may make at once.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether it has a quota."""
        return self.rate_per_s > 0


def digest_key(key: str) -> bytes:
    """Returns what stands for `key`, so that the key itself need not be kept.

    Two digests are looked up and compared in place of two keys: the time that
    this takes tells nothing of the keys.
    """
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
