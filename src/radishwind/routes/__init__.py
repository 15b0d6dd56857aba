"""Routes: which service a request is for and how it is to be treated.

An operator writes them whole, with a rising version; a node adopts only
higher ones.
"""

from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.model import CallerLimits
from radishwind.routes.model import Route
from radishwind.routes.model import RouteConfig
from radishwind.routes.model import ServiceInfo
from radishwind.routes.model import WeightedService
from radishwind.routes.route_table import RouteTable

__all__ = [
    "ActiveRoutes",
    "CallerLimits",
    "Route",
    "RouteConfig",
    "RouteTable",
    "ServiceInfo",
    "WeightedService",
]
