"""Plots the credit of simulations over time."""

from collections.abc import Mapping
import pathlib

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from radishwind.experiment.report import Report
from radishwind.experiment.report import WINDOW_S


def draw(reports: Mapping[str, Report], path: pathlib.Path) -> None:
    """Plots `reports`, by label, into the file `path` (PNG or SVG)."""
    figure, axes = pyplot.subplots(figsize=(8, 4.5))
    for label, report in reports.items():
        windows = report.windows()
        axes.step(
            [at for at, _ in windows],
            [credit for _, credit in windows],
            where="post",
            label=f"{label} ({report.credit:.3f})",
        )
    axes.set_xlabel("second of the play")
    axes.set_ylabel(f"credit in {WINDOW_S:g} s, part of what was owed")
    axes.set_ylim(0, 1.02)
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
