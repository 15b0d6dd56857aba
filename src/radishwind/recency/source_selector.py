"""Whom a node may ask for proof, and its own place among all."""

import itertools
import random

import msgspec

from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.membership.directory import MemberState
from radishwind.membership.ranking import hash_rank
from radishwind.routes.neighbours import watchers_each

#: Those that read the store first, which relays ask before others.
_READERS = 2

#: Nodes asked in one round: an own, several far relays, and some at random.
_MOST_ASKED = 9

_GONE = (MemberState.DEAD, MemberState.LEAVING)


class Surroundings(msgspec.Struct, frozen=True):
    """A node among those that it knows.

    Attributes:
      place: in the order in which nodes read the store, from 0.
      is_relay: whether those of its failure domain ask it first.
      to_ask: whom it asks, the likeliest to help first.
    """

    place: int
    is_relay: bool
    to_ask: tuple[Member, ...]


class Sources:
    """Orders the nodes there are, alike at all that know the same ones.

    The first of each failure domain come before the second of any, so that
    the next in turn stands in another domain than the one that failed.
    """

    def __init__(
        self,
        node_name: str,
        failure_domain: str,
        directory: Directory,
        rng: random.Random,
    ) -> None:
        """Makes the view of a node.

        Args:
          node_name: of this node.
          failure_domain: where it stands.
          directory: the nodes there are.
          rng: shuffles those that are asked last.
        """
        self._node_name = node_name
        self._failure_domain = failure_domain
        self._directory = directory
        self._rng = rng

    def look(self, helper: str = "") -> Surroundings:
        """Returns the surroundings as of now.

        Args:
          helper: the name of the node that helped last, which is asked first.
        """
        members = self._directory.members()
        living = {
            member.name: member
            for member in members
            if member.state not in _GONE and member.name != self._node_name
        }
        places = [(m.failure_domain, name) for name, m in living.items()]
        order = _in_turn([*places, (self._failure_domain, self._node_name)])
        names = [name for _, name in order]
        relays = watchers_each(members)
        is_relay = False
        far_relays, near_relays, rest = [], [], []
        for number, name in order:
            if name == self._node_name:
                is_relay = number < relays
            elif number >= relays:
                rest.append(name)
            elif living[name].failure_domain == self._failure_domain:
                near_relays.append(name)
            else:
                far_relays.append(name)
        readers = [n for n in names[: _READERS + 1] if n in living][:_READERS]
        for shuffled in (near_relays, far_relays, rest):
            self._rng.shuffle(shuffled)
        likely = [*near_relays, *readers]
        if is_relay:
            likely = [*readers, *near_relays]
        last = [helper] if helper in living else []
        asked = dict.fromkeys([*last, *likely, *far_relays[:3], *rest])
        return Surroundings(
            names.index(self._node_name),
            is_relay,
            tuple(living[n] for n in itertools.islice(asked, _MOST_ASKED)),
        )


def _in_turn(places: list[tuple[str, str]]) -> list[tuple[int, str]]:
    """Returns names with their number in their failure domain, in turn.

    Args:
      places: failure domains and names.
    """
    counts: dict[str, int] = {}
    numbered: list[tuple[int, int, str]] = []
    for ranked, name, domain in sorted((hash_rank(n), n, d) for d, n in places):
        number = counts.get(domain, 0)
        counts[domain] = number + 1
        numbered.append((number, ranked, name))
    return [(number, name) for number, _, name in sorted(numbered)]
