"""The version of the routes that a node acts on; it only rises."""

from collections.abc import Callable

from radishwind.accounts.account_index import AccountIndex
from radishwind.core.clock import Clock
from radishwind.routes.model import RouteConfig
from radishwind.routes.route_table import RouteTable
from radishwind.telemetry.logs import PartLogger


class ActiveRoutes:
    """Holds the newest version; listeners hear of each adoption once.

    Attributes:
      cfg: the version in force; `None` before the first.
      table: its look-up table.
      accounts: its client accounts.
      raw: the same as the operator wrote it, for peers.
      source: where it came from.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("routes", clock)
        self._listeners: list[Callable[[RouteConfig], None]] = []
        self.cfg: RouteConfig | None = None
        self.table = RouteTable(())
        self.accounts = AccountIndex()
        self.raw = b""
        self.source = ""
        self._since = 0.0

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return self.cfg.version if self.cfg else 0

    @property
    def age_s(self) -> float:
        """How long it has been in force (s)."""
        return self._clock.monotonic() - self._since

    def subscribe(self, listener: Callable[[RouteConfig], None]) -> None:
        """Calls `listener` after each adoption."""
        self._listeners.append(listener)

    def adopt(self, cfg: RouteConfig, raw: bytes, source: str) -> bool:
        """Takes `cfg` if its version is higher; returns whether it was.

        Args:
          cfg: decoded.
          raw: the same as the operator wrote it.
          source: where it came from.
        """
        if cfg.version <= self.version:
            return False
        before = self.version
        self._follow_accounts(cfg)
        self.cfg = cfg
        self.table = RouteTable(cfg.routes)
        self.raw = raw
        self.source = source
        self._since = self._clock.monotonic()
        self._log.change(
            "Adopted a configuration.",
            version=cfg.version,
            before=before,
            source=source,
            routes=len(cfg.routes),
            accounts=len(cfg.accounts),
        )
        for listener in self._listeners:
            listener(cfg)
        return True

    def _follow_accounts(self, cfg: RouteConfig) -> None:
        """Takes the accounts of `cfg` where they differ from those in force."""
        if self.cfg is not None and cfg.accounts == self.cfg.accounts:
            return
        self.accounts = AccountIndex(cfg.accounts)
        if self.accounts.shared_key_count:
            self._log.warning(
                "Keys are held by several accounts; they count for none.",
                version=cfg.version,
                keys=self.accounts.shared_key_count,
            )
