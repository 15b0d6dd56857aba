"""Measures the server beside: real answers first, probes only into silence."""

from radishwind.probing.budget import ProbeBudget
from radishwind.probing.health import HealthEstimator
from radishwind.probing.policy import ProbePolicy
from radishwind.probing.prober import Prober

__all__ = ["HealthEstimator", "ProbeBudget", "ProbePolicy", "Prober"]
