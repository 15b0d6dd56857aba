"""Bounds how stale a node's knowledge of the configuration may be.

A change that the store acknowledged must be in force at every node within a
bound, and a revoked key must not be accepted later than another, not even at a
node that is cut off. Each node therefore proves by round trips how recent its
configuration is. The proofs find a change that a watch of the store missed, and
while a node has no recent one it accepts no key and denies no route.
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
