"""The constants of membership, with units."""

import msgspec


class GossipOptions(msgspec.Struct, frozen=True):
    """How a node detects failures and spreads facts.

    Attributes:
      probe_period_s: one member is probed in each period (s).
      probe_timeout_s: how long the answer to a probe may take (s).
      indirect_probes: how many others are asked when a probe fails.
      suspicion_periods: how long a member stays suspected before it is
        believed dead (probe periods), times the decimal logarithm of the
        number of members where that is more than one.
      push_delay_s: new facts are collected this long, then pushed (s).
      fanout: how many members new facts are pushed to.
      cross_domain_pushes: expected number of members in other failure domains
        that all nodes of one domain together push an update to.
      push_rate_bytes_per_s: the rate of pushed facts over long times (bytes/s).
      push_burst_bytes: what may be pushed at once beyond the rate (bytes).
      sync_period_s: time between anti-entropy with a random member (s).
      sync_retry_s: the same while a difference was found (s).
      sync_pages: pages exchanged at most in one anti-entropy.
      rejoin_period_s: one of those that are gone is tried in each period (s).
      return_window_s: how long a member that left as planned is still sent
        rejoin probes (s): restarted while the store is unavailable, it cannot
        find its peers by itself.
      refute_grace_s: how long a member believed dead on hearsay may still be
        used where no other is left (s).
      forget_after_s: how long dead members are kept (s); longer than a
        partition between regions may last, so that its sides find each other
        again.
      message_payload_bytes: facts carried by one message (bytes).
      page_payload_bytes: facts carried by one page of anti-entropy (bytes).
      max_members: members remembered at most.
      max_rumors: rumors remembered at most.
    """

    probe_period_s: float = 1.0
    probe_timeout_s: float = 0.5
    indirect_probes: int = 3
    suspicion_periods: float = 4.0
    push_delay_s: float = 0.05
    fanout: int = 4
    cross_domain_pushes: float = 8.0
    push_rate_bytes_per_s: float = 5_000.0
    push_burst_bytes: float = 65_536.0
    sync_period_s: float = 10.0
    sync_retry_s: float = 0.5
    sync_pages: int = 8
    rejoin_period_s: float = 10.0
    return_window_s: float = 30.0
    refute_grace_s: float = 10.0
    forget_after_s: float = 7_200.0
    message_payload_bytes: int = 6_000
    page_payload_bytes: int = 30_000
    max_members: int = 20_000
    max_rumors: int = 1_024
