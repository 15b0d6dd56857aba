"""At most once: what a caller's idempotency key has already run."""

from radishwind.claims.guard import ClaimGuard
from radishwind.claims.guard import NoClaims

__all__ = ["ClaimGuard", "NoClaims"]
