"""Burn rates over several windows.

A burn of 1 uses up exactly what the objective allows; 14.4 uses a month's
allowance in two days. Fast windows catch outages, slow ones a lasting loss.
"""

from collections.abc import Iterable
import dataclasses

from radishwind.burn.ledger import merged
from radishwind.burn.ledger import ServiceMinutes
from radishwind.burn.ledger import totals

#: The windows (minutes), shortest first.
WINDOWS_MIN = (5, 30, 60, 360)


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRow:
    """The burn of one objective of one service over one window.

    Attributes:
      service: the service.
      objective: `success` or `latency`.
      target: share of requests that must meet it.
      window_min: the window (minutes).
      requests: requests in it.
      bad: of these, how many missed the objective.
      burn: the share missed over the share allowed; 0 without requests.
    """

    service: str
    objective: str
    target: float
    window_min: int
    requests: int
    bad: int
    burn: float


def merge(nodes: Iterable[list[ServiceMinutes]]) -> list[ServiceMinutes]:
    """Returns the sum of several nodes' ledgers, by service."""
    by_service: dict[str, list[ServiceMinutes]] = {}
    for services in nodes:
        for entry in services:
            by_service.setdefault(entry.service, []).append(entry)
    return [
        ServiceMinutes(
            service,
            entries[0].latency_target,
            entries[0].success_target,
            entries[0].latency_objective_ms,
            merged([entry.minutes for entry in entries]),
        )
        for service, entries in sorted(by_service.items())
    ]


def burn_rows(
    services: Iterable[ServiceMinutes], now_minute: int
) -> list[BurnRow]:
    """Returns the burn of every objective over every window.

    Args:
      services: merged ledgers.
      now_minute: the current minute since the epoch, UTC; windows end with it.
    """
    rows = []
    for entry in services:
        for window in WINDOWS_MIN:
            total = totals(entry.minutes, now_minute - window + 1)
            for objective, target, bad in (
                ("success", entry.success_target, total.failed),
                ("latency", entry.latency_target, total.slow),
            ):
                burn = _burn(bad, total.requests, target)
                rows.append(
                    BurnRow(
                        entry.service,
                        objective,
                        target,
                        window,
                        total.requests,
                        bad,
                        burn,
                    )
                )
    return rows


def _burn(bad: int, requests: int, target: float) -> float:
    if not requests:
        return 0.0
    allowed = max(1.0 - target, 1e-9)
    return bad / requests / allowed
