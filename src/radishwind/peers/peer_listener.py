"""Server side of the peer listener: forwarded attempts and control messages."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import NamedTuple
from typing import TypeAlias

import msgspec

from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.http.types import Headers
from radishwind.http.types import read_body
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.loads.link_admission import LinkAdmission
from radishwind.outcomes import NotRun
from radishwind.outcomes import Outcome
from radishwind.outcomes import problem_response
from radishwind.outcomes import Unknown
from radishwind.peers.attempts import ATTEMPT_FIELD
from radishwind.peers.attempts import AttemptInfo
from radishwind.peers.attempts import build_attempt_response
from radishwind.peers.attempts import decode_attempt
from radishwind.peers.attempts import PeerMalformedError
from radishwind.peers.attempts import split_node_fields
from radishwind.peers.peer_client import CONTROL_PREFIX
from radishwind.peers.signing import AUTH_FIELD
from radishwind.peers.signing import PeerRefusedError
from radishwind.peers.signing import PeerReplayedError
from radishwind.peers.signing import RequestVerifier
from radishwind.target.pipeline import TargetPipeline
from radishwind.telemetry.part_logger import PartLogger

#: Default limit of the size of a control message (bytes).
MAX_CONTROL_BYTES = 64 * 1024

#: Time after which an entry node may retry a refused attempt (s).
_RETRY_AFTER_S = 1.0

_ATTEMPT = ATTEMPT_FIELD.lower()
_AUTH = AUTH_FIELD.lower()

ControlHandler: TypeAlias = Callable[[Request], Awaitable[Response]]


class AttemptPolicy(abc.ABC):
    """Checks on forwarded attempts in addition to their signature."""

    @abc.abstractmethod
    def matches_account(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether the request names the same account as `info`."""

    @abc.abstractmethod
    def accepts_unsigned(self, info: AttemptInfo, request: Request) -> bool:
        """Returns whether the attempt may run without a signature."""


class _Control(NamedTuple):
    """Registered handlers of a control path.

    Attributes:
      handler: handles authenticated requests.
      max_bytes: size limit (bytes); larger messages are refused unread.
      unsigned_handler: handles unsigned requests where signatures are
        required; `None` where they are refused.
    """

    handler: ControlHandler
    max_bytes: int
    unsigned_handler: ControlHandler | None


