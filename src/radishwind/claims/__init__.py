"""At-most-once execution of calls with an idempotency key.

A node claims the idempotency key of a call in the store before it dispatches
the first attempt. A duplicate, that is a later request to the same service with
the same key, finds the claim and is answered from it without being run.
"""

from radishwind.claims.claim_guard import ClaimGuard
from radishwind.claims.claim_guard import NoClaims

__all__ = ["ClaimGuard", "NoClaims"]
