"""How long work takes on an instance, and for how long that holds."""

import msgspec


class Pace(msgspec.Struct, frozen=True):
    """The pace of an instance at one moment.

    Attributes:
      factor: how long work takes; 1 is as usual, 5 five times as long.
      base_factor: the best factor in the last spells.
      interval_s: it changes at moments so far apart (s); 0 if none are known.
      interval_left_s: time until the next such moment (s).
    """

    factor: float = 1.0
    base_factor: float = 1.0
    interval_s: float = 0.0
    interval_left_s: float = 0.0
