"""Follows the era of the store by its answers."""

from collections.abc import Callable

from radishwind.core.clock import Clock
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreAnswerMalformedError
from radishwind.store.position import MAX_ERA
from radishwind.supervision import Duty
from radishwind.supervision import Listeners
from radishwind.telemetry.part_logger import PartLogger


class EraTracker:
    """Holds the highest era that the store has stated.

    Attributes:
      era: the highest era stated; 0 before the first.
      change_count: how often the era has risen since the first answer.
      refused_count: answers refused, of an earlier era or without a valid one.
    """

    def __init__(self, clock: Clock) -> None:
        self._log = PartLogger("store", clock)
        self._listeners: Listeners[()] = Listeners("store.eras")
        self._has_answered = False
        self.era = 0
        self.change_count = 0
        self.refused_count = 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Registers `listener`, called when the store came back from a copy."""
        self._listeners.add(listener)

    @property
    def retries(self) -> Duty:
        """The duty that calls again the listeners that failed."""
        return self._listeners.retries

    def observe(self, text: str | None) -> int:
        """Returns the era of an answer of the store.

        Args:
          text: the era as the answer states it; `None` if it states none.

        Raises:
          StoreAnswerMalformedError: it is malformed, or missing though earlier
            answers stated one.
          StoreAnswerLostError: the answer is of an earlier era; what it reports
            is gone.
        """
        era = self._parse(text)
        if era < self.era:
            self._refuse("The store answered from an earlier era.", str(era))
            raise StoreAnswerLostError(
                f"expected an answer of era {self.era}, got {era}"
            )
        is_new = self._has_answered and era > self.era
        previous, self.era = self.era, era
        self._has_answered = True
        if is_new:
            self.change_count += 1
            self._log.change(
                "The store came back from a copy; its era rose.",
                era=era,
                before=previous,
            )
            self._listeners.notify()
        return era

    def _parse(self, text: str | None) -> int:
        if text is None and not self.era:
            return 0
        if text is None or not text.isascii() or not text.isdigit():
            self._refuse("The store stated no valid era.", text)
            raise StoreAnswerMalformedError("expected the era of the store")
        era = int(text[:6])
        if len(text) > 6 or era > MAX_ERA:
            self._refuse("The store stated no valid era.", text)
            raise StoreAnswerMalformedError(
                f"expected an era of {MAX_ERA} at most"
            )
        return era

    def _refuse(self, sentence: str, text: str | None) -> None:
        self.refused_count += 1
        self._log.warning(
            sentence, expected=self.era, got=None if text is None else text[:20]
        )
