"""Hedging policies: a second, concurrent attempt of a slow call."""

from radishwind.hedging.policy import HedgePolicy
from radishwind.hedging.policy import NoHedging
from radishwind.hedging.quantile import QuantileHedgePolicy

__all__ = ["HedgePolicy", "NoHedging", "QuantileHedgePolicy"]
