"""Limits of a listener, so that no sender can exhaust a node."""

import msgspec


class ServerLimits(msgspec.Struct, frozen=True):
    """What a listener takes.

    Attributes:
      connections: connections at once; more are closed at once.
      crowded_part: with more than this part of `connections` open, each answer
        closes its connection, so that none is held idle.
      body_bytes: the largest body (bytes).
      field_bytes: the longest request line or field line (bytes).
      fields: the most field lines.
      body_pause_s: the longest pause within a body (s).
      idle_s: the longest wait for a request on a connection, also for the rest
        of a header begun (s).
      linger_s: how long what a refused sender still sends is read and thrown
        away, so that it can read the refusal (s); also how long a sender may
        take to close a connection that was told to close.
      ahead: pipelined requests of one connection that run before their turn.
    """

    connections: int = 4096
    crowded_part: float = 0.5
    body_bytes: int = 1 << 30
    field_bytes: int = 8190
    fields: int = 100
    body_pause_s: float = 10.0
    idle_s: float = 30.0
    linger_s: float = 2.0
    ahead: int = 8
