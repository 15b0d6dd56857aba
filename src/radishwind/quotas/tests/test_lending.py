"""What a lender counts, and what a borrower may let in."""

import random

import pytest
from tests.support.quota_net import BOUNDS
from tests.support.quota_net import Net

from radishwind.accounts import Account
from radishwind.core import ManualClock
from radishwind.quotas import Borrower
from radishwind.quotas import Lender
from radishwind.quotas import LenderMap
from radishwind.quotas import QuotaBounds
from radishwind.quotas import QuotaLimit
from radishwind.quotas.counts import AccountCounts
from radishwind.quotas.counts import REST
from radishwind.quotas.lender import SETTLES_S
from radishwind.quotas.messages import decode
from radishwind.quotas.messages import encode
from radishwind.quotas.messages import LeaseGrant
from radishwind.quotas.messages import LeaseGrantItem
from radishwind.quotas.messages import LeaseRequest
from radishwind.quotas.messages import LeaseRequestItem
from radishwind.quotas.messages import ShortageNotice
from radishwind.quotas.messages import split_into_datagrams

ACCOUNT = Account("a", (), None, 10.0, 10.0)
LIMIT = QuotaLimit.for_account(ACCOUNT, BOUNDS)
LIMITS = {"a": LIMIT}


def item(spent=0, *, want=0, known=0, returned=0, session=1, gives_up=False):
    return LeaseRequestItem(
        "a", session, spent, returned, known, 0, want, gives_up
    )


class Lending:
    """A lender that is ready, and a borrower elsewhere as the test plays it."""

    def __init__(self):
        self.clock = ManualClock()
        self.lender_map = LenderMap("own", 0.0, lambda: True)
        self.lender = Lender(self.lender_map, LIMITS.get, self.clock)
        for _ in range(40):
            self.pass_s(0.25)

    def pass_s(self, seconds):
        self.clock.advance(seconds)
        self.lender.tick(self.clock.monotonic())

    def ask(self, order, *items, node="b", start=1):
        ask = LeaseRequest(node, start, order, 0.0, items)
        return self.lender.handle_request(ask, self.clock.monotonic())

    def grant(self, order, *items, **who):
        return self.ask(order, *items, **who)[0].items[0]


def test_what_is_lent_is_not_lent_twice():
    lending = Lending()
    held = 0
    for number in range(200):
        held += lending.grant(1, item(want=3), node=f"n{number}").limit
    assert held == int(LIMIT.depth)


def test_what_is_given_up_is_lent_again():
    lending = Lending()
    given = lending.grant(1, item(want=5)).limit
    assert given
    lending.ask(2, item(gives_up=True))
    others = [
        lending.grant(1, item(want=3), node=f"n{n}").limit for n in range(99)
    ]
    assert sum(others) == int(LIMIT.depth)


def test_whoever_says_nothing_is_taken_to_have_used_it():
    lending = Lending()
    given = lending.grant(1, item(want=5)).limit
    lending.pass_s(0.9)
    lending.pass_s(0.2)
    held = [
        lending.grant(1, item(want=9), node=f"n{n}").limit for n in range(99)
    ]
    assert sum(held) == int(LIMIT.depth - given + 0.2 * LIMIT.rate_per_s)


def test_a_repeated_or_late_question_charges_nothing_and_is_not_answered():
    lending = Lending()
    lending.ask(2, item(spent=5))
    assert not lending.ask(2, item(spent=5))[0].items
    assert not lending.ask(1, item(spent=3))[0].items
    assert lending.grant(3, item(spent=5)).spent == 5


def test_what_another_lender_confirmed_is_not_charged():
    lending = Lending()
    lending.ask(1, item(spent=50, known=48))
    total = lending.grant(1, item(want=99), node="c").limit
    assert total == int(0.2 * (LIMIT.depth - 2))


def test_a_request_that_did_not_run_is_counted_back():
    lending = Lending()
    lending.ask(1, item(spent=20))
    before = lending.grant(1, item(want=99), node="c").limit
    assert not before
    lending.ask(2, item(spent=20, returned=20))
    assert lending.grant(2, item(want=99), node="c").limit


def test_all_nodes_hear_that_an_account_is_short_and_has_room_again():
    lending = Lending()
    _, told = lending.ask(1, item(spent=int(LIMIT.depth)))
    assert [(s.accounts, s.is_over) for s in told] == [(("a",), False)]
    heard = []
    for _ in range(40):
        lending.clock.advance(0.25)
        heard += lending.lender.tick(lending.clock.monotonic())
    assert [s.is_over for s in heard][-1]


