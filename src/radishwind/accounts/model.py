"""Client accounts and the digests of their keys."""

import hashlib

import msgspec

#: Length of the digest of a key.
_DIGEST_BYTES = 16


class Account(msgspec.Struct, frozen=True):
    """A client account of the operator.

    Attributes:
      name: unique name; it is sent to backend servers.
      key_digests: digests of its keys, as returned by `digest_key`.
      priority: priority of its requests, which overrides that of the route; 0
        is the highest, `None` keeps that of the route.
      rate_per_s: sustained request rate allowed over all nodes together
        (requests/s); 0 for no limit.
      burst: requests allowed at once beyond that rate.
    """

    name: str
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the account has a quota."""
        return self.rate_per_s > 0


def digest_key(key: str) -> bytes:
    """Returns the digest of `key`, so that the key itself is not stored.

    Digests are looked up and compared instead of keys, so the timing reveals
    nothing about the keys.
    """
    data = key.encode("utf-8", "surrogateescape")
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()
