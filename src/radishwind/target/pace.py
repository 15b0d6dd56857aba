"""The current pace of an instance and how long it is valid."""

import msgspec


class Pace(msgspec.Struct, frozen=True):
    """The pace of an instance: its run times relative to normal ones.

    Attributes:
      factor: current run time of work relative to the normal one; 1 is normal,
        5 is five times as long.
      base_factor: the best factor of the last intervals.
      interval_s: time between change points of the pace (s); 0 if unknown.
      interval_left_s: time until the next change point (s).
    """

    factor: float = 1.0
    base_factor: float = 1.0
    interval_s: float = 0.0
    interval_left_s: float = 0.0
