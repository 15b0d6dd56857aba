"""Membership: which nodes exist, where, and whether they take new work.

`gossip` is the protocol state machine, without sockets or clocks. `records`
defines member records and rumors and which version is newer. `gossip_directory`
derives the directory of the data path, and `contact_records` are the few
addresses in the store by which a new node finds its first peers.
"""

from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.gossip import Gossip
from radishwind.membership.gossip_directory import GossipDirectory
from radishwind.membership.gossip_options import GossipOptions
from radishwind.membership.records import AdvertisedState
from radishwind.membership.records import MemberRecord
from radishwind.membership.rumor_bus import GossipRumorBus
from radishwind.membership.rumor_bus import NullRumorBus
from radishwind.membership.rumor_bus import RumorBus

__all__ = [
    "AdvertisedState",
    "Directory",
    "Gossip",
    "GossipDirectory",
    "GossipOptions",
    "GossipRumorBus",
    "Member",
    "MemberRecord",
    "MemberState",
    "NullRumorBus",
    "RumorBus",
]
