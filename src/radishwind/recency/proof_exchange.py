"""Queries other nodes for freshness proofs, and answers their queries."""

from collections.abc import Callable
import random

from radishwind.http.types import Address
from radishwind.recency.messages import decode
from radishwind.recency.messages import encode
from radishwind.recency.messages import ProofQuery
from radishwind.recency.messages import ProofReply
from radishwind.recency.messages import reply_to
from radishwind.recency.model import FreshnessProof

#: Maximum number of nodes that got no useful proof and are answered again once
#: there is one.
_MAX_WAITING = 256

_QUERY_ID_BITS = 62


class ProofExchange:
    """Matches replies to queries, and answers the queries of other nodes.

    Attributes:
      queries_sent: queries sent.
      proofs_received: replies to own queries that contained a proof.
      proofs_served: replies sent that contained a proof.
    """

    def __init__(
        self,
        *,
        rng: random.Random,
        send: Callable[[bytes, Address], None],
        newest: Callable[[], FreshnessProof | None],
        useful_below_s: float,
        query_lifetime_s: float,
    ) -> None:
        """Creates the exchange of a node.

        Args:
          rng: random source of query ids. They must be unpredictable, so that
            replies are ignored that belong to an earlier start of this node or
            come from a node that never saw the query.
          send: sends a datagram.
          newest: returns the newest proof that this node knows.
          useful_below_s: a proof older than this (s) does not help for long;
            the node that asked is answered again once there is a newer one.
          query_lifetime_s: how long replies to a query are accepted (s).
        """
        self._rng = rng
        self._send = send
        self._newest = newest
        self._useful_below_s = useful_below_s
        self._query_lifetime_s = query_lifetime_s
        # By query id: when the query was sent (monotonic, s), and the name of
        # the node queried.
        self._queries: dict[int, tuple[float, str]] = {}
        # By address: a query that got no useful proof, and until when to answer
        # it again (monotonic, s).
        self._waiting: dict[Address, tuple[ProofQuery, float]] = {}
        self.queries_sent = 0
        self.proofs_received = 0
        self.proofs_served = 0

    def query(self, name: str, address: Address, now: float) -> None:
        """Queries the node `name` at `address`; its reply counts from `now`."""
        self._remove_expired(now)
        query_id = self._rng.getrandbits(_QUERY_ID_BITS)
        self._queries[query_id] = (now, name)
        self.queries_sent += 1
        self._send(encode(ProofQuery(query_id)), address)

    def receive(
        self, data: bytes, sender: Address, now: float
    ) -> tuple[str, FreshnessProof | None] | None:
        """Handles a datagram; answers it if it is a query.

        Returns:
          The name of the node that replied to a query of this node, and the
          proof in the reply if any; `None` if it is no such reply.

        Raises:
          ValueError: the datagram is malformed.
        """
        message = decode(data)
        if message is None:
            raise ValueError("expected a proof query or reply")
        if isinstance(message, ProofQuery):
            self._handle_query(message, sender, now)
            return None
        return self._handle_reply(message)

    def answer_waiting(self, now: float) -> None:
        """Answers the nodes that got no useful proof; there is a newer one."""
        proof = self._newest()
        if proof is None or now - proof.as_of >= self._useful_below_s:
            return
        waiting, self._waiting = self._waiting, {}
        for address, (query, until) in waiting.items():
            if now < until:
                self._reply(query, address, now)

    def _handle_query(
        self, query: ProofQuery, sender: Address, now: float
    ) -> None:
        proof = self._newest()
        if proof is None or now - proof.as_of >= self._useful_below_s:
            if len(self._waiting) >= _MAX_WAITING:
                self._waiting.clear()
            self._waiting[sender] = (query, now + self._useful_below_s)
        self._reply(query, sender, now)

    def _reply(self, query: ProofQuery, to: Address, now: float) -> None:
        proof = self._newest()
        self.proofs_served += proof is not None
        self._send(encode(reply_to(query, proof, now)), to)

    def _handle_reply(
        self, reply: ProofReply
    ) -> tuple[str, FreshnessProof | None] | None:
        query = self._queries.get(reply.query_id)
        if query is None:
            # The query has expired, or an earlier start of this node sent it.
            return None
        queried_at, name = query
        proof = reply.to_proof(queried_at)
        self.proofs_received += proof is not None
        return name, proof

    def _remove_expired(self, now: float) -> None:
        """Removes queries whose replies would contain no useful proof."""
        for query_id, (queried_at, _) in list(self._queries.items()):
            if now - queried_at < self._query_lifetime_s:
                break
            del self._queries[query_id]
