"""Constants of the gossip protocol."""

import msgspec


class GossipOptions(msgspec.Struct, frozen=True):
    """Options of failure detection and dissemination.

    Attributes:
      probe_period_s: protocol period; one member is probed in each (s).
      probe_timeout_s: how long to wait for the reply to a probe (s).
      indirect_probes: number of members asked to probe a member that didn't
        reply.
      suspicion_periods: how long a member stays suspect before it is declared
        dead (probe periods); multiplied by the decimal logarithm of the
        number of members if that exceeds one.
      push_delay_s: how long new updates are batched before a push (s).
      fanout: number of members to which updates are pushed.
      cross_domain_pushes: expected number of members in other failure domains
        to which all nodes of one domain together push an update.
      push_rate_bytes_per_s: long-term rate of pushed updates (bytes/s).
      push_burst_bytes: token bucket size of pushed updates (bytes).
      sync_period_s: time between anti-entropy rounds with a random member (s).
      sync_retry_s: the same while the last round found a difference (s).
      sync_pages: maximum number of pages in one anti-entropy round.
      rejoin_period_s: one member that is gone is probed in each period (s).
      return_window_s: how long a member that left as planned is still sent
        rejoin probes (s): restarted while the store is unavailable, it cannot
        find its peers by itself.
      refute_grace_s: how long a member that other nodes declared dead may
        still be used if no other member is left (s).
      forget_after_s: how long dead members are kept (s); longer than a
        partition between regions may last, so that its sides find each other
        again.
      message_payload_bytes: bound on the updates in one message (bytes).
      page_payload_bytes: bound on the entries in one anti-entropy page
        (bytes).
      max_members: maximum number of members held.
      max_rumors: maximum number of rumors held.
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
