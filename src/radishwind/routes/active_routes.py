"""The route configuration in force on a node; its version only rises."""

from collections.abc import Callable

from radishwind.accounts.account_index import AccountIndex
from radishwind.core.clock import Clock
from radishwind.routes.model import RouteConfig
from radishwind.routes.route_table import RouteTable
from radishwind.supervision import Duty
from radishwind.supervision import Listeners
from radishwind.telemetry.part_logger import PartLogger


class ActiveRoutes:
    """Holds the newest configuration and notifies listeners of each adoption.

    Attributes:
      cfg: the configuration in force; `None` before the first.
      table: index of its routes.
      accounts: index of its client accounts.
      raw: the configuration as the operator wrote it, to be sent to peers.
      source: where it was received from.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._log = PartLogger("routes", clock)
        self._listeners: Listeners[RouteConfig] = Listeners("routes.adoption")
        self.cfg: RouteConfig | None = None
        self.table = RouteTable(())
        self.accounts = AccountIndex()
        self.raw = b""
        self.source = ""
        self._adopted_at = 0.0

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.cfg.version if self.cfg else 0

    @property
    def age_s(self) -> float:
        """Time since the version in force was adopted (s)."""
        return self._clock.monotonic() - self._adopted_at

    def subscribe(self, listener: Callable[[RouteConfig], None]) -> None:
        """Registers `listener`, called after each adoption."""
        self._listeners.add(listener)

    @property
    def retries(self) -> Duty:
        """The duty that calls again the listeners that failed."""
        return self._listeners.retries

    def adopt(self, cfg: RouteConfig, raw: bytes, source: str) -> bool:
        """Adopts `cfg` if its version is higher than the one in force.

        Args:
          cfg: the decoded configuration.
          raw: the configuration as the operator wrote it.
          source: where it was received from, for the log.

        Returns:
          Whether it was adopted.
        """
        if cfg.version <= self.version:
            return False
        previous = self.version
        self._update_accounts(cfg)
        self.cfg = cfg
        self.table = RouteTable(cfg.routes)
        self.raw = raw
        self.source = source
        self._adopted_at = self._clock.monotonic()
        self._log.change(
            "Adopted a configuration.",
            version=cfg.version,
            before=previous,
            source=source,
            routes=len(cfg.routes),
            accounts=len(cfg.accounts),
        )
        self._listeners.notify(cfg)
        return True

    def _update_accounts(self, cfg: RouteConfig) -> None:
        """Rebuilds the account index if `cfg` changes the accounts."""
        if self.cfg is not None and cfg.accounts == self.cfg.accounts:
            return
        self.accounts = AccountIndex(cfg.accounts)
        if self.accounts.shared_key_count:
            self._log.warning(
                "Keys held by several accounts are ignored.",
                version=cfg.version,
                keys=self.accounts.shared_key_count,
            )
