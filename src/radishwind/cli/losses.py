"""`radishwind losses`: summarizes lost requests by route and cause."""

import collections
import pathlib
from typing import Annotated

import typer

from radishwind.cli.explain import RequestNotLoggedError
from radishwind.settings import SettingError
from radishwind.telemetry.explain import read_log
from radishwind.telemetry.losses import Loss
from radishwind.telemetry.losses import LossSummary
from radishwind.telemetry.losses import summarize_losses


def add_to(app: typer.Typer) -> None:
    """Adds the command to `app`."""
    app.command("losses")(_losses)


def _losses(
    logs: Annotated[
        list[pathlib.Path], typer.Argument(help="Logs of the nodes.")
    ],
    plot: Annotated[
        pathlib.Path | None,
        typer.Option(help="Picture of the losses over time, PNG or SVG."),
    ] = None,
) -> None:
    """Tell by what requests lost their worth, by route, the greatest first."""
    try:
        summary = summarize_losses(
            line for path in logs for line in read_log(path)
        )
    except OSError as exc:
        raise RequestNotLoggedError(f"expected readable logs: {exc}") from exc
    typer.echo(_format_table(summary))
    if plot is None:
        return
    try:
        _plot(summary, plot)
    except (OSError, ValueError) as exc:
        raise SettingError(f"--plot: expected a picture file: {exc}") from exc


def _format_table(summary: LossSummary) -> str:
    lines = [f"{'route':<24}{'lost by':<24}{'requests':>9}{'mean ms':>9}"]
    lines += [
        f"{row.route:<24}{row.loss:<24}{row.requests:>9}{row.mean_ms:>9.0f}"
        for row in summary.rows
    ]
    total: collections.Counter[Loss] = collections.Counter()
    for row in summary.rows:
        total[row.loss] += row.requests
    lines += [f"{'all':<24}{x:<24}{n:>9}" for x, n in total.most_common()]
    lines.append(f"{summary.held_back} further lines were held back")
    return "\n".join(lines)


def _plot(summary: LossSummary, path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    seconds = sorted(summary.by_second)
    begin = seconds[0] if seconds else 0
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    axes.stackplot(
        [second - begin for second in seconds],
        [[summary.by_second[s][loss] for s in seconds] for loss in Loss],
        labels=list(Loss),
    )
    axes.set_xlabel("second of the log")
    axes.set_ylabel("requests")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
