"""Hundreds of nodes that start together find each other soon and cheaply.

Nodes start within 0.8 s of each other, as after a complete power loss, and
find the three contacts of each of five failure domains. Each advertises within
1.5 s that its server takes work.
"""

import msgspec
import pytest
from tests.support import gossip_simulation
from tests.support.gossip_simulation import GossipSimulation
from tests.support.gossip_simulation import member_record

from radishwind.membership import AdvertisedState
from radishwind.membership.outgoing_message import MessagePurpose
from radishwind.membership.records import Liveness
from radishwind.node.peer_search import MISSING_CONTACT_CHECKS_S
from radishwind.peers.peer_socket import MAX_DATAGRAM_BYTES
from radishwind.sidecar.options import GOSSIP

DOMAINS = 5
CONTACTS = 3 * DOMAINS

#: Fraction of up-to-date records that counts as converged. The next round of
#: anti-entropy repairs a single missed update, and a thousandth doesn't affect
#: the choice among a hundred servers.
CONVERGED_FRACTION = 0.999


class Fleet(GossipSimulation):
    """Simulated nodes that start together; counts their messages by kind."""

    def __init__(self, size):
        super().__init__(GOSSIP, seed=1, latency_s=0.0015, encode_messages=True)
        self.size = size
        self.http_exchanges = 0
        self.cross_domain_bytes = 0
        self.largest_push_bytes = 0
        for number in range(size):
            self.schedule(self.rng.random() * 0.8, self._start_handler(number))

    def _start_handler(self, number):
        def start():
            self.start_node(number)
            node = self.nodes[number]
            self.send(
                number, node.advertise(AdvertisedState.DRAINING, self.now)
            )
            self.schedule(self.now + self.rng.random() * 0.15, search)
            self.schedule(self.now + self.rng.random() * 1.5, serve)

        def search():
            is_alone = len(self.nodes[number].table.members) <= 1
            self._join_missing(number)
            if is_alone:
                self.schedule(self.now + 0.15 + self.rng.random() * 0.3, search)
                return
            for look_s in MISSING_CONTACT_CHECKS_S:
                self.schedule(
                    self.now + look_s, lambda: self._join_missing(number)
                )

        def serve():
            node = self.nodes[number]
            self.send(number, node.advertise(AdvertisedState.SERVING, self.now))

        return start

    def _join_missing(self, number):
        if number not in self.nodes:
            return
        members = self.nodes[number].table.members
        contacts = range(min(CONTACTS, self.size))
        missing = [n for n in contacts if member_record(n).name not in members]
        self.join(number, missing)

    def _send(self, number, outgoing):
        is_one_way = outgoing.purpose in (
            MessagePurpose.NOTIFY,
            MessagePurpose.REQUEST_PROBE,
        )
        size = len(gossip_simulation.encode_message(outgoing.message))
        if is_one_way and outgoing.member:
            self.largest_push_bytes = max(self.largest_push_bytes, size)
        elif outgoing.purpose is not MessagePurpose.PROBE:
            self.http_exchanges += 1
        other = self._number_by_address.get(outgoing.address)
        if other is not None and other % DOMAINS != number % DOMAINS:
            self.cross_domain_bytes += size
        super()._send(number, outgoing)

    def has_converged(self):
        """Returns whether all know all members, nearly all of them serving."""
        nodes = self.nodes.values()
        if any(len(node.table.members) < self.size for node in nodes):
            return False
        serving = sum(
            record.advertised is AdvertisedState.SERVING and not record.is_gone
            for node in nodes
            for record in node.table.members.values()
        )
        return serving >= CONVERGED_FRACTION * self.size * self.size


@pytest.fixture(autouse=True)
def five_domains(monkeypatch):
    def record_in_domain(number, incarnation=1_000):
        domain = f"domain-{number % DOMAINS}"
        return msgspec.structs.replace(
            member_record(number, incarnation), failure_domain=domain
        )

    monkeypatch.setattr(gossip_simulation, "member_record", record_in_domain)


@pytest.mark.parametrize("size", [12, 74, 300])
def test_fleet_converges_within_five_seconds(size):
    fleet = Fleet(size)

    took_s = fleet.run_until(fleet.has_converged, 5.0)

    assert took_s is not None


def test_start_of_195_nodes_takes_few_http_exchanges_per_node():
    """Guards the use of datagrams.

    When all messages went by HTTP there were 920 exchanges per node; at most a
    twentieth of that is allowed.
    """
    fleet = Fleet(195)

    took_s = fleet.run_until(fleet.has_converged, 5.0)
    fleet.run_for(6.5 - fleet.now)

    assert took_s is not None
    assert fleet.http_exchanges / fleet.size <= 920 / 20
    assert fleet.largest_push_bytes < MAX_DATAGRAM_BYTES
    # Control traffic may cost a node 10 KB/s.
    assert fleet.cross_domain_bytes / fleet.size <= 10_000 * 6.5
    sent = fleet.messages
    fleet.run_for(3.0)
    # One probe per second and one anti-entropy round every 8 s, with their
    # replies, and the last updates of the start.
    assert (fleet.messages - sent) / fleet.size / 3.0 <= 6.0


def test_crashed_node_is_dead_on_all_nodes_within_the_bound():
    """Guards the time bound of failure detection.

    Suspicion takes about 9 s among 195 members. Forgetting the member causes no
    message storm.
    """
    fleet = Fleet(74)
    fleet.run_for(8.0)
    fleet.crash(7)
    name = member_record(7).name

    def is_gone_everywhere():
        return all(n.table.members[name].is_gone for n in fleet.nodes.values())

    took_s = fleet.run_until(is_gone_everywhere, 12.0)

    assert took_s is not None


def test_idle_node_wakes_rarely():
    """Each wake-up costs CPU time on every node of a fleet of hundreds."""
    fleet = GossipSimulation(GOSSIP)
    fleet.start_known_nodes(20)
    fleet.run_for(1.0)
    wake_count = 0

    def counting_tick(number, node, due):
        nonlocal wake_count
        wake_count += 1
        return GossipSimulation._tick(fleet, number, node, due)

    fleet._tick = counting_tick

    fleet.run_for(10.0)

    # One probe per second and one anti-entropy round every 8 s.
    assert wake_count / 20 / 10.0 <= 1.5


def test_failed_probe_leads_to_suspicion_in_time():
    fleet = GossipSimulation(GOSSIP)
    fleet.start_known_nodes(20)
    fleet.run_for(1.0)
    fleet.crash(7)
    name = member_record(7).name

    def is_suspected():
        return any(
            node.table.members[name].liveness is Liveness.SUSPECT
            for node in fleet.nodes.values()
        )

    took_s = fleet.run_until(is_suspected, 4.0)

    assert took_s is not None
