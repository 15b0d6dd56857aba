"""Compares routes that were taken unchecked with the operator's own.

Until a node knows the secret of the fleet it takes a configuration from
whoever brings it. Versions only rise, so a made-up one would stay in force, and
the node would tell it on once it can sign: so it signs after the comparison.
"""

from collections.abc import Callable

import anyio

from radishwind.core.clock import Clock
from radishwind.core.errors import RadishwindError
from radishwind.peers.keyring import Keyring
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.model import RouteConfig
from radishwind.routes.store_watcher import STORE_SOURCE
from radishwind.store.base import Store
from radishwind.store.base import StoreError
from radishwind.telemetry.part_logger import PartLogger

#: The store is asked again after this time (s).
_AGAIN_S = 1.0


class RouteVerifier:
    """The task that asks the store, once, where there is reason to."""

    def __init__(
        self,
        *,
        keyring: Keyring,
        routes: ActiveRoutes,
        store: Store,
        key: str,
        decode: Callable[[bytes], RouteConfig],
        clock: Clock,
        forged: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          keyring: whether the secret is known.
          routes: the routes in force.
          store: the platform's store.
          key: of the configuration there.
          decode: reads a configuration; raises a `RadishwindError` if it is
            malformed.
          clock: the clock.
          forged: called where the version in force is none of the operator's.
        """
        self._keyring = keyring
        self._routes = routes
        self._store = store
        self._key = key
        self._decode = decode
        self._log = PartLogger("routes", clock)
        self._forged = forged
        self._unchecked = False
        self._due = anyio.Event()
        routes.subscribe(self._adopted)
        keyring.subscribe(self._wake)

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            while self._unchecked and self._keyring.has_secret:
                await self._compare()
                if self._unchecked:
                    await anyio.sleep(_AGAIN_S)
            await self._due.wait()
            self._due = anyio.Event()

    def _adopted(self, cfg: RouteConfig) -> None:
        if self._routes.source == STORE_SOURCE:
            self._settle()
        elif not self._keyring.has_secret:
            self._unchecked = True
            self._keyring.is_signing_paused = True

    def _settle(self) -> None:
        """Lets the node sign: what it believes is the operator's."""
        self._unchecked = False
        self._keyring.is_signing_paused = False

    def _wake(self) -> None:
        self._due.set()

    async def _compare(self) -> None:
        """Asks the store; it may be away."""
        # Newer versions may come into force while the store answers.
        version, raw = self._routes.version, self._routes.raw
        try:
            # What an old answer shows is the operator's too.
            stored, written = await self._stored(allow_stale=True)
            if not _may_be(version, raw, stored, written):
                stored, written = await self._stored(allow_stale=False)
        except StoreError as exc:
            self._log.info("Routes uncompared.", reason=str(exc)[:120])
            return
        except RadishwindError as exc:
            # Nothing to compare with; what is in force stays, as elsewhere.
            self._settle()
            self._log.warning("Routes uncompared.", reason=str(exc)[:120])
            return
        if not self._unchecked:
            # The store's own came into force.
            return
        if _may_be(version, raw, stored, written):
            self._settle()
            return
        if self._routes.version != version:
            # What replaced it may be the operator's, and is compared itself.
            return
        self._unchecked = False
        self._log.error(
            "The routes in force are none of the operator's.",
            version=version,
            stored=stored,
            source=self._routes.source,
        )
        self._forged()

    async def _stored(self, *, allow_stale: bool) -> tuple[int, bytes]:
        """Returns the store's version, 0 for none, and how it is written."""
        entry = await self._store.get(self._key, allow_stale=allow_stale)
        if entry is None:
            return 0, b""
        return self._decode(entry.value).version, entry.value


def _may_be(version: int, raw: bytes, stored: int, written: bytes) -> bool:
    """Returns whether the operator may have made a version.

    An older one than the store's goes as soon as that is heard of.

    Args:
      version: in force here.
      raw: how it was written.
      stored: the store's version.
      written: how that is written.
    """
    return version < stored or (version == stored and raw == written)
