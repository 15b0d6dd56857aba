"""Publish and subscribe for small values that reach all nodes in seconds."""

import abc
from collections.abc import Callable
from typing import TypeAlias

from radishwind.core.clock import Clock
from radishwind.decoding import convert
from radishwind.decoding import decode_text
from radishwind.decoding import MalformedInputError
from radishwind.decoding.sizes import MAX_RUMOR_VALUE_BYTES
from radishwind.membership.gossip import Gossip
from radishwind.membership.records import MAX_RUMOR_TTL_MS
from radishwind.membership.records import MAX_RUMOR_VALUE_CHARS
from radishwind.membership.records import Rumor
from radishwind.supervision import notify

#: Called with the key and the value of a rumor that is new to this node.
RumorHandler: TypeAlias = Callable[[str, bytes], None]


class RumorBus(abc.ABC):
    """Publishes rumors to all peers; the newest version of each key wins.

    Rumors are small (values up to 512 characters of JSON) and rare, and expire
    after their time to live. Load reports aren't sent this way.
    """

    @abc.abstractmethod
    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Publishes a rumor.

        Args:
          topic: the kind of value, for example `config` or `quarantine`.
          key: identifies the value within its topic.
          version: grows with each change of the value.
          value: JSON.
          ttl_s: time to live (s).
        """

    @abc.abstractmethod
    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        """Calls `handler` with each rumor of `topic` new to this node."""


class NullRumorBus(RumorBus):
    """Drops all rumors; for a node without peers and for tests."""

    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Does nothing."""

    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        """Does nothing."""


class GossipRumorBus(RumorBus):
    """Disseminates rumors by gossip.

    `publish` only adds the rumor to the state machine, and calls `wake` so
    that its driver sends it.
    """

    def __init__(
        self, gossip: Gossip, clock: Clock, wake: Callable[[], None]
    ) -> None:
        self._gossip = gossip
        self._clock = clock
        self._wake = wake
        self._handlers: dict[str, list[RumorHandler]] = {}
        gossip.add_rumor_listener(self._on_rumor)

    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        rumor = _validated_rumor(topic, key, version, value, ttl_s)
        self._gossip.publish(rumor, self._clock.monotonic())
        self._wake()

    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        self._handlers.setdefault(topic, []).append(handler)
        for rumor in self._gossip.table.rumors():
            if rumor.topic == topic:
                _call(handler, rumor)

    def _on_rumor(self, rumor: Rumor) -> None:
        for handler in self._handlers.get(rumor.topic, ()):
            _call(handler, rumor)


def _call(handler: RumorHandler, rumor: Rumor) -> None:
    """Calls a handler; an error in it is logged and counted."""
    notify("membership.rumors", handler, rumor.key, rumor.value.encode())


def _validated_rumor(
    topic: str, key: str, version: int, value: bytes, ttl_s: float
) -> Rumor:
    """Returns the rumor; its time to live is capped.

    Raises:
      ValueError: peers would reject a field as malformed.
    """
    ttl_ms = min(MAX_RUMOR_TTL_MS, int(ttl_s * 1000))
    try:
        text = decode_text(value, "a rumor's value", MAX_RUMOR_VALUE_BYTES)
        return convert((topic, key, version, text, ttl_ms), Rumor, "a rumor")
    except MalformedInputError as exc:
        raise ValueError(
            f"expected a value of at most {MAX_RUMOR_VALUE_CHARS} characters "
            f"and fields within bounds: {exc}"
        ) from exc