class PeerListener:
    """Serves forwarded attempts and control messages of other nodes."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        rules_for: Callable[[str], ServiceRules],
        target: TargetPipeline,
        verifier: RequestVerifier | None = None,
        policy: AttemptPolicy | None = None,
        record_request_from: Callable[[str], None] | None = None,
        link_admission: LinkAdmission | None = None,
    ) -> None:
        """Creates the listener.

        Args:
          node_name: name of this node.
          clock: the clock.
          rules_for: returns the rules of a service.
          target: runs the attempts.
          verifier: verifies signatures; `None` if no key is configured.
          policy: further checks on attempts; by default there are none.
          record_request_from: called with the host of each node that sends an
            attempt.
          link_admission: refuses attempts if the link is full; by default none
            is refused for that.
        """
        self._link_admission = link_admission
        self._record_request_from = record_request_from or _ignore_host
        self._node_name = node_name
        self._clock = clock
        self._rules_for = rules_for
        self._target = target
        self._verifier = verifier
        self._policy = policy
        self._log = PartLogger("peers", clock)
        self._control: dict[str, _Control] = {}
        #: Number of refused requests by result code.
        self.refused_by_code: dict[int, int] = {}

    def add_control_handler(
        self,
        name: str,
        handler: ControlHandler,
        max_bytes: int = MAX_CONTROL_BYTES,
        unsigned_handler: ControlHandler | None = None,
    ) -> None:
        """Routes the control path `/radishwind/v1/NAME` to `handler`.

        The handler gets only authenticated requests, with the whole body.

        Args:
          name: last segment of the path.
          handler: handles the messages.
          max_bytes: size limit (bytes); larger messages are refused unread.
          unsigned_handler: handles unsigned messages if signatures are
            required; by default they are refused.
        """
        self._control[CONTROL_PREFIX + name] = _Control(
            handler, max_bytes, unsigned_handler
        )

    async def handle(self, request: Request) -> Response:
        """Handles a request of a peer."""
        node_fields, headers = split_node_fields(request.headers)
        field = node_fields.get(_ATTEMPT)
        auth = node_fields.get(_AUTH)
        if field is None:
            return await self._handle_control(request, auth)
        try:
            info = decode_attempt(field)
        except PeerMalformedError as exc:
            return self._refuse(exc.code, exc.args[0])
        try:
            covered = field.encode("utf-8", "surrogateescape")
            self._verify_attempt(info, request, auth, covered)
        except PeerRefusedError as exc:
            return self._refuse_attempt(info, exc, request)
        if info.target != self._node_name:
            # The address was reassigned to this target, and the peer does not
            # know it yet.
            outcome: Outcome = NotRun(
                ResultCode.NO_TARGET,
                f"expected target {self._node_name}, got {info.target}",
            )
            return build_attempt_response(
                info.attempt_id, outcome, self._target.load_report()
            )
        self._record_request_from(request.remote)
        call = self._build_call(info, request, headers)
        if self._link_admission is None:
            result = await self._target.run(call)
        else:
            result = await self._run_if_admitted(self._link_admission, call)
        return build_attempt_response(
            info.attempt_id, result.outcome, result.load
        )

    async def _run_if_admitted(
        self, link_admission: LinkAdmission, call: Call
    ) -> AttemptResult:
        """Runs an attempt if the link can carry its response."""
        load = self._target.load_report()
        size = link_admission.admit(call.route, load)
        if isinstance(size, NotRun):
            return AttemptResult(size, load)
        try:
            result = await self._target.run(call)
        finally:
            link_admission.release(size)
        link_admission.sizes.learn_from(call, result.outcome)
        return result

    async def _handle_control(
        self, request: Request, auth: str | None
    ) -> Response:
        path = request.path.partition("?")[0]
        control = self._control.get(path)
        if control is None:
            return self._refuse(
                ResultCode.PEER_MALFORMED,
                f"expected a known path, got {request.path[:80]!r}",
            )
        size = request.body_bytes
        if size is None or size > control.max_bytes:
            return self._refuse(
                ResultCode.PEER_TOO_LARGE,
                f"expected a body of at most {control.max_bytes} bytes, "
                f"got {size}",
            )
        body = await read_body(request.body)
        handler = control.handler
        try:
            self._verify(request, auth, body)
        except PeerRefusedError as exc:
            if auth is not None or control.unsigned_handler is None:
                self._log_refusal(exc.code, path, request)
                return self._refuse(exc.code, exc.args[0])
            handler = control.unsigned_handler
        return await handler(msgspec.structs.replace(request, body=body))

    def _verify_attempt(
        self,
        info: AttemptInfo,
        request: Request,
        auth: str | None,
        covered: bytes,
    ) -> None:
        """Returns if the attempt may run.

        Raises:
          PeerRefusedError: it must be refused.
        """
        policy = self._policy
        try:
            self._verify(request, auth, covered, at_most_once=True)
        except PeerRefusedError:
            if auth is not None or policy is None:
                raise
            if not policy.accepts_unsigned(info, request):
                raise
        if policy is not None and not policy.matches_account(info, request):
            raise PeerRefusedError(
                "expected the request to name the account of the attempt"
            )

    def _verify(
        self,
        request: Request,
        auth: str | None,
        covered: bytes,
        *,
        at_most_once: bool = False,
    ) -> None:
        if self._verifier is None:
            return
        self._verifier.verify(
            auth,
            request.method,
            request.path,
            covered,
            at_most_once=at_most_once,
        )

    def _refuse(self, code: ResultCode, detail: str) -> Response:
        self.refused_by_code[code] = self.refused_by_code.get(code, 0) + 1
        return self._with_refusal_headers(
            problem_response(code, detail, "not-run")
        )

    def _log_refusal(
        self, code: ResultCode, what: str, request: Request
    ) -> None:
        if code == ResultCode.PEER_STALE:
            # Expected after a restart, until the other nodes notice it.
            return
        self._log.warning(
            "Refuses a message that no node is known to have sent.",
            what=what,
            code=int(code),
            sender=request.remote,
        )

    def _with_refusal_headers(self, response: Response) -> Response:
        if self._verifier is None:
            return response
        fields = self._verifier.refusal_headers()
        if not fields:
            return response
        headers = (*response.headers, *fields)
        return msgspec.structs.replace(response, headers=headers)

    def _refuse_attempt(
        self, info: AttemptInfo, exc: PeerRefusedError, request: Request
    ) -> Response:
        self.refused_by_code[exc.code] = (
            self.refused_by_code.get(exc.code, 0) + 1
        )
        self._log_refusal(exc.code, "attempt", request)
        outcome: Outcome = NotRun(exc.code, exc.args[0], _RETRY_AFTER_S)
        if isinstance(exc, PeerReplayedError):
            # The first one may have run, so the attempt must not be resent.
            outcome = Unknown(exc.code, exc.args[0])
            return build_attempt_response(info.attempt_id, outcome, None)
        refusal = build_attempt_response(info.attempt_id, outcome, None)
        return self._with_refusal_headers(refusal)

    def _build_call(
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
            normal_run_s=info.normal_run_ms / 1000,
            group_rank=min(0.5, max(-0.5, info.group_rank)),
            route=info.route,
            account=info.account,
            is_retry=info.is_retry,
        )

    def _aim(self, info: AttemptInfo) -> float:
        if info.aim_ms is None:
            return math.inf
        return self._clock.monotonic() + info.aim_ms / 1000


def _ignore_host(host: str) -> None:
    """Ignores the host of a sender; default of `record_request_from`."""
