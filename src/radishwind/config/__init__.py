"""The configuration that operators apply: inventory, rules and revision.

Every node routes by one `Configuration`. A node adopts it as a whole, and
replaces it only by one of a higher revision.
"""

from radishwind.config.model import Configuration
from radishwind.config.model import FailureDomain
from radishwind.config.model import Inventory
from radishwind.config.model import Link
from radishwind.config.model import Rules
from radishwind.config.model import Service
from radishwind.config.model import ServiceRules
from radishwind.config.model import Target

__all__ = [
    "Configuration",
    "FailureDomain",
    "Inventory",
    "Link",
    "Rules",
    "Service",
    "ServiceRules",
    "Target",
]
