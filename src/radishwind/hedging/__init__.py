"""Whether a slow call gets a second attempt beside the first."""

from radishwind.hedging.policy import HedgePolicy
from radishwind.hedging.policy import NoHedging
from radishwind.hedging.quantile import QuantileHedgePolicy

__all__ = ["HedgePolicy", "NoHedging", "QuantileHedgePolicy"]
