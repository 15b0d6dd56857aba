"""The request limit that the backend server states in its responses.

A server in need states how many requests it accepts from all nodes together,
in each response for as long as the limit holds.
"""

import math

from radishwind.core.clock import Clock
from radishwind.target.dialect import ResponseMetadata
from radishwind.telemetry.part_logger import PartLogger


class StatedLimit:
    """The limit in force, as far as responses tell.

    Responses may arrive in another order than they were sent. The limit ends
    with a response that does not state it only if its request was sent after
    the latest response that did.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("target", clock)
        self._per_s: float | None = None
        # When a response last stated the limit (monotonic s).
        self._last_stated = -math.inf
        # Whether health responses of this server process state its limit.
        self._is_in_health_responses = False

    @property
    def per_s(self) -> float | None:
        """The limit (requests/s); `None` if there is none."""
        return self._per_s

    def reset(self) -> None:
        """Forgets the limit of the previous process of the server."""
        self._per_s = None
        self._last_stated = -math.inf
        self._is_in_health_responses = False

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
        self._last_stated = self._clock.monotonic()
        if per_s is None:
            self._log.warning(
                "The server states a malformed request limit; "
                "the earlier one stays in force.",
                believed=self._per_s,
            )
            return
        if per_s == self._per_s:
            return
        before, self._per_s = self._per_s, per_s
        self._log.change(
            "The server limits its requests.", limit_per_s=per_s, before=before
        )

    def _record_absence(self, sent_at: float) -> None:
        if self._per_s is None or sent_at < self._last_stated:
            return
        before, self._per_s = self._per_s, None
        self._log.change(
            "The server no longer limits its requests.", before=before
        )
