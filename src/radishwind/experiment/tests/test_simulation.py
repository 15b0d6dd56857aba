"""Simulations of a fleet: what callers get under a load."""

import pathlib
import statistics

import msgspec
import pytest

from radishwind.core.codes import ResultCode
from radishwind.experiment import load_scenario
from radishwind.experiment import ScenarioError
from radishwind.experiment import simulate
from radishwind.experiment.report import RequestOutcome
from radishwind.experiment.scenario import Burst
from radishwind.experiment.scenario import PowerLoss
from radishwind.experiment.scenario import RequestKind
from radishwind.experiment.scenario import Scenario
from radishwind.experiment.scenario import ServiceModel
from radishwind.sidecar.switches import parse_switches

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples" / "experiments"

CALM = Scenario(
    services=(ServiceModel("a", targets=3, slots=4),),
    kinds=(
        RequestKind(
            "read", "a", per_s=20.0, work_s=0.05, aim_s=0.3, timeout_s=1.0
        ),
        RequestKind(
            "write",
            "a",
            per_s=10.0,
            work_s=0.05,
            aim_s=0.3,
            timeout_s=1.0,
            idempotent=False,
        ),
    ),
    length_s=5.0,
)


def test_light_load_is_answered_within_its_aim():
    report = simulate(CALM)

    assert len(report.records) > 100
    assert report.credit > 0.99


def test_result_is_deterministic_for_a_seed():
    assert simulate(CALM) == simulate(CALM)
    assert simulate(CALM) != simulate(msgspec.structs.replace(CALM, seed=2))


def test_nested_requests_run_and_are_not_reported_themselves():
    kinds = (
        msgspec.structs.replace(CALM.kinds[0], calls="inner"),
        RequestKind(
            "inner",
            "a",
            per_s=0.0,
            work_s=0.01,
            aim_s=0.1,
            timeout_s=0.4,
            worth=0.0,
        ),
    )

    report = simulate(msgspec.structs.replace(CALM, kinds=kinds))

    assert [row.kind for row in report.kind_summaries()] == ["read"]
    assert report.runs >= 2 * len(report.records)
    assert report.credit > 0.98


def test_fleet_recovers_soon_after_total_power_loss():
    lost = PowerLoss(at=2.0, for_s=0.5)

    report = simulate(
        msgspec.structs.replace(CALM, events=(lost,), length_s=8.0)
    )

    windows = dict(report.windows())
    assert windows[2.0] < 0.9
    assert windows[6.0] > 0.97


def test_overload_leads_to_refusals_and_late_responses_not_failures():
    burst = Burst(at=1.0, for_s=4.0, x=16.0)

    report = simulate(msgspec.structs.replace(CALM, events=(burst,)))

    assert report.credit < 0.9
    assert report.outcome_fraction(RequestOutcome.FAILED) < 0.05
    max_duration_s = max(a.duration_s for a in report.records)
    assert max_duration_s <= 1.0 + 0.2


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("services = []\nkinds = []", "services"),
        ("seed = 'x'", "seed"),
        ("seed = [", "x.toml"),
        ("colour = 1", "colour"),
        (
            "[[services]]\nname = 'a'\n[[kinds]]\nname = 'k'\nservice = 'b'\n"
            "per_s = 1.0\nwork_s = 1.0\naim_s = 1.0\ntimeout_s = 1.0",
            "expected a service of",
        ),
    ],
)
def test_scenario_error_names_the_fault(tmp_path, text, named):
    path = tmp_path / "x.toml"
    path.write_text(text)

    with pytest.raises(ScenarioError, match=named) as caught:
        load_scenario(path)

    assert caught.value.code is ResultCode.FILE_INVALID


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.toml")), ids=str)
def test_example_scenarios_load(path):
    assert load_scenario(path).kinds


def test_mechanisms_can_be_switched_off():
    assert simulate(CALM, parse_switches("hedges,room")).credit > 0.98


def test_learned_concurrency_limit_helps_servers_that_slow_down_near_capacity():
    """A learned concurrency limit keeps servers below their knee.

    Three servers complete 159 requests/s with all nine slots in use and 210/s
    with seven; the load is 180/s. Over four seeds the credit is 0.700 to 0.831
    with all slots in use and 0.805 to 0.941 with the learned limit, including
    the seconds of learning. A single seed is not conclusive: one additional
    event in the loop changed its gain from 0.056 to 0.028 and that of another
    from 0.084 to 0.134.
    """
    gains, worst_gains = [], []
    for seed in (1, 2, 3, 4):
        scenario = Scenario(
            services=(
                ServiceModel("a", targets=3, slots=9, knee=0.8, slower=1.7),
            ),
            kinds=(
                RequestKind(
                    "read",
                    "a",
                    per_s=180.0,
                    work_s=0.1,
                    aim_s=0.4,
                    timeout_s=1.5,
                ),
            ),
            length_s=8.0,
            seed=seed,
        )
        before = simulate(scenario, parse_switches("room"))
        after = simulate(scenario)
        gains.append(after.credit - before.credit)
        worst_gains.append(after.worst - before.worst)

    assert min(gains) > 0
    assert statistics.mean(gains) > 0.03
    assert statistics.mean(worst_gains) > 0
