"""Limits of a listener, so that no sender can exhaust a node."""

import msgspec


class ServerLimits(msgspec.Struct, frozen=True):
    """Limits that a listener enforces.

    Attributes:
      max_connections: concurrent connections; further ones are closed as soon
        as they are accepted.
      crowded_fraction: fraction of `max_connections` above which each response
        closes its connection, so that no connection stays open while idle.
      max_body_bytes: size of a request body (bytes).
      max_field_bytes: length of a request line or field line (bytes).
      max_fields: number of field lines in a request.
      max_head_bytes: length of a request line and its field lines (bytes).
      max_read_bytes: length of what is read from a connection at once (bytes).
      max_unanswered: unanswered requests of a connection above which nothing
        is read from it and what was read is not parsed.
      body_timeout_s: time without data while a body is being received (s).
      idle_timeout_s: time that a connection waits for a request, or for the
        rest of a partly received head (s).
      linger_s: how long data is still read and discarded after a request was
        rejected, so that its sender can read the response (s); also how long a
        sender may take to close a connection after `Connection: close`.
      write_timeout_s: time within which the receiver of a response must accept
        some of what waits to be sent (s).
      max_pipelined: pipelined requests of a connection that may run before the
        ones ahead of them are answered.
    """

    max_connections: int = 4096
    crowded_fraction: float = 0.5
    max_body_bytes: int = 1 << 30
    max_field_bytes: int = 8190
    max_fields: int = 100
    max_head_bytes: int = 64 * 1024
    max_read_bytes: int = 16 * 1024
    max_unanswered: int = 16
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 30.0
    linger_s: float = 2.0
    write_timeout_s: float = 30.0
    max_pipelined: int = 8
