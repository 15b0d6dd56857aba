"""The request limit that the backend server states in its responses.

A server in need states how many requests it accepts from all nodes together,
in each response for as long as the limit holds.
"""

from collections.abc import Sequence
import math

from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.target.dialect import ResponseMetadata
from radishwind.target.send_limiter import LimitCause
from radishwind.target.send_limiter import MAX_TRACKED
from radishwind.target.send_limiter import SendWindow
from radishwind.telemetry.part_logger import PartLogger

#: Approximate length of the window in which requests are counted (s). It is
#: extended to hold a whole number of requests.
WINDOW_S = 2.0

#: Rate that a server gets however low its limit is (requests/s): if only
#: responses to requests state the limit, they also have to state its end.
MIN_RATE_PER_S = 0.2

#: The bound of all that is sent, health checks included: in any time of this
#: length (s), a multiple of the limit and further requests. The time is a
#: little longer than that of the bound, since requests may arrive closer
#: together than they were sent.
BOUND_WINDOW_S = 4.1
BOUND_S = 4.0
BOUND_FACTOR = 1.5
BOUND_ALLOWANCE = 5

_DETAIL = "The server has got as many requests as it states to accept."


class StatedLimit(LimitCause):
    """The limit in force, as far as responses tell.

    Responses may arrive in another order than they were sent. The limit ends
    with a response that does not state it only if its request was sent after
    the latest response that did.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._began = clock.monotonic()
        self._per_s: float | None = None
        # Since when there is a limit (monotonic s).
        self._since = -math.inf
        # Whether a response to this process has told if there is one.
        self._is_known = False
        # Whether the limit was restored, so that a previous process of the node
        # may have sent requests that count.
        self._is_restored = False
        # When a response last stated the limit (monotonic s).
        self._last_stated = -math.inf
        # Whether health responses of this server process state its limit.
        self._is_in_health_responses = False

    @property
    def per_s(self) -> float | None:
        """The limit (requests/s); `None` if there is none."""
        return self._per_s

    @property
    def stated_per_s(self) -> float | None:
        return self._per_s

    def windows(self, now: float) -> Sequence[SendWindow]:
        if self._per_s is None:
            return ()
        rate_per_s = max(self._per_s, MIN_RATE_PER_S)
        max_requests = min(MAX_TRACKED, math.ceil(rate_per_s * WINDOW_S))
        window_s = max_requests / rate_per_s
        sustained = SendWindow(
            window_s,
            max_requests,
            ResultCode.SERVER_LIMITED,
            _DETAIL,
            since=self._since,
            opens_at=(
                self._began + window_s if self._is_restored else -math.inf
            ),
        )
        bound = BOUND_FACTOR * self._per_s * BOUND_S + BOUND_ALLOWANCE
        if bound > MAX_TRACKED:
            return (sustained,)
        total = SendWindow(
            BOUND_WINDOW_S,
            math.floor(bound) - 1,
            ResultCode.SERVER_LIMITED,
            _DETAIL,
            since=self._since,
            includes_checks=True,
        )
        return sustained, total

    def reset(self) -> None:
        """Forgets the limit of the previous process of the server."""
        self._per_s = None
        self._is_known = False
        self._is_restored = False
        self._last_stated = -math.inf
        self._is_in_health_responses = False

    def restore(self, per_s: float) -> None:
        """Restores the limit that a previous process of the node knew.

        It has no effect if a response has told the present state already.

        Args:
          per_s: the limit (requests/s).
        """
        if self._is_known or per_s == self._per_s:
            return
        self._per_s = per_s
        self._is_restored = True
        self._since = self._last_stated = self._clock.monotonic()
        self._log.change(
            "Restored the request limit of the server.", limit_per_s=per_s
        )

    def record_response(
        self, response: ResponseMetadata, sent_at: float, *, is_success: bool
    ) -> None:
        """Records the response to a request.

        Args:
          response: what its header fields state.
          sent_at: when the request was sent (monotonic s).
          is_success: whether the server ran the request successfully; other
            responses, such as refusals, may lack the field.
        """
        if response.states_limit:
            self._record_limit(response.limit_per_s)
        elif is_success:
            self._record_absence(sent_at)

    def record_check(self, response: ResponseMetadata, sent_at: float) -> None:
        """Records the response to a health check.

        Args:
          response: what its header fields state.
          sent_at: when the check was sent (monotonic s).
        """
        if response.states_limit:
            self._is_in_health_responses = True
            self._record_limit(response.limit_per_s)
        elif self._is_in_health_responses:
            self._record_absence(sent_at)

    def _record_limit(self, per_s: float | None) -> None:
        now = self._last_stated = self._clock.monotonic()
        if per_s is None:
            self._log.warning(
                "The server states a malformed request limit; "
                "the earlier one stays in force.",
                believed=self._per_s,
            )
            return
        self._is_known = True
        if per_s == self._per_s:
            return
        if self._per_s is None:
            self._since = now
        before, self._per_s = self._per_s, per_s
        self._log.change(
            "The server limits its requests.", limit_per_s=per_s, before=before
        )

    def _record_absence(self, sent_at: float) -> None:
        self._is_known = True
        if self._per_s is None or sent_at < self._last_stated:
            return
        self._is_restored = False
        before, self._per_s = self._per_s, None
        self._log.change(
            "The server no longer limits its requests.", before=before
        )
