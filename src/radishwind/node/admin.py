"""The admin listener, for the local backend server and for operators."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeAlias

import msgspec

from radishwind.core import ResultCode
from radishwind.http import Request
from radishwind.http import Response
from radishwind.outcomes import problem_response

AdminHandler: TypeAlias = Callable[[Request], Awaitable[Response]]
StatusProvider: TypeAlias = Callable[[], dict[str, Any]]

_JSON: tuple[tuple[str, str], ...] = (("Content-Type", "application/json"),)


class AdminListener:
    """Routes admin requests to handlers and assembles the status document."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], AdminHandler] = {}
        self._status_providers: list[StatusProvider] = []
        self.add("GET", "/v1/status", self._handle_status)

    def add(self, method: str, path: str, handler: AdminHandler) -> None:
        """Routes `method` and `path` to `handler`."""
        self._routes[method, path] = handler

    def add_status(self, provider: StatusProvider) -> None:
        """Adds the fields that `provider` returns to the status document."""
        self._status_providers.append(provider)

    async def handle(self, request: Request) -> Response:
        """Handles an admin request."""
        path = request.path.partition("?")[0]
        handler = self._routes.get((request.method, path))
        if handler is None:
            known = ", ".join(sorted(" ".join(r) for r in self._routes))
            return problem_response(
                ResultCode.REQUEST_MALFORMED,
                f"expected one of {known}; got {request.method} {path[:80]}",
                "not-run",
            )
        return await handler(request)

    async def _handle_status(self, request: Request) -> Response:
        status: dict[str, Any] = {}
        for provider in self._status_providers:
            status.update(provider())
        return json_response(status)


def json_response(value: Any, status: int = 200) -> Response:
    """Returns a response with `value` encoded as JSON."""
    return Response(status, _JSON, msgspec.json.encode(value))
