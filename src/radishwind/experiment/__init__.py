"""Plays a load on the decisions of a node, in virtual time.

The nodes are the product's own: choice, admission, held work, hedges, budget,
refusal. Only the network between them, the servers and the callers are models.
One seed gives one result, and a minute takes seconds.
"""

from radishwind.experiment.report import Report
from radishwind.experiment.scenario import load_scenario
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ScenarioError
from radishwind.experiment.simulation import simulate

__all__ = ["Report", "Scenario", "ScenarioError", "load_scenario", "simulate"]
