"""Whether a slow call gets a second attempt beside the first."""

from radishwind.hedging.policy import HedgePolicy
from radishwind.hedging.policy import NoHedges
from radishwind.hedging.quantile import HedgeAfterQuantile

__all__ = ["HedgeAfterQuantile", "HedgePolicy", "NoHedges"]
