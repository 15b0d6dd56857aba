"""Creates calls, for tests."""

from typing import Any

from radishwind.config.model import ServiceRules
from radishwind.entry.call import Call
from radishwind.http import Request


def make_call(**overrides: Any) -> Call:
    """Returns an idempotent read of service `s`; `overrides` sets fields."""
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
    return Call(**(fields | overrides))
