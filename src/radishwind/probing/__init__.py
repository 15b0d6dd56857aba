"""Active health checks of the local server, within a time budget."""

from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator
from radishwind.probing.policy import ProbePolicy
from radishwind.probing.prober import Prober

__all__ = ["HealthEstimator", "ProbeBudget", "ProbePolicy", "Prober"]
