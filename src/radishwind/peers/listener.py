"""Serves the peer listener: forwarded attempts and control messages."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import TypeAlias

import msgspec

from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.http.types import abort_body
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.http.types import whole_body
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import problem
from radishwind.outcomes import Unknown
from radishwind.peers.attempts import ATTEMPT_FIELD
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.attempts import PeerMalformedError
from radishwind.peers.attempts import read_attempt
from radishwind.peers.attempts import split_node_fields
from radishwind.peers.attempts import with_answer
from radishwind.peers.client import CONTROL_PREFIX
from radishwind.peers.security import AUTH_FIELD
from radishwind.peers.security import PeerRefusedError
from radishwind.peers.security import PeerReplayedError
from radishwind.peers.security import PeerVerifier
from radishwind.target.pipeline import TargetPipeline

#: Control messages up to this size (bytes) are read where `add_control` is
#: given no other limit.
MAX_CONTROL_BYTES = 64 * 1024

#: When an entry node may come back after a refused attempt (s).
_RETRY_S = 1.0

_ATTEMPT = ATTEMPT_FIELD.lower()
_AUTH = AUTH_FIELD.lower()

ControlHandler: TypeAlias = Callable[[Request], Awaitable[Response]]


class PeerListener:
    """Serves the peer listener: forwarded attempts and control messages."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rules_for: Callable[[str], ServiceRules],
        target: TargetPipeline,
        verifier: PeerVerifier | None = None,
        asked_by: Callable[[str], None] | None = None,
    ) -> None:
        """Wires the listener.

        Args:
          node_name: of this node.
          clock: the clock.
          rules_for: returns the rules of a service.
          target: runs the attempts.
          verifier: checks who sends; `None` where there is no key.
          asked_by: takes the host of each node that sends an attempt.
        """
        self._asked_by = asked_by or _forget_host
        self._node_name = node_name
        self._clock = clock
        self._rules_for = rules_for
        self._target = target
        self._verifier = verifier
        self._control: dict[str, tuple[ControlHandler, int]] = {}
        #: Requests refused, by result code.
        self.refused: dict[int, int] = {}

    def add_control(
        self,
        name: str,
        handler: ControlHandler,
        max_bytes: int = MAX_CONTROL_BYTES,
    ) -> None:
        """Routes the control path `/radishwind/v1/NAME` to `handler`.

        The handler gets authentic requests only, with the whole body.

        Args:
          name: the last part of the path.
          handler: answers the messages.
          max_bytes: longer messages are refused unread (bytes).
        """
        self._control[CONTROL_PREFIX + name] = (handler, max_bytes)

    async def handle(self, request: Request) -> Response:
        """Answers one request of a peer."""
        told, others = split_node_fields(request.headers)
        field = told.get(_ATTEMPT)
        auth = told.get(_AUTH)
        if field is None:
            return await self._handle_control(request, auth)
        try:
            info = read_attempt(field)
        except PeerMalformedError as exc:
            return self._refuse(exc.code, exc.args[0])
        try:
            covered = field.encode("utf-8", "surrogateescape")
            self._verify(request, auth, covered)
        except PeerRefusedError as exc:
            return self._refuse_attempt(info, exc)
        if info.target != self._node_name:
            # The address has passed to another target since the peer heard.
            outcome: Outcome = NotRun(
                ResultCode.NO_TARGET,
                f"expected target {self._node_name}, got {info.target}",
            )
            return with_answer(info.attempt_id, outcome, self._target.load())
        self._asked_by(request.remote)
        result = await self._target.run(self._call(info, request, others))
        return with_answer(info.attempt_id, result.outcome, result.load)

    async def _handle_control(
        self, request: Request, auth: str | None
    ) -> Response:
        path = request.path.partition("?")[0]
        handler, max_bytes = self._control.get(path, (None, 0))
        if handler is None:
            return self._refuse(
                ResultCode.PEER_MALFORMED,
                f"expected a known path, got {request.path[:80]!r}",
            )
        size = request.body_bytes
        if size is None or size > max_bytes:
            abort_body(request.body)
            return self._refuse(
                ResultCode.PEER_TOO_LARGE,
                f"expected a body of at most {max_bytes} bytes, got {size}",
            )
        body = await whole_body(request.body)
        try:
            self._verify(request, auth, body)
        except PeerRefusedError as exc:
            return self._refuse(exc.code, exc.args[0])
        return await handler(msgspec.structs.replace(request, body=body))

    def _verify(
        self, request: Request, auth: str | None, covered: bytes
    ) -> None:
        if self._verifier is None:
            return
        self._verifier.verify(auth, request.method, request.path, covered)

    def _refuse(self, code: ResultCode, detail: str) -> Response:
        self.refused[code] = self.refused.get(code, 0) + 1
        return problem(code, detail, "not-run")

    def _refuse_attempt(
        self, info: AttemptInfo, exc: PeerRefusedError
    ) -> Response:
        self.refused[exc.code] = self.refused.get(exc.code, 0) + 1
        outcome: Outcome = NotRun(exc.code, exc.args[0], _RETRY_S)
        if isinstance(exc, PeerReplayedError):
            # The first one may have run.
            outcome = Unknown(exc.code, exc.args[0])
        return with_answer(info.attempt_id, outcome, None)

    def _call(
        self, info: AttemptInfo, request: Request, headers: Headers
    ) -> Call:
        return Call(
            call_id=info.attempt_id,
            service=info.service,
            request=Request(
                request.method,
                request.path,
                headers,
                request.body,
                request.body_bytes,
            ),
            rules=self._rules_for(info.service),
            idempotent=info.idempotent,
            deadline=self._clock.monotonic() + info.remaining_ms / 1000,
            expires_ms=info.expires_ms,
            caller=info.caller,
            depth=info.depth,
            suspect=info.suspect,
            aim=self._aim(info),
            priority=info.priority,
            work_s=info.work_ms / 1000,
            lot=min(0.5, max(-0.5, info.lot)),
            route=info.route,
            account=info.account,
            repeated=info.repeated,
        )

    def _aim(self, info: AttemptInfo) -> float:
        if info.aim_ms is None:
            return math.inf
        return self._clock.monotonic() + info.aim_ms / 1000


def _forget_host(host: str) -> None:
    """Takes the host of a sender where nobody wants to know."""
