"""The platform's wire: names, formats and calls, decoded once.

Everything here turns bytes of the platform into typed values of this project
and back. Nothing here decides anything; who decides gets the typed values.
"""

from radishwind.platform.boot import read_settings
from radishwind.platform.caller import host_of
from radishwind.platform.caller import named_accounts
from radishwind.platform.caller import read_caller
from radishwind.platform.caller import with_account
from radishwind.platform.dialect import PlatformDialect
from radishwind.platform.heartbeats import Heartbeat
from radishwind.platform.heartbeats import read_call
from radishwind.platform.routes import read_routes
from radishwind.platform.store import PlatformStore

__all__ = [
    "Heartbeat",
    "PlatformDialect",
    "PlatformStore",
    "host_of",
    "named_accounts",
    "read_call",
    "read_caller",
    "read_routes",
    "read_settings",
    "with_account",
]
