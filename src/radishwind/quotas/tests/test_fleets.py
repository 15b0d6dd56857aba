"""Quotas are enforced over many nodes, and requests within them admitted."""

import itertools
import math

import pytest
from tests.support.quota_net import false_refusal_ratio
from tests.support.quota_net import power_law_accounts
from tests.support.quota_net import QuotaNetwork
from tests.support.quota_net import schedule_requests

from radishwind.accounts import Account

#: Request rate of a surging account over its usual rate, far above its quota.
SURGE_FACTOR = 10


def simulate(
    *,
    surging=0,
    factor=SURGE_FACTOR,
    cut=False,
    heal=True,
    homed=0,
    node_count=58,
):
    """Returns a network after 20 s of usual load with faults.

    Args:
      surging: number of accounts that surge for 6.5 s.
      factor: their request rate over the usual one.
      cut: whether a third of the nodes is cut off.
      heal: whether it is connected again after 5 s.
      homed: number of nodes that receive an account's requests; 0 for all.
      node_count: number of nodes.
    """
    accounts, rates = power_law_accounts()
    network = QuotaNetwork(accounts, node_count)
    names = list(network.nodes)
    homes = (
        {a: network.rng.sample(names, homed) for a in rates} if homed else {}
    )
    nodes_of = homes.get if homed else None
    schedule_requests(network, rates, network.now + 20, nodes_of)
    network.run_until(10)
    if surging:
        surge = {
            a.name: rates[a.name] * (factor - 1) for a in accounts[:surging]
        }
        schedule_requests(network, surge, network.now + 6.5, nodes_of)
    network.run_until(12)
    if cut:
        network.cut(names[::3])
    network.run_until(17)
    if cut and heal:
        network.heal()
    network.run_until(25)
    return network


def worst_ratio(network):
    return max(
        network.worst_ratio(account.name) for account in network.accounts
    )


def test_usual_load_is_hardly_refused():
    network = simulate()
    assert worst_ratio(network) < 1
    assert false_refusal_ratio(network) < 0.02


def test_usual_load_of_accounts_with_few_nodes_is_hardly_refused():
    network = simulate(homed=3)
    assert worst_ratio(network) < 1
    assert false_refusal_ratio(network) < 0.02


@pytest.mark.parametrize(("surging", "factor"), [(3, 5), (1, 10), (71, 10)])
@pytest.mark.parametrize("homed", [0, 3])
@pytest.mark.parametrize("cut", [False, True])
def test_bound_holds_for_surging_accounts(surging, factor, homed, cut):
    network = simulate(surging=surging, factor=factor, homed=homed, cut=cut)
    assert worst_ratio(network) <= 1


@pytest.mark.parametrize("heal", [False, True])
def test_bound_holds_with_a_third_of_the_nodes_cut_off(heal):
    assert worst_ratio(simulate(cut=True, heal=heal)) <= 1


def test_other_accounts_are_hardly_refused_during_a_surge():
    network = simulate(surging=1)
    del network.admitted["account-00"], network.refused["account-00"]
    assert false_refusal_ratio(network) < 0.02


def test_surging_account_gets_its_quota():
    network = simulate(surging=1)
    admitted = [t for t in network.admitted["account-00"] if 11 <= t < 16]
    assert len(admitted) >= 0.9 * 5 * network.limits["account-00"].rate_per_s


def overloaded_network(node_count=12, rate=40.0, **options):
    """Returns a network with one account, requested at 8 times its quota."""
    account = Account("hot", (), None, rate, rate)
    network = QuotaNetwork([account], node_count, **options)
    schedule_requests(network, {"hot": rate * 8}, network.now + 20)
    return network


def test_bound_holds_when_the_lender_restarts():
    network = overloaded_network()
    lender = network.nodes["n0000"].lender_map.lender_of("hot")
    network.run_until(8)
    network.kill(lender)
    network.run_until(13)
    network.start(lender)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1
    assert len([t for t in network.admitted["hot"] if t > 14]) > 0.8 * 40 * 11


def test_bound_holds_when_the_lender_is_paused():
    network = overloaded_network()
    lender = network.nodes["n0000"].lender_map.lender_of("hot")
    network.run_until(8)
    network.freeze(lender, 4.0)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1


def test_leased_tokens_expire_while_the_borrower_is_paused():
    network = overloaded_network()
    network.run_until(8)
    borrower = network.nodes["n0003"].borrower
    network.freeze("n0003", 4.0)
    network.run_until(11.9)
    assert not borrower._leases["hot"].available(network.now)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1


def test_bound_holds_when_all_nodes_restart():
    network = overloaded_network()
    network.run_until(8)
    for name in tuple(network.nodes):
        network.start(name)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1


@pytest.mark.parametrize("rate", [4.0, 40.0])
@pytest.mark.parametrize("discovery_s", [1.5, 2.5, 5.0])
@pytest.mark.parametrize("count", [1, 2, 4, 8, 12])
def test_bound_holds_when_nodes_discover_the_others_late(
    count, discovery_s, rate
):
    network = overloaded_network(rate=rate)
    network.run_until(8)
    for name in tuple(network.nodes)[:count]:
        network.start(name, discovery=(discovery_s, discovery_s))
    network.run_until(8 + discovery_s - 0.01)
    restarted = [network.nodes[name] for name in tuple(network.nodes)[:count]]
    assert not any(node.lender.tokens_lent for node in restarted)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1
    admitted = [t for t in network.admitted["hot"] if t > 8 + discovery_s + 3]
    assert len(admitted) > 0.8 * rate * (17 - discovery_s - 3)


