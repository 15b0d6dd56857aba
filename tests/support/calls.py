"""Calls as the decisions see them, for tests."""

from typing import Any

from radishwind.config.model import ServiceRules
from radishwind.entry.call import Call
from radishwind.http import Request


def make_call(**changed: Any) -> Call:
    """Returns a read of the service `s`; any field may be given."""
    fields: dict[str, Any] = {
        "call_id": "1",
        "service": "s",
        "request": Request("GET", "/", ()),
        "rules": ServiceRules(),
        "idempotent": True,
        "deadline": 1e9,
        "expires_ms": 2**52,
        "caller": "c",
        "route": "r",
    }
    return Call(**(fields | changed))
