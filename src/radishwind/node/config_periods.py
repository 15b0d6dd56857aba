"""How often a node's configuration tasks act."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPeriods:
    """How often the tasks act; each time is varied by half of itself.

    Attributes:
      told_members: members told of a newly adopted revision by this node.
      peer_s: between exchanges with a random peer (s).
      lagging_peer_s: the same while nothing is in force yet, or a newer
        revision is known of (s).
      watch_turn_s: how long one watch is kept before the store is read
        anew (s).
      short_turn_s: the same where the store no longer tells past changes (s).
      rank_s: between looks whether this node is to watch (s).
      read_s: between reads of the store by nodes that don't watch (s).
      first_read_s: the same while nothing is in force yet (s).
      first_read_spread_s: over which time nodes that start together spread
        their first read (s).
      first_pause_s: the bound of the first pause after the store failed (s).
      longest_pause_s: the longest pause (s).
    """

    told_members: int = 3
    peer_s: float = 5.0
    lagging_peer_s: float = 0.3
    watch_turn_s: float = 60.0
    short_turn_s: float = 2.0
    rank_s: float = 2.0
    read_s: float = 300.0
    first_read_s: float = 10.0
    first_read_spread_s: float = 0.5
    first_pause_s: float = 0.2
    longest_pause_s: float = 10.0
