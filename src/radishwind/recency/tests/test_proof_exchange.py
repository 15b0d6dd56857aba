"""Replies count from the time of the query, however late they arrive."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.recency import FreshnessProof
from radishwind.recency import messages
from radishwind.recency.proof_exchange import ProofExchange

A, B = Address("10.0.0.1", 7600), Address("10.0.0.2", 7600)
USEFUL_BELOW_S = 2.0


class Endpoint:
    """An exchange whose proof is set and whose datagrams are collected."""

    def __init__(self, seed):
        self.proof = None
        self.sent = []
        self.exchange = ProofExchange(
            rng=random.Random(seed),
            send=lambda data, to: self.sent.append((data, to)),
            newest=lambda: self.proof,
            useful_below_s=USEFUL_BELOW_S,
            query_lifetime_s=5.0,
        )


@pytest.fixture
def endpoints():
    return Endpoint(1), Endpoint(2)


def query(querier, other, queried_at, replied_at, received_at):
    """Returns the result of one query.

    Args:
      querier: endpoint that sends the query.
      other: endpoint that replies.
      queried_at: when the query is sent, by the clock of `querier` (s).
      replied_at: when `other` replies, by its own clock (s).
      received_at: when the reply arrives, by the clock of `querier` (s).
    """
    querier.exchange.query("b", B, queried_at)
    other.exchange.receive(querier.sent.pop()[0], A, replied_at)
    return querier.exchange.receive(other.sent.pop()[0], B, received_at)


def test_reply_counts_from_the_query(endpoints):
    querier, other = endpoints
    other.proof = FreshnessProof(1000.0, 7)

    name, proof = query(querier, other, 50.0, 1001.5, 50.01)

    assert (name, proof) == ("b", FreshnessProof(48.5, 7))


@pytest.mark.parametrize(
    ("replied_at", "received_at"),
    [(1005.5, 54.0), (1001.5, 54.0), (1005.5, 54.004)],
)
def test_delay_before_or_after_the_reply_does_not_extend_the_proof(
    endpoints, replied_at, received_at
):
    querier, other = endpoints
    other.proof = FreshnessProof(1000.0, 7)

    _, proof = query(querier, other, 50.0, replied_at, received_at)

    assert proof == FreshnessProof(50.0 - (replied_at - 1000.0), 7)


def test_age_in_a_reply_is_rounded_up():
    reply = messages.reply_to(
        messages.ProofQuery(1), FreshnessProof(10.0, 7), 10.0 + 0.0010001
    )

    assert reply.age_ms == 2


def test_reply_without_a_proof(endpoints):
    assert query(*endpoints, 50.0, 60.0, 50.0) == ("b", None)


@pytest.mark.parametrize("has_restarted", [False, True])
def test_reply_to_an_unknown_or_expired_query_is_ignored(
    endpoints, has_restarted
):
    querier, other = endpoints
    other.proof = FreshnessProof(1000.0, 7)
    querier.exchange.query("b", B, 50.0)
    other.exchange.receive(querier.sent.pop()[0], A, 1000.0)
    data = other.sent.pop()[0]

    if has_restarted:
        querier = Endpoint(3)
        querier.exchange.query("b", B, 51.0)
    else:
        # The query is too old to prove anything.
        querier.exchange.query("b", B, 55.0)

    assert querier.exchange.receive(data, B, 55.0) is None


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01", b"\x91\x07"])
def test_malformed_datagram_is_refused(endpoints, data):
    with pytest.raises(ValueError, match="expected"):
        endpoints[0].exchange.receive(data, B, 0.0)


def test_querier_is_answered_again_once_there_is_a_newer_proof(endpoints):
    querier, other = endpoints
    other.proof = FreshnessProof(1000.0, 7)
    _, proof = query(querier, other, 50.0, 1003.0, 50.0)
    assert proof == FreshnessProof(47.0, 7)

    other.proof = FreshnessProof(1003.1, 8)
    other.exchange.answer_waiting(1003.2)
    name, proof = querier.exchange.receive(other.sent.pop()[0], B, 50.3)

    assert (name, proof.version) == ("b", 8)
    assert proof.as_of == pytest.approx(49.9, abs=0.002)
    assert proof.as_of < 49.9
    other.exchange.answer_waiting(1003.3)
    assert not other.sent


def test_old_query_is_not_answered_again(endpoints):
    querier, other = endpoints
    query(querier, other, 50.0, 1000.0, 50.0)
    other.proof = FreshnessProof(1001.0, 7)

    other.exchange.answer_waiting(1000.0 + USEFUL_BELOW_S)

    assert not other.sent


def test_messages_are_small():
    query_data = messages.encode(messages.ProofQuery(2**62 - 1))
    reply = messages.ProofReply(2**62 - 1, 2**40, 4000)

    assert len(query_data) <= 12
    assert len(messages.encode(reply)) <= 24
    assert messages.decode(messages.encode(reply)) == reply
