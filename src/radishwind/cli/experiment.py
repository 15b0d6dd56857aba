"""`radishwind experiment`: simulates a load on a fleet of nodes."""

import pathlib
from typing import Annotated

import msgspec
import typer

from radishwind.settings import SettingError


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("experiment")(_experiment)


def _experiment(
    file: Annotated[
        pathlib.Path, typer.Argument(help="Scenario, a TOML file.")
    ],
    without: Annotated[
        list[str] | None,
        typer.Option(
            help="Play also with these mechanisms off; names with commas "
            "between them, once for each play."
        ),
    ] = None,
    seed: Annotated[
        list[int] | None, typer.Option(help="Seeds; that of the file if none.")
    ] = None,
    plot: Annotated[
        pathlib.Path | None, typer.Option(help="Picture, PNG or SVG.")
    ] = None,
) -> None:
    """Play a scenario in virtual time and tell what callers got."""
    from radishwind.experiment import load_scenario
    from radishwind.experiment import simulate
    from radishwind.experiment.report import format_report
    from radishwind.experiment.report import Report
    from radishwind.sidecar.switches import parse_switches

    scenario = load_scenario(file)
    reports: dict[str, Report] = {}
    for names in ["", *(without or ())]:
        switches = parse_switches(names)
        for scenario_seed in seed or [scenario.seed]:
            label = f"without {names}" if names else "all on"
            label += f", seed {scenario_seed}"
            seeded_scenario = msgspec.structs.replace(
                scenario, seed=scenario_seed
            )
            reports[label] = simulate(seeded_scenario, switches)
            typer.echo(f"{label}: {format_report(reports[label])}")
    if plot is None:
        return
    from radishwind.experiment.plot import draw

    try:
        draw(reports, plot)
    except (OSError, ValueError) as exc:
        raise SettingError(f"--plot: expected a picture file: {exc}") from exc
