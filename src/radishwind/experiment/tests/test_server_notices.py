"""A fleet in which some servers state a request limit, or that they leave."""

import msgspec
import pytest

from radishwind.experiment import simulate
from radishwind.experiment.scenario import LeavingServers
from radishwind.experiment.scenario import LimitedServers
from radishwind.experiment.scenario import Noise
from radishwind.experiment.scenario import NoiseLaw
from radishwind.experiment.scenario import RequestKind
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ServiceModel

FLEET = Scenario(
    services=(
        ServiceModel(
            "clips",
            targets=6,
            slots=6,
            noise=Noise(NoiseLaw.GRID, 0.25, 5.0, 0.15),
        ),
    ),
    kinds=(
        RequestKind(
            "view",
            "clips",
            per_s=60.0,
            work_s=0.09,
            aim_s=0.3,
            timeout_s=1.2,
            returns=1,
        ),
        RequestKind(
            "release",
            "clips",
            per_s=15.0,
            work_s=0.09,
            aim_s=0.3,
            timeout_s=1.2,
            priority=0,
            worth=3.0,
            idempotent=False,
            returns=1,
        ),
    ),
    length_s=14.0,
)


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("in_health_responses", [True, False])
def test_limited_servers_do_not_exceed_their_limit(seed, in_health_responses):
    limited = LimitedServers(
        at=3.0,
        for_s=9.0,
        service="clips",
        per_s=2.0,
        in_health_responses=in_health_responses,
    )

    report = simulate(
        msgspec.structs.replace(FLEET, seed=seed, events=(limited,))
    )

    assert report.limit_excess == 0
    assert report.credit >= 0.9


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leaving_servers_get_no_late_requests(seed):
    leaving = LeavingServers(at=3.0, for_s=5.0, service="clips")

    report = simulate(
        msgspec.structs.replace(FLEET, seed=seed, events=(leaving,))
    )

    assert report.late_arrivals == 0
    assert report.credit >= 0.9
