"""The settings of a node that a platform places beside a backend server."""

from collections.abc import Mapping

import msgspec

from radishwind.http.types import Address


class PlacedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the platform tells a node at its start and at a reload.

    Attributes:
      node: the name of the instance, unique.
      service: the service of the backend server beside.
      failure_domain: where the instance stands.
      failure_domains: all there are.
      region_of: the region of each.
      host: the IP address of the instance.
      peer_port: where other nodes are received, over TCP and UDP.
      callers: where requests of this instance are received.
      ready: where the platform asks whether the node takes callers.
      control: where the backend server beside sends its heartbeats.
      server: the backend server beside.
      store: the platform's key-value store.
      metrics_port: where metrics are served; 0 for nowhere.
      heartbeat_s: time between heartbeats of the backend server (s).
      drain_s: after a drain is acknowledged nothing new may reach the server
        later than this (s).
      stop_grace_s: from the signal to stop to the forced end (s).
      ack_s: the latest that a heartbeat of one that leaves is to be
        acknowledged (s).
      retry_share: repeats as a share of requests that all nodes may make.
      retry_slack: repeats that all nodes may make beyond that share, in one
        window.
      retry_window_s: the window in which repeats are counted (s).
      quota_window_s: the window in which requests of client accounts are
        counted (s).
      quota_over: what all nodes may let in beyond a quota in one window, as a
        part of it.
      quota_slack: requests beyond that which they may let in.
      cold_over: times of its rate that a cold server may get in a second.
      cold_slack: requests beyond that which it may get in a second.
      revoke_s: a key that was taken away may run no later than this at any
        node, in touch with others or not (s); `None` where a node may go on
        with the newest configuration that it knows.
      link_mbps: what the link of the instance carries each way (Mbit/s); 0
        where that isn't told.
      first_start: whether the whole system starts for the first time, so that
        nothing was kept before.
      peer_address: where other nodes reach this one, if it is not where they
        are received; `None` if it is.
    """

    node: str
    service: str
    failure_domain: str
    failure_domains: tuple[str, ...]
    host: str
    peer_port: int
    callers: Address
    ready: Address
    control: Address
    server: Address
    store: Address
    metrics_port: int
    heartbeat_s: float
    drain_s: float
    stop_grace_s: float
    ack_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float = 5.0
    quota_over: float = 0.1
    quota_slack: float = 20.0
    cold_over: float = 1.0
    cold_slack: float = 0.0
    revoke_s: float | None = None
    link_mbps: float = 0.0
    first_start: bool = False
    region_of: Mapping[str, str] = {}
    peer_address: Address | None = None

    @property
    def peers(self) -> Address:
        """Where other nodes are received."""
        return Address(self.host, self.peer_port)
