"""Which nodes there are, where, and whether they take new work.

`gossip` is the state machine, free of sockets and clocks; `facts` says which
of two facts is newer, `view` derives the data path's directory, `contacts`
the few addresses in the store by which a new node finds the others.
"""

from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.facts import Announced
from radishwind.membership.facts import MemberFact
from radishwind.membership.gossip import Gossip
from radishwind.membership.options import GossipOptions
from radishwind.membership.rumors import GossipRumorBoard
from radishwind.membership.rumors import RumorBoard
from radishwind.membership.rumors import SilentBoard
from radishwind.membership.view import GossipDirectory

__all__ = [
    "Announced",
    "Directory",
    "Gossip",
    "GossipDirectory",
    "GossipOptions",
    "GossipRumorBoard",
    "Member",
    "MemberFact",
    "MemberState",
    "RumorBoard",
    "SilentBoard",
]
