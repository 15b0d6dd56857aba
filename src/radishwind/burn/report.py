"""Burn rates of the objectives over several windows.

A burn rate of 1 consumes exactly the error budget; 14.4 consumes the budget of
a month in two days. Short windows detect outages, long ones a slow but lasting
loss.
"""

from collections.abc import Iterable
import dataclasses

from radishwind.burn.ledger import merge_minutes
from radishwind.burn.ledger import ServiceMinutes
from radishwind.burn.ledger import total_since

#: Lengths of the windows, shortest first.
WINDOWS_MIN = (5, 30, 60, 360)


@dataclasses.dataclass(frozen=True, slots=True)
class BurnRow:
    """Burn rate of one objective of one service over one window.

    Attributes:
      service: name of the service.
      objective: `success` or `latency`.
      target: fraction of requests that must meet the objective.
      window_min: length of the window (minutes).
      requests: number of requests in the window.
      bad: number of these that missed the objective.
      burn: fraction missed divided by the fraction allowed; 0 without requests.
    """

    service: str
    objective: str
    target: float
    window_min: int
    requests: int
    bad: int
    burn: float


def merge(nodes: Iterable[list[ServiceMinutes]]) -> list[ServiceMinutes]:
    """Merges the counts of several nodes, by service.

    The objectives are those of the first node that counts the service.
    """
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
            merge_minutes([entry.minutes for entry in entries]),
        )
        for service, entries in sorted(by_service.items())
    ]


def burn_rows(
    services: Iterable[ServiceMinutes], now_minute: int
) -> list[BurnRow]:
    """Returns the burn rate of every objective over every window.

    Args:
      services: merged counts.
      now_minute: last minute of the windows (minutes since the epoch, UTC).
    """
    rows = []
    for entry in services:
        for window in WINDOWS_MIN:
            total = total_since(entry.minutes, now_minute - window + 1)
            for objective, target, bad in (
                ("success", entry.success_target, total.failed),
                ("latency", entry.latency_target, total.slow),
            ):
                burn = _burn_rate(bad, total.requests, target)
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


def _burn_rate(bad: int, requests: int, target: float) -> float:
    if not requests:
        return 0.0
    allowed = max(1.0 - target, 1e-9)
    return bad / requests / allowed
