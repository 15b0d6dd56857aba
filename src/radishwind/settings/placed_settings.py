"""Settings of a node that a platform places beside a backend server."""

from collections.abc import Mapping

import msgspec

from radishwind.http.types import Address


class PlacedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that the platform provides at the start and at each reload.

    Attributes:
      node: unique name of the instance.
      service: service of the local backend server.
      failure_domain: failure domain of the instance.
      failure_domains: all failure domains.
      region_of: region of each failure domain.
      host: IP address of the instance.
      peer_port: port of the peer listener, for TCP and UDP.
      callers: address of the caller listener of this instance.
      ready: address at which the platform checks the readiness of the node.
      control: address that receives the heartbeats of the local backend server.
      server: address of the local backend server.
      store: address of the platform's key-value store.
      metrics_port: port of the metrics; 0 if they are not served.
      heartbeat_s: interval of the heartbeats of the backend server (s).
      drain_s: time after the acknowledgement of a drain from which on no new
        request may reach the server (s).
      stop_grace_s: time from the stop signal to the forced end (s).
      ack_s: time within which the heartbeat of a leaving server must be
        acknowledged (s).
      retry_share: fleet-wide limit of retries, as a fraction of the requests.
      retry_slack: retries per window that the fleet may send beyond that
        fraction.
      retry_window_s: window of the retry budget (s).
      quota_window_s: window of the quotas of client accounts (s).
      quota_over: excess over a quota that the fleet may accept per window, as a
        fraction of the quota.
      quota_slack: requests that the fleet may accept beyond that excess.
      cold_over: limit of the requests to a cold server in any second, as a
        multiple of its warm-up rate.
      cold_slack: requests that it may receive in a second beyond that limit.
      config_s: time within which an acknowledged configuration must be in force
        at every node (s).
      revoke_s: time after which no node accepts a revoked key, even if it is
        partitioned from the others (s); `None` if a partitioned node may keep
        using the newest configuration that it has.
      link_mbps: bandwidth of the instance's link in each direction (Mbit/s); 0
        if unknown.
      memory_bytes: memory of the machine of the node (bytes).
      first_start: whether the whole system starts for the first time, so that
        no state was stored before.
      peer_address: address at which other nodes reach the peer listener, if it
        differs from the address it listens at; `None` if not.
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
    config_s: float = 2.0
    revoke_s: float | None = None
    link_mbps: float = 0.0
    memory_bytes: int = 300 << 20
    first_start: bool = False
    region_of: Mapping[str, str] = {}
    peer_address: Address | None = None

    @property
    def peers(self) -> Address:
        """Address of the peer listener."""
        return Address(self.host, self.peer_port)
