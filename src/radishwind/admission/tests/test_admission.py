"""Tests of slots, the queue and fair queueing, without I/O or a clock."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.admission import AdmissionLimits
from radishwind.admission import fair_admission
from radishwind.admission import FairAdmission
from radishwind.admission import FifoAdmission
from radishwind.admission import Ticket
from radishwind.core import ResultCode


def limits(slots=1, max_queued=8, max_wait_s=10.0, overcommit=0, **weights):
    return AdmissionLimits(
        slots, 100, overcommit, max_queued, max_wait_s, weights
    )


class Driver:
    """Offers and releases tickets at the given times."""

    def __init__(self, cls, cfg):
        self.admission = cls(cfg)
        self.decided = []

    def offer(self, caller="a", now=0.0, deadline=100.0, must_run_alone=False):
        ticket = Ticket(caller, deadline, now, lambda: None, must_run_alone)
        ticket.on_decided = lambda: self.decided.append(ticket)
        self.admission.offer(ticket, now)
        return ticket

    def serve(self, tickets, now, service_s=1.0):
        """Releases the admitted ticket until none is left.

        Returns:
          The callers in the order in which their tickets were admitted.
        """
        order = []
        while running := [
            t for t in tickets if t.is_admitted and not t.is_released
        ]:
            order.append(running[0].caller)
            now += service_s
            self.admission.release(running[0], now, service_s)
        return order


@pytest.mark.parametrize("cls", [FifoAdmission, FairAdmission])
class TestEveryPolicy:
    def test_released_slot_is_given_to_queued_ticket(self, cls):
        driver = Driver(cls, limits())
        first, second = driver.offer(), driver.offer()
        assert (first.is_admitted, second.is_admitted) == (True, False)

        driver.admission.release(first, 1.0, 1.0)

        assert second.is_admitted
        assert driver.decided == [second]

    def test_ticket_that_would_start_too_late_is_refused_at_once(self, cls):
        driver = Driver(cls, limits())
        driver.admission.release(driver.offer(), 2.0, 2.0)
        driver.offer(now=2.0)
        waiting = driver.offer(now=2.0, deadline=8.5)
        late = driver.offer(now=2.0, deadline=8.5)

        assert waiting.refusal is None
        assert late.refusal.code is ResultCode.OVERLOADED
        assert late.refusal.retry_after_s == pytest.approx(4.0)

    def test_expired_ticket_is_refused_and_releases_no_slot(self, cls):
        driver = Driver(cls, limits(max_wait_s=0.5))
        running, waiting = driver.offer(), driver.offer()
        driver.admission.expire(0.5)
        driver.admission.release(waiting, 0.6, 0.0)
        driver.admission.release(running, 0.7, 0.7)

        assert waiting.refusal is not None
        assert (driver.admission.in_flight, driver.admission.queued) == (0, 0)

    def test_one_connection_is_left_free(self, cls):
        driver = Driver(cls, AdmissionLimits(9, 3, 2, 8, 1.0))
        admitted = [driver.offer().is_admitted for _ in range(3)]
        assert admitted == [True, True, False]

    def test_without_slots_no_ticket_is_queued(self, cls):
        assert Driver(cls, limits(slots=0)).offer().refusal is not None

    def test_overcommit_pauses_after_server_sheds(self, cls):
        driver = Driver(cls, AdmissionLimits(1, 100, 1, 8, 100.0))
        tickets = [driver.offer() for _ in range(4)]
        assert [t.is_admitted for t in tickets] == [True, True, False, False]

        driver.admission.record_shed(0.0)
        driver.admission.release(tickets[1], 0.0, 0.0)
        assert not tickets[2].is_admitted
        driver.admission.expire(60.0)
        assert tickets[2].is_admitted

    def test_ticket_that_must_run_alone_shares_no_time(self, cls):
        driver = Driver(cls, limits(slots=3))
        before = driver.offer()
        alone = driver.offer(now=1.0, must_run_alone=True)
        after = driver.offer(now=1.0)
        assert (alone.is_admitted, after.is_admitted) == (False, False)

        driver.admission.release(before, 2.0, 2.0)
        assert (alone.is_admitted, after.is_admitted) == (True, False)

        driver.admission.release(alone, 3.0, 1.0)
        assert after.is_admitted

    def test_series_of_lone_tickets_leaves_time_to_others(self, cls):
        driver = Driver(cls, limits(slots=2))
        lone_tickets = [driver.offer(must_run_alone=True) for _ in range(3)]
        other = driver.offer()
        driver.admission.release(lone_tickets[0], 1.0, 1.0)

        assert other.is_admitted
        assert not lone_tickets[1].is_admitted
        driver.admission.expire(2.0)
        driver.admission.release(other, 2.5, 1.5)
        assert lone_tickets[1].is_admitted


def test_greedy_caller_does_not_starve_modest_one():
    driver = Driver(FairAdmission, limits(max_queued=64, max_wait_s=99.0))
    tickets = [driver.offer("greedy") for _ in range(20)]
    tickets += [driver.offer("modest") for _ in range(3)]

    order = driver.serve(tickets, 0.0)

    assert max(i for i, c in enumerate(order) if c == "modest") <= 6


def test_slot_time_is_shared_by_weight():
    driver = Driver(
        FairAdmission, limits(max_queued=64, max_wait_s=99.0, big=3.0)
    )
    tickets = [driver.offer(c) for c in ("small", "big") * 20]

    order = driver.serve(tickets, 0.0)

    assert 13 <= order[:20].count("big") <= 16


def test_full_queue_evicts_ticket_of_greedy_caller():
    driver = Driver(FairAdmission, limits(max_queued=4))
    greedy = [driver.offer("greedy") for _ in range(6)]
    modest = driver.offer("modest")

    assert greedy[5].refusal is not None
    assert greedy[4].refusal is not None
    assert driver.decided == [greedy[4]]
    assert modest.refusal is None
    assert driver.admission.queued == 4


def test_number_of_tracked_callers_is_bounded():
    driver = Driver(FairAdmission, limits(slots=2000))
    for number in range(1500):
        driver.offer(f"caller-{number}")

    max_flows = fair_admission.MAX_CALLERS + fair_admission.SHARED_FLOWS
    assert driver.admission.callers <= max_flows


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "alone", "end", "resize", "shed"]),
        st.integers(0, 30),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


@pytest.mark.parametrize("cls", [FifoAdmission, FairAdmission])
@given(steps=STEPS, overcommit=st.integers(0, 2))
def test_no_order_of_events_leaks_a_slot(cls, steps, overcommit):
    cfg = limits(slots=2, max_queued=3, max_wait_s=4.0, overcommit=overcommit)
    driver = Driver(cls, cfg)
    now, tickets = 0.0, []
    for kind, number, pause_s in steps:
        now += pause_s
        if kind in ("offer", "alone"):
            caller = f"caller-{number % 3}"
            tickets.append(driver.offer(caller, now, now + 5, kind == "alone"))
        elif kind == "resize":
            cfg = limits(
                slots=1 + number % 3, max_queued=3, overcommit=overcommit
            )
            driver.admission.set_limits(cfg)
        elif kind == "shed":
            driver.admission.record_shed(now)
        elif tickets:
            ticket = tickets[number % len(tickets)]
            driver.admission.release(ticket, now, pause_s)
        running = [t for t in tickets if t.is_admitted and not t.is_released]
        assert driver.admission.in_flight == len(running)
        assert len(running) <= 3 + overcommit
        assert sum(t.must_run_alone for t in running) in (0, len(running) == 1)

    for _ in range(2):
        for ticket in tickets:
            driver.admission.release(ticket, now, 0.1)
    assert (driver.admission.in_flight, driver.admission.queued) == (0, 0)
    assert driver.offer(now=now).is_admitted
