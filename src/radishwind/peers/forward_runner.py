"""Forwards attempts to the node beside the chosen target."""

from collections.abc import Callable
from typing import TypeAlias

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.timelimit import TimeLimit
from radishwind.entry.call import Call
from radishwind.entry.pipeline import AttemptResult
from radishwind.entry.pipeline import AttemptRunner
from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.sender import Sender
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.peers.attempts import build_attempt_request
from radishwind.peers.attempts import parse_attempt_result
from radishwind.peers.attempts import reports_not_run
from radishwind.peers.peer_client import CONNECT_TIMEOUT_S
from radishwind.peers.peer_traffic import PeerTraffic
from radishwind.peers.signing import RequestSigner
from radishwind.routing.route_sizes import RouteSizes
from radishwind.target.pipeline import TargetPipeline

#: What the caller is told of a fault, at most.
_MAX_DETAIL_CHARS = 200

#: When to come back after a refused connection (s).
_RETRY_S = 1.0

#: Takes the name of a target whose node takes no connection.
UnreachableCallback: TypeAlias = Callable[[str], None]


class ForwardRunner(AttemptRunner):
    """Runs attempts here if the target is ours, else at the target's node."""

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
    ) -> None:
        self._node_name = node_name
        self._clock = clock
        self._target = target
        self._sender = sender
        self._signer = signer
        self._on_unreachable = on_unreachable
        self._traffic = traffic or PeerTraffic()
        self._sizes = sizes or RouteSizes()

    async def run(
        self, call: Call, member: Member, attempt_id: str
    ) -> AttemptResult:
        if member.name == self._node_name:
            return self._sized(call, await self._target.run(call))
        answer = await self._forward(call, member, attempt_id)
        if self._may_sign_anew(call, member, attempt_id, answer):
            answer = await self._forward(call, member, attempt_id)
        if isinstance(answer, Response):
            self._traffic.record_answer(member, call, answer)
            return self._sized(call, parse_attempt_result(answer, attempt_id))
        return AttemptResult(answer)

    def _sized(self, call: Call, result: AttemptResult) -> AttemptResult:
        """Returns `result`, after what it tells of the sizes of its route."""
        self._sizes.learn_from(call, result.outcome)
        return result

    def _may_sign_anew(
        self,
        call: Call,
        member: Member,
        attempt_id: str,
        answer: Response | NotRun | Unknown,
    ) -> bool:
        """Returns whether the node there only asks for another signature.

        What may have run isn't sent again, and a body that is streamed can't
        be.
        """
        if self._signer is None or not isinstance(answer, Response):
            return False
        if not reports_not_run(answer, attempt_id):
            return False
        if not self._signer.should_sign_again(member.address, answer):
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
        """Returns the answer of the node of `member`, or what no answer means.

        Args:
          request: the attempt, ready to send.
          member: the target's node.
          remaining_s: time left to the deadline (s).
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
                "The target's node takes no connection.",
                _RETRY_S,
            )
        except ExchangeBrokenError as exc:
            return Unknown(
                ResultCode.EXCHANGE_BROKEN,
                f"The answer of the target's node broke off: {exc.args[0]}"[
                    :_MAX_DETAIL_CHARS
                ],
            )
        except TimeoutError:
            return Unknown(
                ResultCode.EXCHANGE_TIMEOUT,
                "The target did not answer in time.",
            )
