"""Intervals at which a node's configuration tasks act."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigPeriods:
    """Intervals of the configuration tasks, each jittered by up to half.

    Attributes:
      notified_members: members that a node pulls from, and thereby notifies,
        after it adopted a revision.
      pull_period_s: between pulls from a random peer (s).
      lagging_pull_period_s: the same while a newer revision is known to exist,
        or none is in force yet (s).
      watch_duration_s: duration of a watch before the store is read again (s).
      short_watch_duration_s: the same if the store has compacted the history
        since the root's revision, so that the watch starts from now (s).
      confirm_period_s: between reads by which a node that watches finds what
        its watch did not report (s).
      standby_confirm_period_s: between reads by the nodes that would watch
        next, in case the store answers none that do (s).
      rank_check_period_s: between checks whether this node ranks among those
        that watch the store (s).
      read_period_s: between store reads by nodes that don't watch (s).
      initial_read_period_s: the same while no configuration is in force (s).
      initial_read_spread_s: interval over which nodes that start at the same
        time spread their first read (s).
      initial_backoff_s: upper bound of the first pause after a store failure
        (s).
      max_backoff_s: upper bound of any such pause (s).
    """

    notified_members: int = 3
    pull_period_s: float = 5.0
    lagging_pull_period_s: float = 0.3
    watch_duration_s: float = 60.0
    short_watch_duration_s: float = 2.0
    confirm_period_s: float = 4.0
    standby_confirm_period_s: float = 7.0
    rank_check_period_s: float = 2.0
    read_period_s: float = 300.0
    initial_read_period_s: float = 10.0
    initial_read_spread_s: float = 0.5
    initial_backoff_s: float = 0.2
    max_backoff_s: float = 10.0
