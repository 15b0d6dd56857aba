"""Small facts that every node learns within seconds."""

import abc
from collections.abc import Callable
from typing import TypeAlias

#: Takes the key and the value of a fact that is new to this node.
RumorHandler: TypeAlias = Callable[[str, bytes], None]


class RumorBoard(abc.ABC):
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


class SilentBoard(RumorBoard):
    """Tells nobody; for a node alone and for tests."""

    def publish(
        self, topic: str, key: str, version: int, value: bytes, ttl_s: float
    ) -> None:
        """Does nothing."""

    def subscribe(self, topic: str, handler: RumorHandler) -> None:
        """Does nothing."""
