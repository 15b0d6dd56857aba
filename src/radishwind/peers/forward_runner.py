"""Runs attempts, forwarding them to the node of the chosen target."""

from collections.abc import Callable
from typing import TypeAlias

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.time_limit import TimeLimit
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.entry.pipeline import AttemptRunner
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.peers.attempts import build_attempt_request
from radishwind.peers.attempts import parse_attempt_result
from radishwind.peers.attempts import reports_not_run
from radishwind.peers.peer_client import CONNECT_TIMEOUT_S
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.peers.signing import RequestSigner
from radishwind.routing.chooser import LoadReport
from radishwind.routing.route_sizes import RouteSizes
from radishwind.target.pipeline import TargetPipeline

#: Maximum length of the description of a failure for the caller.
_MAX_DETAIL_CHARS = 200

#: Time after which to retry after a failed connection (s).
_RETRY_AFTER_S = 1.0

#: Called with the name of a target whose node cannot be connected to.
UnreachableCallback: TypeAlias = Callable[[str], None]

#: Called with the name of a target, the header fields of its response, and the
#: load report that came with it.
ResponseCallback: TypeAlias = Callable[[str, Headers, LoadReport | None], None]


class ForwardRunner(AttemptRunner):
    """Runs attempts at the local target, or forwards them to its node."""

    def __init__(
        self,
        *,
        node_name: str,
        clock: Clock,
        target: TargetPipeline,
        sender: Sender,
        signer: RequestSigner | None = None,
        on_unreachable: UnreachableCallback | None = None,
        traffic: PeerTraffic | None = None,
        sizes: RouteSizes | None = None,
        on_response: ResponseCallback | None = None,
    ) -> None:
        """Creates the runner.

        Args:
          node_name: name of this node.
          clock: the clock.
          target: runs the attempts at the local target.
          sender: sends the attempts to other nodes.
          signer: signs the attempts; `None` if no key is configured.
          on_unreachable: called if the node of a target cannot be connected to.
          traffic: counts messages and bytes sent to other nodes.
          sizes: learns the body sizes by route.
          on_response: called with each response of a server at another node.
        """
        self._node_name = node_name
        self._clock = clock
        self._target = target
        self._sender = sender
        self._signer = signer
        self._on_unreachable = on_unreachable
        self._traffic = traffic or PeerTraffic()
        self._sizes = sizes or RouteSizes()
        self._on_response = on_response

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        if member.name == self._node_name:
            return self._learn_sizes(call, await self._target.run(call))
        response = await self._forward(call, member, attempt_id)
        if self._should_resend(call, member, attempt_id, response):
            response = await self._forward(call, member, attempt_id)
        if isinstance(response, Response):
            self._traffic.record_answer(member, call, response)
            result = parse_attempt_result(response, attempt_id)
            self._notify_response(member, result)
            return self._learn_sizes(call, result)
        return AttemptResult(response)

    def _notify_response(self, member: Member, result: AttemptResult) -> None:
        if self._on_response is None or not isinstance(result.outcome, Done):
            return
        headers = result.outcome.response.headers
        self._on_response(member.name, headers, result.load)

    def _learn_sizes(self, call: Call, result: AttemptResult) -> AttemptResult:
        """Updates the body sizes of the route; returns `result` unchanged."""
        self._sizes.learn_from(call, result.outcome)
        return result

    def _should_resend(
        self,
        call: Call,
        member: Member,
        attempt_id: str,
        response: Response | NotRun | Unknown,
    ) -> bool:
        """Returns whether to sign the attempt again and resend it.

        An attempt that may have run is not resent, and a streamed body cannot
        be.
        """
        if self._signer is None or not isinstance(response, Response):
            return False
        if not reports_not_run(response, attempt_id):
            return False
        if not self._signer.should_sign_again(member.address, response):
            return False
        return isinstance(call.request.body, bytes)

    async def _forward(
        self, call: Call, member: Member, attempt_id: str
    ) -> Response | NotRun | Unknown:
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return NotRun(
                ResultCode.DEADLINE_PASSED, "The deadline had passed."
            )
        request = build_attempt_request(
            call, member, attempt_id, remaining_s, self._signer
        )
        self._traffic.record_forward(member, call, request)
        return await self._exchange(request, member, remaining_s)

    async def _exchange(
        self, request: Request, member: Member, remaining_s: float
    ) -> Response | NotRun | Unknown:
        """Sends an attempt and waits for the response.

        Args:
          request: the attempt as it is sent.
          member: the node of the target.
          remaining_s: time left until the deadline (s).

        Returns:
          The response, or the outcome if there is none.
        """
        try:
            with TimeLimit(remaining_s):
                return await self._sender.send(
                    member.address, request, CONNECT_TIMEOUT_S
                )
        except ConnectFailedError:
            if self._on_unreachable is not None:
                self._on_unreachable(member.name)
            return NotRun(
                ResultCode.CONNECT_FAILED,
                "The connection to the target's node failed.",
                _RETRY_AFTER_S,
            )
        except ExchangeBrokenError as exc:
            return Unknown(
                ResultCode.EXCHANGE_BROKEN,
                f"The exchange with the target's node failed: {exc.args[0]}"[
                    :_MAX_DETAIL_CHARS
                ],
            )
        except TimeoutError:
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The target did not respond in time.",
            )