def test_a_node_that_just_started_answers_nothing_yet():
    clock = ManualClock()
    lender = Lender(LenderMap("own", 0.0, lambda: True), LIMITS.get, clock)
    clock.advance(SETTLES_S - 0.01)
    ask = LeaseRequest("b", 1, 1, 0.0, (item(want=1),))
    assert not lender.handle_request(ask, clock.monotonic())[0].items


def test_a_node_that_knows_only_itself_lends_nothing_before_it_is_sure():
    clock, alone = ManualClock(), []
    lender_map = LenderMap("own", 0.0, lambda: bool(alone))
    lender = Lender(lender_map, LIMITS.get, clock)

    def lent(order):
        ask = LeaseRequest("b", 1, order, 0.0, (item(want=99),))
        return [
            g.limit
            for g in lender.handle_request(ask, clock.monotonic())[0].items
        ]

    for _ in range(40):
        clock.advance(0.25)
        lender.tick(clock.monotonic())
    assert not lent(1)
    alone.append(True)
    lender.tick(clock.monotonic())
    clock.advance(SETTLES_S - 0.01)
    assert not lent(2)
    clock.advance(0.02)
    assert 0 < sum(lent(3)) <= LIMIT.opening + 0.02 * LIMIT.rate_per_s


def test_who_heard_of_another_is_sure_also_after_it_is_lost():
    lender_map = LenderMap("own", 0.0, lambda: False)
    assert lender_map.discovered_at(1.0) is None
    lender_map.update_members(["own", "far"], 2, 2.0)
    lender_map.update_members(["own"], 1, 3.0)
    assert lender_map.discovered_at(4.0) == 2.0


def test_a_node_that_knows_only_itself_lets_in_none_unasked():
    alone = []
    lender_map = LenderMap("own", 0.0, lambda: bool(alone))
    borrower = Borrower(
        lender_map,
        LIMITS.get,
        random.Random(1),
        lambda ask: LeaseGrant("own", ask.start, ask.order, ask.sent_at, ()),
        lambda: None,
    )
    assert borrower.admit("a", 10.0) is not None
    alone.append(True)
    assert borrower.admit("a", 11.0) is None


def test_an_account_that_is_lent_elsewhere_is_not_answered():
    lending = Lending()
    now = lending.clock.monotonic()
    lending.lender_map.update_members(["other"], 2, now)
    assert not lending.ask(1, item(want=1))[0].items


def test_a_side_of_a_cut_lends_by_its_size():
    lending = Lending()
    now = lending.clock.monotonic()
    lending.grant(1, item())
    lending.lender_map.update_members(["own"], 4, now)
    held = [
        lending.grant(1, item(want=9), node=f"n{n}").limit for n in range(99)
    ]
    assert sum(held) == int(LIMIT.depth / 4)


class Borrowing:
    """A borrower, and the lender elsewhere as the test plays it."""

    def __init__(self, known=2, limits=None):
        self.lender_map = LenderMap("own", 0.0, lambda: True)
        self.lender_map.update_members(["far"], known, 0.0)
        self.now = 10.0
        self.borrower = Borrower(
            self.lender_map,
            (limits or LIMITS).get,
            random.Random(1),
            lambda ask: pytest.fail("nobody lends here"),
            lambda: None,
        )

    def take(self):
        return self.borrower.admit("a", self.now)

    def asked(self):
        ((lender, ask),) = self.borrower.pop_requests(self.now)
        assert lender == "far"
        return ask

    def answer(self, ask, limit=0, *, calm=True, node="far"):
        asked = ask.items[0]
        items = (_granted(asked, limit, calm),)
        grant = LeaseGrant(node, ask.start, ask.order, ask.sent_at, items)
        self.borrower.handle_grant(grant, self.now)


def _granted(asked, limit, calm):
    return LeaseGrantItem(
        "a", asked.session, asked.spent, asked.returned, limit, calm, 1
    )


def test_one_is_let_in_unasked_and_no_other_before_the_lender_knows():
    node = Borrowing()
    assert node.take() is None
    assert node.take() is not None
    node.answer(node.asked())
    assert node.take() is None


