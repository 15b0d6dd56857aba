"""Counts the traffic between nodes, by failure domain, cause and route.

Each message is counted by the node that sends it, except for responses, which
are counted by the node that sent the request. The sums over all nodes therefore
count nothing twice. A head counts as the length of its header fields, a body as
its declared length.
"""

from collections.abc import Iterable

from radishwind.entry.call import Call
from radishwind.http.types import Address
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response
from radishwind.membership.directory import Member
from radishwind.peers.peer_socket import Channel

#: Maximum number of series; further ones are counted together as `OTHER`.
MAX_SERIES = 256

#: Label of unknown failure domains and of the series beyond `MAX_SERIES`.
OTHER = "other"

#: Bytes that frame a header field: colon, space and line end.
_FIELD_FRAME_BYTES = 4


class PeerTraffic:
    """Counts messages and bytes between this node and others."""

    def __init__(self) -> None:
        self._domains: dict[str, str] = {}
        # Number of messages and bytes by domain, cause and route.
        self._counts: dict[tuple[str, str, str], list[int]] = {}

    def set_members(self, members: Iterable[Member]) -> None:
        """Sets the known members, whose hosts map to failure domains."""
        self._domains = {m.address.host: m.failure_domain for m in members}

    def domain_of(self, host: str) -> str | None:
        """Returns the failure domain of the node at `host`, if known."""
        return self._domains.get(host)

    def record_forward(
        self, member: Member, call: Call, request: Request
    ) -> None:
        """Counts the request of a forwarded attempt.

        Args:
          member: the node that it is sent to.
          call: the call that the attempt belongs to.
          request: the request as sent.
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
        """Counts the response to a forwarded attempt.

        Args:
          member: the node that it was received from.
          call: the call that the attempt belongs to.
          response: the response as received.
        """
        domain = member.failure_domain
        head_bytes = _head_bytes(response.headers)
        self._add(domain, "answer-head", call.route, head_bytes)
        body_bytes = response.body_bytes or 0
        self._add(domain, "answer-body", call.route, body_bytes)

    def record_datagram(
        self, channel: Channel, peer: Address, size: int
    ) -> None:
        """Counts a datagram of `size` bytes sent to `peer`."""
        domain = self._domains.get(peer.host, OTHER)
        self._add(domain, f"datagram-{channel.name.lower()}", "", size)

    def record_control(self, peer: Address, name: str, size: int) -> None:
        """Counts a control message and its response, `size` bytes in total."""
        domain = self._domains.get(peer.host, OTHER)
        self._add(domain, f"control-{name}", "", size)

    def message_counts(self) -> dict[str, float]:
        """Returns the number of messages, by metric labels."""
        return {_labels(*key): n[0] for key, n in self._counts.items()}

    def byte_counts(self) -> dict[str, float]:
        """Returns the total size of the messages (bytes), by metric labels."""
        return {_labels(*key): n[1] for key, n in self._counts.items()}

    def _add(self, domain: str, cause: str, route: str, size: int) -> None:
        key = (domain, cause, route)
        if key not in self._counts and len(self._counts) >= MAX_SERIES:
            key = (OTHER, OTHER, "")
        count = self._counts.setdefault(key, [0, 0])
        count[0] += 1
        count[1] += size


def _cause(call: Call) -> str:
    """Returns `first` for the first attempt of a call, `again` for a retry.

    A hedge runs concurrently with the first attempt and counts as `first`.
    """
    return "again" if call.steps else "first"


def _head_bytes(headers: Headers) -> int:
    size = sum(len(name) + len(value) for name, value in headers)
    return size + _FIELD_FRAME_BYTES * len(headers)


def _labels(domain: str, cause: str, route: str) -> str:
    return f'domain="{domain}",cause="{cause}",route="{route}"'
