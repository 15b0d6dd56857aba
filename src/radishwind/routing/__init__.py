"""Which target a request goes to.

`TargetChooser` is the interface and `BalancedChooser` the default;
`radishwind.routing.baselines` holds the simple ones it is measured against.
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
