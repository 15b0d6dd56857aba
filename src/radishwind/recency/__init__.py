"""How recent a node's knowledge of the operator's keys is, and keeping it so.

A key that the operator took away must not run anywhere later than a bound
after the store's answer, also at a node that is cut off. So a node proves by
round trips how recent its configuration is, and takes no key beyond the bound.
"""

from radishwind.recency.keeper import RecencyKeeper
from radishwind.recency.model import Proof
from radishwind.recency.model import RecencyTimes
from radishwind.recency.proof import RecentProof

__all__ = ["Proof", "RecencyKeeper", "RecencyTimes", "RecentProof"]
