"""Recovery of a fleet whose servers are all cold.

The requests of the load send nested requests, and cold servers of the called
service sustain a third of the total request rate; sent more, they crash and
restart cold. The tests check the credit that callers earn.
"""

import msgspec
import pytest

from radishwind.experiment import simulate
from radishwind.experiment.scenario import DomainEvacuation
from radishwind.experiment.scenario import Noise
from radishwind.experiment.scenario import NoiseLaw
from radishwind.experiment.scenario import PowerLoss
from radishwind.experiment.scenario import RequestKind
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ServiceModel

NOISE = Noise(NoiseLaw.GRID, 0.25, 5.0, 0.15)


def service(name, targets):
    return ServiceModel(
        name,
        targets=targets,
        slots=5,
        knee=0.8,
        slower=1.7,
        cold_s=3.0,
        cold_x=2.0,
        cold_per_s=7.0,
        noise=NOISE,
    )


FLEET = Scenario(
    services=(
        service("bulletins", 6),
        service("alerts", 10),
        service("bookings", 4),
    ),
    kinds=(
        RequestKind(
            "read",
            "bulletins",
            per_s=32.0,
            work_s=0.13,
            aim_s=0.46,
            timeout_s=1.04,
            priority=2,
            calls="tide",
            calls_share=0.7,
            returns=1,
        ),
        RequestKind(
            "subscribe",
            "alerts",
            per_s=40.0,
            work_s=0.18,
            aim_s=0.58,
            timeout_s=1.24,
            priority=1,
            worth=2.0,
            late_worth=0.2,
            idempotent=False,
            calls="buoy",
            calls_share=0.7,
            calls_times=2,
            returns=1,
        ),
        RequestKind(
            "book",
            "bookings",
            per_s=8.0,
            work_s=0.09,
            aim_s=0.3,
            timeout_s=0.64,
            priority=0,
            worth=3.0,
            late_worth=0.3,
            idempotent=False,
            returns=1,
        ),
        RequestKind(
            "tide",
            "alerts",
            per_s=0.0,
            work_s=0.033,
            aim_s=0.14,
            timeout_s=0.42,
            worth=0.0,
            returns=0,
        ),
        RequestKind(
            "buoy",
            "bookings",
            per_s=0.0,
            work_s=0.033,
            aim_s=0.14,
            timeout_s=0.42,
            worth=0.0,
            returns=0,
        ),
    ),
    events=(PowerLoss(at=3.0, for_s=1.0),),
    length_s=13.0,
)


def credits(report, *, since):
    return [credit for began, credit in report.windows() if began >= since]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fleet_recovers_from_power_loss_without_crashes(seed):
    report = simulate(msgspec.structs.replace(FLEET, seed=seed))

    assert report.cold_crashes == 0
    assert min(credits(report, since=9.0)[:-1]) >= 0.85
    assert sum(credits(report, since=9.0)[:-1]) >= 0.9 * len(
        credits(report, since=9.0)[:-1]
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_evacuated_failure_domain_returns_cold_without_crashes(seed):
    emptied = DomainEvacuation(at=3.0, for_s=4.0, domain="d1")

    report = simulate(
        msgspec.structs.replace(FLEET, seed=seed, events=(emptied,))
    )

    assert report.cold_crashes == 0
    assert report.credit >= 0.85
