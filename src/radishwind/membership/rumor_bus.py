"""Small facts that every node learns within seconds."""

import abc
from collections.abc import Callable
from typing import TypeAlias

import msgspec

from radishwind.core.clock import Clock
from radishwind.membership.gossip import Gossip
from radishwind.membership.records import MAX_RUMOR_TTL_MS
from radishwind.membership.records import MAX_RUMOR_VALUE_CHARS
from radishwind.membership.records import Rumor

#: Takes the key and the value of a fact that is new to this node.
RumorHandler: TypeAlias = Callable[[str, bytes], None]


class RumorBus(abc.ABC):
    """Spreads facts between peers; the newest version of each key wins.

    Facts are small (values up to 512 bytes of JSON), rare, and forgotten after
    their time to live. Load never travels here.
    """

    @abc.abstractmethod
    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Spreads a fact.

        Args:
          topic: the kind of fact, for example `config` or `quarantine`.
          key: what it is about, unique in the topic.
          version: grows with each change of the key.
          value: the fact, JSON.
          ttl_s: when to forget it (s).
        """

    @abc.abstractmethod
    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        """Calls `handler` for each fact of `topic` new to this node."""


class NullRumorBus(RumorBus):
    """Tells nobody; for a node alone and for tests."""

    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Does nothing."""

    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        """Does nothing."""


class GossipRumorBus(RumorBus):
    """Spreads rumors on the messages of membership.

    `publish` only adds to the state machine; its daemon is woken by `wake`.
    """

    def __init__(
        self, gossip: Gossip, clock: Clock, wake: Callable[[], None]
    ) -> None:
        self._gossip = gossip
        self._clock = clock
        self._wake = wake
        self._handlers: dict[str, list[RumorHandler]] = {}
        gossip.add_rumor_listener(self._heard)

    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        fact = _checked(topic, key, version, value, ttl_s)
        self._gossip.publish(fact, self._clock.monotonic())
        self._wake()

    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        self._handlers.setdefault(topic, []).append(handler)
        for fact in self._gossip.table.rumors():
            if fact.topic == topic:
                handler(fact.key, fact.value.encode())

    def _heard(self, fact: Rumor) -> None:
        for handler in self._handlers.get(fact.topic, ()):
            handler(fact.key, fact.value.encode())


def _checked(
    topic: str, key: str, version: int, value: bytes, ttl_s: float
) -> Rumor:
    """Returns the fact, or raises `ValueError` if peers would refuse it."""
    ttl_ms = min(MAX_RUMOR_TTL_MS, int(ttl_s * 1000))
    raw = (topic, key, version, value.decode(), ttl_ms)
    try:
        return msgspec.convert(raw, Rumor)
    except msgspec.ValidationError as exc:
        raise ValueError(
            f"expected a value of at most {MAX_RUMOR_VALUE_CHARS} characters "
            f"and fields within bounds: {exc}"
        ) from exc
