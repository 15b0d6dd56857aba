"""Which target a request goes to.

`TargetChooser` is the interface; `radishwind.routing.baselines` holds the
simple policies that ours is measured against.
"""

from radishwind.routing.baselines import FewestOwnRequests
from radishwind.routing.chooser import LoadReport
from radishwind.routing.chooser import TargetChooser

__all__ = ["FewestOwnRequests", "LoadReport", "TargetChooser"]
