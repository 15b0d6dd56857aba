"""How recent a node's knowledge of the operator's keys is, and keeping it so.

A key that the operator took away must not run anywhere later than a bound
after the store's answer, also at a node that is cut off. So a node proves by
round trips how recent its configuration is, and takes no key beyond the bound.
"""

from radishwind.recency.model import FreshnessProof
from radishwind.recency.model import ProofSchedule
from radishwind.recency.proof_renewer import ProofRenewer
from radishwind.recency.proven_freshness import ProvenFreshness

__all__ = ["FreshnessProof", "ProofRenewer", "ProofSchedule", "ProvenFreshness"]
