"""Counts what passes between nodes, by failure domain, cause and route.

A forward is counted with its answer by the node that sends it, any other
message by the node that sends it, so that sums over all nodes count nothing
twice. Heads count as the fields they hold, bodies as long as they are told.
"""

from collections.abc import Iterable

from radishwind.entry.call import Call
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.peers.peer_socket import Channel

#: Series kept at most; what comes beyond is counted together.
MAX_SERIES = 256

#: What is counted beyond those.
OTHER = "other"

#: Bytes that frame a field line: a colon, a space and the line's end.
_FIELD_FRAME_BYTES = 4


class PeerTraffic:
    """Messages and bytes between this node and others."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        # Messages and bytes, by the labels of their series.
        self._counts: dict[tuple[str, str, str], list[int]] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Takes which nodes there are, to know where a host stands."""
        self._domains = {m.address.host: m.failure_domain for m in members}

    def domain_of(self, host: str) -> str | None:
        """Returns the failure domain of a node, if it is known."""
        return self._domains.get(host)

    def record_forward(
        self, member: Member, call: Call, request: Request
    ) -> None:
        """Counts the request of a forwarded attempt.

        Args:
          member: the node it goes to.
          call: whose attempt it is.
          request: as it is sent.
        """
        domain, cause = member.failure_domain, _cause(call)
        head_bytes = _head_bytes(request.headers)
        self._add(domain, f"{cause}-head", call.route, head_bytes)
        if request.body_bytes:
            body_bytes = request.body_bytes
            self._add(domain, f"{cause}-body", call.route, body_bytes)

    def record_answer(
        self, member: Member, call: Call, response: Response
    ) -> None:
        """Counts the answer to a forwarded attempt.

        Args:
          member: the node it comes from.
          call: whose attempt it answers.
          response: as it came.
        """
        domain = member.failure_domain
        head_bytes = _head_bytes(response.headers)
        self._add(domain, "answer-head", call.route, head_bytes)
        body_bytes = response.body_bytes or 0
        self._add(domain, "answer-body", call.route, body_bytes)

    def record_datagram(
        self, channel: Channel, peer: Address, size: int
    ) -> None:
        """Counts a datagram of `size` bytes that is sent to `peer`."""
        domain = self._domains.get(peer.host, OTHER)
        self._add(domain, f"datagram-{channel.name.lower()}", "", size)

    def record_control(self, peer: Address, name: str, size: int) -> None:
        """Counts a control message and its answer, `size` bytes together."""
        domain = self._domains.get(peer.host, OTHER)
        self._add(domain, f"control-{name}", "", size)

    def message_counts(self) -> dict[str, float]:
        """Returns how many there were, by the labels of a metric."""
        return {_labels(*key): n[0] for key, n in self._counts.items()}

    def byte_counts(self) -> dict[str, float]:
        """Returns how long they were in all (bytes), by the same labels."""
        return {_labels(*key): n[1] for key, n in self._counts.items()}

    def _add(self, domain: str, cause: str, route: str, size: int) -> None:
        key = (domain, cause, route)
        if key not in self._counts and len(self._counts) >= MAX_SERIES:
            key = (OTHER, OTHER, "")
        count = self._counts.setdefault(key, [0, 0])
        count[0] += 1
        count[1] += size


def _cause(call: Call) -> str:
    """Returns `first` for a call that nothing was tried for, else `again`.

    A hedge runs beside the first attempt and counts as one.
    """
    return "again" if call.steps else "first"


def _head_bytes(headers: Headers) -> int:
    size = sum(len(name) + len(value) for name, value in headers)
    return size + _FIELD_FRAME_BYTES * len(headers)


def _labels(domain: str, cause: str, route: str) -> str:
    return f'domain="{domain}",cause="{cause}",route="{route}"'
