"""Answers prove something as of the question, however late they come."""

import random

import pytest

from radishwind.http.types import Address
from radishwind.recency import FreshnessProof
from radishwind.recency import messages
from radishwind.recency.exchange import Exchange

A, B = Address("10.0.0.1", 7600), Address("10.0.0.2", 7600)
HELPS_S = 2.0


class End:
    def __init__(self, seed):
        self.proof = None
        self.sent = []
        self.exchange = Exchange(
            rng=random.Random(seed),
            send=lambda data, to: self.sent.append((data, to)),
            newest=lambda: self.proof,
            helps_below_s=HELPS_S,
            kept_s=5.0,
        )


@pytest.fixture
def ends():
    return End(1), End(2)


def answered(asker, other, asked_at, at, back_at):
    """Returns what an exchange brings; the other's clock reads `at`."""
    asker.exchange.ask("b", B, asked_at)
    other.exchange.received(asker.sent.pop()[0], A, at)
    return asker.exchange.received(other.sent.pop()[0], B, back_at)


def test_an_answer_counts_from_the_question(ends):
    asker, other = ends
    other.proof = FreshnessProof(1000.0, 7)

    name, proof = answered(asker, other, 50.0, 1001.5, 50.01)

    assert (name, proof) == ("b", FreshnessProof(48.5, 7))


@pytest.mark.parametrize(
    ("at", "back_at"), [(1005.5, 54.0), (1001.5, 54.0), (1005.5, 54.004)]
)
def test_a_freeze_before_or_after_the_answer_proves_no_more(ends, at, back_at):
    asker, other = ends
    other.proof = FreshnessProof(1000.0, 7)

    _, proof = answered(asker, other, 50.0, at, back_at)

    assert proof == FreshnessProof(50.0 - (at - 1000.0), 7)


def test_the_age_is_never_told_younger_than_it_is():
    answer = messages.answer_to(
        messages.Question(1), FreshnessProof(10.0, 7), 10.0 + 0.0010001
    )

    assert answer.age_ms == 2


def test_who_knows_nothing_says_so(ends):
    assert answered(*ends, 50.0, 60.0, 50.0) == ("b", None)


@pytest.mark.parametrize("other_start", [False, True])
def test_an_answer_to_no_question_of_this_start_proves_nothing(
    ends, other_start
):
    asker, other = ends
    other.proof = FreshnessProof(1000.0, 7)
    asker.exchange.ask("b", B, 50.0)
    other.exchange.received(asker.sent.pop()[0], A, 1000.0)
    data = other.sent.pop()[0]

    if other_start:
        asker = End(3)
        asker.exchange.ask("b", B, 51.0)
    else:
        # The question is too old to prove anything.
        asker.exchange.ask("b", B, 55.0)

    assert asker.exchange.received(data, B, 55.0) is None


@pytest.mark.parametrize("data", [b"", b"\xc1", b"\x93\x01", b"\x91\x07"])
def test_what_cannot_be_read_is_refused(ends, data):
    with pytest.raises(ValueError, match="expected"):
        ends[0].exchange.received(data, B, 0.0)


def test_who_asked_in_vain_is_answered_again_when_there_is_better(ends):
    asker, other = ends
    other.proof = FreshnessProof(1000.0, 7)
    _, proof = answered(asker, other, 50.0, 1003.0, 50.0)
    assert proof == FreshnessProof(47.0, 7)

    other.proof = FreshnessProof(1003.1, 8)
    other.exchange.improved(1003.2)
    name, proof = asker.exchange.received(other.sent.pop()[0], B, 50.3)

    assert (name, proof.version) == ("b", 8)
    assert proof.as_of == pytest.approx(49.9, abs=0.002)
    assert proof.as_of < 49.9
    other.exchange.improved(1003.3)
    assert not other.sent


def test_a_question_asked_long_ago_isnt_answered_again(ends):
    asker, other = ends
    answered(asker, other, 50.0, 1000.0, 50.0)
    other.proof = FreshnessProof(1001.0, 7)

    other.exchange.improved(1000.0 + HELPS_S)

    assert not other.sent


def test_a_message_is_small():
    question = messages.encode(messages.Question(2**62 - 1))
    answer = messages.Answer(2**62 - 1, 2**40, 4000)

    assert len(question) <= 12
    assert len(messages.encode(answer)) <= 24
    assert messages.decode(messages.encode(answer)) == answer
