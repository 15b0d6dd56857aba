"""Which nodes there are, where, and whether they take new work."""

from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.rumors import RumorBoard
from radishwind.membership.rumors import SilentBoard

__all__ = ["Directory", "Member", "MemberState", "RumorBoard", "SilentBoard"]
