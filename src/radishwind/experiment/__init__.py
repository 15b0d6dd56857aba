"""Discrete-event simulation of a load on a fleet of nodes, in virtual time.

The nodes run the production code: routing, admission control, queueing, hedged
requests, retry budgets and load shedding. Only the network between them, the
backend servers and the callers are models. A run is deterministic for a given
seed, and a simulated minute takes seconds.
"""

from radishwind.experiment.report import Report
from radishwind.experiment.scenario import load_scenario
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ScenarioError
from radishwind.experiment.simulation import simulate

__all__ = ["Report", "Scenario", "ScenarioError", "load_scenario", "simulate"]
