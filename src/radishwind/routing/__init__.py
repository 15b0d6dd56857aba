"""Chooses the target of each request.

`TargetChooser` is the interface and `BalancedChooser` the default policy;
`radishwind.routing.baselines` has simple policies to compare it with.
"""

from radishwind.routing.balanced_chooser import BalancedChooser
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser
from radishwind.routing.factory import make_chooser
from radishwind.routing.factory import RoutingPolicy

__all__ = [
    "BalancedChooser",
    "LoadReport",
    "RoutingPolicy",
    "TargetChooser",
    "make_chooser",
]
