"""The wire formats of the users' platform: names, messages and calls.

The modules of this package decode the platform's bytes into typed values of
this project and encode them back. They make no decisions: other packages work
with the typed values only.
"""

from radishwind.platform.boot import decode_settings
from radishwind.platform.caller_fields import add_account_field
from radishwind.platform.caller_fields import decode_caller_fields
from radishwind.platform.caller_fields import get_account_fields
from radishwind.platform.caller_fields import parse_host
from radishwind.platform.heartbeats import decode_heartbeat
from radishwind.platform.heartbeats import Heartbeat
from radishwind.platform.platform_dialect import get_stated_limit
from radishwind.platform.platform_dialect import PlatformDialect
from radishwind.platform.platform_dialect import states_leaving
from radishwind.platform.platform_store import PlatformStore
from radishwind.platform.routes import decode_routes

__all__ = [
    "Heartbeat",
    "PlatformDialect",
    "PlatformStore",
    "add_account_field",
    "decode_caller_fields",
    "decode_heartbeat",
    "decode_routes",
    "decode_settings",
    "get_account_fields",
    "get_stated_limit",
    "parse_host",
    "states_leaving",
]
