"""Verifies routes that were accepted without authentication.

Until a node knows the fleet secret it accepts a routes configuration from any
sender. Versions only rise, so a forged one would stay in force, and the node
would pass it on as soon as it can sign. So it starts to sign only after it has
compared the configuration with the operator's in the store.
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

_RETRY_DELAY_S = 1.0


class RouteVerifier:
    """The task that compares unverified routes with those in the store."""

    def __init__(
        self,
        *,
        keyring: Keyring,
        routes: ActiveRoutes,
        store: Store,
        key: str,
        decode: Callable[[bytes], RouteConfig],
        clock: Clock,
        on_forged: Callable[[], None],
    ) -> None:
        """Wires the task.

        Args:
          keyring: knows whether the secret is known; signs nothing while
            unverified routes are in force.
          routes: the routes in force.
          store: the platform's store.
          key: key of the routes configuration in the store.
          decode: decodes a configuration; raises a `RadishwindError` if it is
            malformed.
          clock: the clock.
          on_forged: called if the version in force is not the operator's.
        """
        self._keyring = keyring
        self._routes = routes
        self._store = store
        self._key = key
        self._decode = decode
        self._log = PartLogger("routes", clock)
        self._on_forged = on_forged
        self._is_unverified = False
        self._wake_up = anyio.Event()
        routes.subscribe(self._on_adopted)
        keyring.subscribe(self._on_keyring_changed)

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            while self._is_unverified and self._keyring.has_secret:
                await self._compare()
                if self._is_unverified:
                    await anyio.sleep(_RETRY_DELAY_S)
            await self._wake_up.wait()
            self._wake_up = anyio.Event()

    def _on_adopted(self, cfg: RouteConfig) -> None:
        if self._routes.source == STORE_SOURCE:
            self._accept()
        elif not self._keyring.has_secret:
            self._is_unverified = True
            self._keyring.is_signing_paused = True

    def _accept(self) -> None:
        """Accepts the routes in force as the operator's and resumes signing."""
        self._is_unverified = False
        self._keyring.is_signing_paused = False

    def _on_keyring_changed(self) -> None:
        self._wake_up.set()

    async def _compare(self) -> None:
        """Compares the routes in force with the store's if it is available."""
        # A newer version may come into force during the reads.
        version, raw = self._routes.version, self._routes.raw
        try:
            # A configuration from a stale read is the operator's too.
            stored_version, stored_raw = await self._read(allow_stale=True)
            if not _may_be_genuine(version, raw, stored_version, stored_raw):
                stored_version, stored_raw = await self._read(allow_stale=False)
        except StoreError as exc:
            self._log.info(
                "Failed to read the routes for comparison.",
                reason=str(exc)[:120],
            )
            return
        except RadishwindError as exc:
            # As elsewhere, a malformed configuration in the store leaves the
            # one in force.
            self._accept()
            self._log.warning(
                "The routes in the store are malformed; nothing to compare.",
                reason=str(exc)[:120],
            )
            return
        if not self._is_unverified:
            # Routes read from the store came into force meanwhile.
            return
        if _may_be_genuine(version, raw, stored_version, stored_raw):
            self._accept()
            return
        if self._routes.version != version:
            # The replacement may be the operator's; it is compared next.
            return
        self._is_unverified = False
        self._log.error(
            "The routes in force are forged: not the operator's.",
            version=version,
            stored=stored_version,
            source=self._routes.source,
        )
        self._on_forged()

    async def _read(self, *, allow_stale: bool) -> tuple[int, bytes]:
        """Returns version and encoded form of the store's routes.

        Without routes in the store the version is 0.
        """
        entry = await self._store.get(self._key, allow_stale=allow_stale)
        if entry is None:
            return 0, b""
        return self._decode(entry.value).version, entry.value


def _may_be_genuine(
    version: int, raw: bytes, stored_version: int, stored_raw: bytes
) -> bool:
    """Returns whether a configuration may be one of the operator's.

    One that is older than the store's may be; it is replaced as soon as the
    newer version is received.

    Args:
      version: version in force here.
      raw: its encoded form.
      stored_version: version in the store.
      stored_raw: its encoded form.
    """
    return version < stored_version or (
        version == stored_version and raw == stored_raw
    )
