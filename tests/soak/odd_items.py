"""The odd entries that lie in the store at the moment."""

from radishwind.standins.odd_entries import OddEntry
from radishwind.standins.platform_store import PlatformStoreStandin


class OddItems:
    """Writes odd entries to a store and takes them away again."""

    def __init__(self, store: PlatformStoreStandin) -> None:
        self._store = store
        # The value that each replaced; `None` for none.
        self._replaced: dict[OddEntry, bytes | None] = {}

    def write(self, entry: OddEntry) -> None:
        """Writes an entry over what its key holds."""
        previous = self._store.value(entry.key)
        self._replaced.setdefault(entry, previous)
        self._store.put_odd(entry.key, entry.value, entry.name)

    def remove(self, entry: OddEntry) -> None:
        """Brings back what the entry replaced, unless a node has done that."""
        previous = self._replaced.pop(entry, None)
        if self._store.value(entry.key) != entry.value:
            return
        if previous is None or previous == entry.value:
            self._store.remove(entry.key)
            return
        self._store.put(entry.key, previous)

    def remove_all(self) -> None:
        """Removes the entries that are still there."""
        for entry in list(self._replaced):
            self.remove(entry)
