"""The platform's wire: names, formats and calls, decoded once.

Everything here turns bytes of the platform into typed values of this project
and back. Nothing here decides anything; who decides gets the typed values.
"""

from radishwind.platform.boot import decode_settings
from radishwind.platform.caller_fields import account_fields
from radishwind.platform.caller_fields import add_account_field
from radishwind.platform.caller_fields import decode_caller_fields
from radishwind.platform.caller_fields import parse_host
from radishwind.platform.heartbeats import decode_heartbeat
from radishwind.platform.heartbeats import Heartbeat
from radishwind.platform.platform_dialect import PlatformDialect
from radishwind.platform.platform_store import PlatformStore
from radishwind.platform.routes import decode_routes

__all__ = [
    "Heartbeat",
    "PlatformDialect",
    "PlatformStore",
    "account_fields",
    "add_account_field",
    "decode_caller_fields",
    "decode_heartbeat",
    "decode_routes",
    "decode_settings",
    "parse_host",
]
