"""Routes: which service a request is for and how it is to be treated.

An operator writes them whole, with a rising version; a node adopts only
higher ones.
"""

from radishwind.routes.in_force import RoutesInForce
from radishwind.routes.model import CallerLimits
from radishwind.routes.model import Part
from radishwind.routes.model import Route
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.routes.table import RouteTable

__all__ = [
    "CallerLimits",
    "Part",
    "Route",
    "RouteConfig",
    "RouteTable",
    "RoutesInForce",
    "ServiceInfo",
]
