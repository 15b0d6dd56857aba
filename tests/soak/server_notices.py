"""Checks that servers get what they stated: their limit, and that they leave.

A request counts for the node that a caller sent it to, from the time that the
node passed on a response with the notice, unless the node was restarted,
paused or cut off since.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import itertools

from radishwind.standins.limit_meter import LIMIT_FACTOR
from radishwind.standins.limit_meter import LIMIT_GRACE_S
from radishwind.standins.limit_meter import LIMIT_SLACK_REQUESTS
from radishwind.standins.limit_meter import LIMIT_WINDOW_S
from radishwind.standins.platform_server import PlatformServerStandin

#: Time after a response with a limit from which its node's requests count (s).
_LIMIT_DELAY_S = 0.5

#: A leaving server may receive requests for this long after a response stated
#: that it leaves (s).
_DRAIN_S = 2.0


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request as a caller sent it.

    Attributes:
      node: the name of the node that received it.
      sent_at: when it was sent (monotonic s).
    """

    node: str
    sent_at: float


class ServerNotices:
    """What callers saw of the notices of servers, and what excuses nodes."""

    def __init__(self) -> None:
        self._requests: dict[str, SentRequest] = {}
        # When a node passed on a response with a notice of an incarnation
        # (monotonic s), by node and incarnation.
        self._limits: dict[tuple[str, str], list[float]] = (
            collections.defaultdict(list)
        )
        self._leaving: dict[tuple[str, str], float] = {}
        self._disturbed: dict[str, list[float]] = collections.defaultdict(list)

    def record_request(self, request_id: str, node: str, now: float) -> None:
        """Records a request that a caller sends to `node`."""
        self._requests[request_id] = SentRequest(node, now)

    def record_response(
        self, node: str, headers: Mapping[str, str], now: float
    ) -> None:
        """Records the notices in a response that `node` passed on."""
        signature = headers.get("Response-Signature", "")
        key = (node, signature.partition(".")[0])
        if "Server-Limit" in headers:
            self._limits[key].append(now)
        if "Server-Leaving" in headers:
            self._leaving.setdefault(key, now)

    def record_disturbance(self, node: str, now: float) -> None:
        """Records that `node` was restarted, paused or cut off until now."""
        self._disturbed[node].append(now)

    def find_violations(
        self, servers: Iterable[PlatformServerStandin]
    ) -> list[str]:
        """Returns the violations among the requests that reached `servers`."""
        return [
            violation
            for server in servers
            for violation in (
                *self._find_late_arrivals(server),
                *self._find_excess(server),
            )
        ]

    def _find_late_arrivals(self, server: PlatformServerStandin) -> list[str]:
        violations = []
        for request_id, arrived_at in server.arrivals:
            sent = self._requests.get(request_id)
            if sent is None:
                continue
            told_at = self._leaving.get((sent.node, server.incarnation))
            if told_at is None or sent.sent_at <= told_at + _DRAIN_S:
                continue
            if not self._is_excused(sent.node, told_at, arrived_at):
                violations.append(
                    f"{request_id}: reached {server.incarnation} "
                    f"{arrived_at - told_at:.2f} s after {sent.node} passed on "
                    "that it leaves"
                )
        return violations

    def _find_excess(self, server: PlatformServerStandin) -> list[str]:
        last = (None, float("inf"))
        violations = []
        for (per_s, began), (_, ended) in itertools.pairwise(
            [*server.limits, last]
        ):
            if per_s is None:
                continue
            times = self._counted_arrivals(server, began, ended)
            allowed = (
                LIMIT_FACTOR * per_s * LIMIT_WINDOW_S + LIMIT_SLACK_REQUESTS
            )
            count = max(
                (
                    sum(end - LIMIT_WINDOW_S < at <= end for at in times)
                    for end in times
                    if end >= began + LIMIT_GRACE_S
                ),
                default=0,
            )
            if count > allowed:
                violations.append(
                    f"{server.incarnation}: {count} requests in "
                    f"{LIMIT_WINDOW_S:.0f} s with a limit of {per_s}/s, "
                    f"allowed {allowed:.0f}"
                )
        return violations

    def _counted_arrivals(
        self, server: PlatformServerStandin, began: float, ended: float
    ) -> list[float]:
        """Returns the arrivals from nodes that had passed on the limit."""
        times = []
        for request_id, arrived_at in server.arrivals:
            sent = self._requests.get(request_id)
            if sent is None or not began <= arrived_at < ended:
                continue
            told = self._limits[sent.node, server.incarnation]
            told_at = min((at for at in told if at >= began), default=None)
            if told_at is None or arrived_at < told_at + _LIMIT_DELAY_S:
                continue
            if not self._is_excused(sent.node, told_at, arrived_at):
                times.append(arrived_at)
        return times

    def _is_excused(self, node: str, since: float, until: float) -> bool:
        return any(since <= at <= until for at in self._disturbed[node])