def test_none_is_let_in_unasked_while_the_account_is_short():
    node = Borrowing()
    node.borrower.handle_shortage(ShortageNotice("far", ("a",)), node.now)
    assert node.take() is not None
    node.borrower.handle_shortage(ShortageNotice("far", ("a",), True), node.now)
    assert node.take() is None


def test_only_the_lender_is_believed_that_an_account_is_short():
    node = Borrowing()
    node.borrower.handle_shortage(ShortageNotice("other", ("a",)), node.now)
    assert node.take() is None


def test_what_was_lent_is_let_in_until_its_lease_is_over():
    node = Borrowing()
    node.take()
    node.answer(node.asked(), limit=4, calm=False)
    assert node.take() is None
    node.now += 1.01
    assert node.take() is not None


def test_an_answer_that_lay_in_a_buffer_lends_nothing():
    node = Borrowing()
    node.take()
    ask = node.asked()
    node.now += 4.0
    node.answer(ask, limit=9, calm=False)
    assert node.take() is not None


def test_an_answer_of_one_who_does_not_lend_counts_nothing():
    node = Borrowing()
    node.take()
    node.answer(node.asked(), limit=9, calm=False, node="other")
    assert node.take() is not None


def test_a_refusal_is_never_counted():
    node = Borrowing()
    node.take()
    for _ in range(20):
        node.take()
    assert node.asked().items[0].spent == 1


def test_what_did_not_run_is_told_but_not_when_it_comes_late():
    node = Borrowing()
    node.take()
    node.borrower.refund("a", node.now, node.now + 0.01)
    node.borrower.refund("a", node.now, node.now + 0.02)
    assert node.asked().items[0].returned == 1
    other = Borrowing()
    other.take()
    late = other.now + LIMIT.taken_back_s + 0.01
    other.borrower.refund("a", other.now, late)
    assert not other.asked().items[0].returned


def test_out_of_touch_with_many_nodes_nothing_is_let_in_unasked():
    node = Borrowing(known=500)
    assert node.take() is None
    node.asked()
    node.now += 0.5
    node.borrower.tick(node.now)
    node.borrower._loans["a"].confirmed = True
    assert node.take() is not None


def test_without_tolerance_nothing_is_let_in_unasked():
    limits = {"a": QuotaLimit.for_account(ACCOUNT, QuotaBounds(5.0, 0.0, 0.0))}
    assert Borrowing(limits=limits).take() is not None


def test_a_refusal_tells_what_decided():
    node = Borrowing()
    node.take()
    assert node.take() is not None
    told = node.borrower.describe("a")
    assert "quota=10/s" in told
    assert "most=86/5s" in told
    assert told.startswith("far ")


def test_the_parts_of_the_tolerance_are_no_more_than_the_whole():
    for rate in (0.1, 1.0, 60.0, 900.0):
        account = Account("a", (), None, rate, rate)
        limit = QuotaLimit.for_account(account, BOUNDS)
        quota = rate * 5 + rate
        spent = limit.depth - rate + limit.opening + limit.unasked
        spent += rate * limit.taken_back_s
        assert spent <= limit.max_per_window - quota + 1e-9


def test_messages_fit_a_datagram_and_come_back_as_they_were():
    items = [
        LeaseRequestItem(f"account-{n:0200}", 2**40, n, n, n, n, n, True)
        for n in range(60)
    ]
    groups = list(split_into_datagrams(items))
    assert [i for group in groups for i in group] == items
    for group in groups:
        ask = LeaseRequest("n" * 64, 2**48, 2**40, 1e9 + 0.1, group)
        data = encode(ask)
        assert len(data) < 1_399
        assert decode(data) == ask
    assert decode(b"\x93\x01") is None


def test_counts_name_the_largest_accounts_only():
    counts = AccountCounts()
    for number in range(100):
        for _ in range(number + 1):
            counts.admitted(f"a{number}")
    told = counts.by_outcome()
    assert len(told) == 17
    assert told["a99", "admitted"] == 100
    assert sum(told.values()) == 5050
    assert told[REST, "admitted"] == sum(range(1, 85))


def test_hot_accounts_are_logged_once_and_once_when_they_are_back():
    net = Net([ACCOUNT], 3)
    lines = []
    for node in net.nodes.values():
        node.lender._log._write = lambda *line: lines.append(line[1])
    for step in range(300):
        net.run_until(5.0 + step / 100)
        net.ask("n0001", "a")
    net.run_until(20)
    assert lines == [
        "Account a is over its quota.",
        "Account a has room again.",
    ]
