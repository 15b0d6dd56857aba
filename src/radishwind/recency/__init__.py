"""Bounds how stale a node's knowledge of the accounts' keys may be.

A key that the operator revoked must not be accepted anywhere later than a bound
after the store acknowledged the revocation, not even at a node that is cut off.
Each node therefore proves by round trips how recent its configuration is, and
accepts no key once its proof is older than the bound.
"""

from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proof_renewer import ProofRenewer
from radishwind.recency.proven_freshness import ProvenFreshness

__all__ = [
    "FreshnessProof",
    "ProofRenewer",
    "ProofSchedule",
    "ProvenFreshness",
]
