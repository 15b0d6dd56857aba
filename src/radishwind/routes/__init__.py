"""Routes: map requests to services and state how they are handled.

The operator writes the routes as one configuration whose version rises with
each change. A node adopts only a version higher than the one in force.
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
