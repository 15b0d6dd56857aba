"""Positions in the history of a store that may come back from a copy.

A store that comes back from an older copy gives revisions out again. Its era
rises then. A revision therefore counts within its era only, and positions are
ordered by era first.
"""

from typing import Annotated
from typing import NamedTuple
from typing import TypeAlias

import msgspec

#: Highest era and revision: a position has to fit in the version of a rumor.
MAX_ERA = (1 << 16) - 1
MAX_REVISION = (1 << 36) - 1

#: An era that another program states.
Era: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]


class StorePosition(NamedTuple):
    """A point in the history of the store; later ones compare as greater.

    Attributes:
      era: rises each time the store comes back from a copy; 0 for a store that
        states none.
      revision: revision of the store; 0 if nothing is known yet.
    """

    era: int = 0
    revision: int = 0

    @property
    def number(self) -> int:
        """The position as one number of the same order, for rumors."""
        return self.era * (MAX_REVISION + 1) + min(self.revision, MAX_REVISION)

    @classmethod
    def from_number(cls, number: int) -> "StorePosition":
        """Returns the position that has this `number`."""
        return cls(*divmod(number, MAX_REVISION + 1))


#: The position of a node that knows nothing of the store.
UNKNOWN_POSITION = StorePosition()
