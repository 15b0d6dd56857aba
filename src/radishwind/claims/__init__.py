"""At most once: what a caller's idempotency key has already run."""

from radishwind.claims.claim_guard import ClaimGuard
from radishwind.claims.claim_guard import NoClaims

__all__ = ["ClaimGuard", "NoClaims"]