@pytest.mark.parametrize("node_count", [12, 58])
def test_nodes_that_know_no_other_admit_nothing_of_a_small_account(node_count):
    network = overloaded_network(node_count=node_count, rate=0.1)
    for name in network.nodes:
        network.start(name, discovery=(4.0, 4.0))
    started_at = network.now
    for _ in range(3):
        assert not any(network.request(name, "hot") for name in network.nodes)
        network.run_until(network.now + 1.0)
    assert not [t for t in network.admitted["hot"] if t >= started_at]


def test_rolling_restart_keeps_the_bound_and_continues_to_lend():
    network = overloaded_network()
    for turn, name in enumerate(tuple(network.nodes)):
        network.run_until(6 + turn)
        network.start(name)
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1
    assert len(network.admitted["hot"]) > 0.6 * 40 * 20


def test_bound_holds_when_membership_views_differ():
    network = overloaded_network()
    network.run_until(8)
    names = list(network.nodes)
    for number, node in enumerate(network.nodes.values()):
        missing = names[number % 3 :: 3]
        live = [n for n in names if n not in missing or n == node.name]
        node.lender_map.update_members(live, len(names), network.now)
    network.run_until(20)
    assert network.worst_ratio("hot") <= 1


@pytest.mark.parametrize("loss", [0.05, 0.3])
def test_bound_holds_with_lost_and_duplicated_messages(loss):
    network = overloaded_network(
        loss=loss, duplication=0.2, delay=(0.0005, 0.4)
    )
    network.run_until(25)
    assert network.worst_ratio("hot") <= 1


def test_lower_limit_holds_a_window_after_it_is_in_force():
    network = overloaded_network()
    network.run_until(10)
    lower = Account("hot", (), None, 10.0, 10.0)
    for number, node in enumerate(network.nodes.values()):
        limits = network.limits_of([lower])
        network.at(
            10 + 0.2 * number, lambda n=node, m=limits: _set_limits(n, m)
        )
    network.run_until(25)
    late = [t for t in network.admitted["hot"] if t > 12.4 + 5]
    network.admitted["hot"] = late
    assert network.worst_ratio("hot", network.limits_of([lower])["hot"]) <= 1


def test_higher_limit_admits_more():
    network = overloaded_network()
    network.run_until(10)
    higher = Account("hot", (), None, 100.0, 100.0)
    for node in network.nodes.values():
        _set_limits(node, network.limits_of([higher]))
    network.run_until(25)
    late = [t for t in network.admitted["hot"] if t > 15]
    assert len(late) > 0.9 * 100 * 10


def test_account_whose_quota_is_removed_is_admitted():
    network = overloaded_network()
    network.run_until(10)
    for node in network.nodes.values():
        _set_limits(node, {})
    network.run_until(12)
    network.refused.clear()
    network.run_until(14)
    assert not network.refused["hot"]
    assert all(not node.lender.account_count for node in network.nodes.values())


def test_no_tokens_are_requested_after_a_quota_is_removed():
    network = overloaded_network()
    other = Account("calm", (), None, 40.0, 40.0)
    network.run_until(10)
    assert any(node.borrower.account_count for node in network.nodes.values())
    for node in network.nodes.values():
        _set_limits(node, network.limits_of([other]))
    network.run_until(11)
    assert not any(
        node.borrower.account_count for node in network.nodes.values()
    )
    sent = network.sent
    network.run_until(60)
    assert network.sent == sent


def test_account_with_a_quarter_of_all_requests_is_hardly_refused():
    accounts = [Account("big", (), None, 160.0, 160.0)]
    accounts += [Account(f"s{i}", (), None, 4.0, 4.0) for i in range(60)]
    network = QuotaNetwork(accounts, 58)
    rates = {a.name: a.rate_per_s / 1.6 for a in accounts}
    schedule_requests(network, rates, network.now + 15)
    network.run_until(20)
    assert worst_ratio(network) <= 1
    assert false_refusal_ratio(network) < 0.02


def test_accounts_without_a_quota_cause_no_messages():
    network = QuotaNetwork([Account("free", ())], 12)
    schedule_requests(network, {"free": 100.0}, network.now + 5)
    network.run_until(10)
    assert not network.refused["free"]
    assert not network.sent
    assert not any(
        node.borrower.account_count for node in network.nodes.values()
    )


def test_state_of_idle_accounts_is_removed():
    accounts, rates = power_law_accounts()
    network = QuotaNetwork(accounts, 12)
    schedule_requests(network, rates, network.now + 3)
    network.run_until(7)
    assert any(node.borrower.account_count for node in network.nodes.values())
    network.run_until(60)
    assert not any(
        node.borrower.account_count for node in network.nodes.values()
    )
    assert not any(node.lender.account_count for node in network.nodes.values())
    sent = network.sent
    network.run_until(70)
    assert network.sent == sent


def test_retry_times_are_spread():
    network = QuotaNetwork([Account("a", (), None, 2.0, 2.0)], 1)
    admit = network.nodes["n0000"].borrower.admit
    delays_s = [admit("a", network.now) for _ in range(60)]
    retries_s = [w for w in delays_s if w is not None]
    assert len(retries_s) > 30
    assert all(0 < w <= 5.0 * 1.3 for w in retries_s)
    for second in range(6):
        within = [w for w in retries_s if second <= w < second + 1]
        assert len(within) < len(retries_s) / 2
    assert not any(math.isclose(a, b) for a, b in itertools.pairwise(retries_s))


def _set_limits(node, limits):
    node.limits = limits
