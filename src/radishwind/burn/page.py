"""The burn report as a self-contained HTML page with a plot."""

from collections.abc import Sequence
import html
import io

from radishwind.burn.report import BurnRow
from radishwind.burn.report import WINDOWS_MIN

_STYLE = (
    "body{font-family:sans-serif;margin:2em}"
    "td,th{padding:.2em .8em;text-align:right}"
    "td:first-child,th:first-child{text-align:left}"
    ".hot{color:#b00020;font-weight:bold}"
)

#: Burn rates from this value on are highlighted.
HOT_BURN = 1.0


def burn_page(rows: Sequence[BurnRow], made_at: str) -> str:
    """Renders an HTML page with a bar plot (SVG) and a table.

    Args:
      rows: burn rates.
      made_at: time of the report, as shown on the page.
    """
    return (
        "<!doctype html><html lang='en'><head><meta charset='utf-8'>"
        f"<title>Service-level burn</title><style>{_STYLE}</style></head>"
        f"<body><h1>Service-level burn</h1><p>{html.escape(made_at)}</p>"
        f"{_plot(rows)}{_table(rows)}</body></html>\n"
    )


def _table(rows: Sequence[BurnRow]) -> str:
    table_rows = "".join(_table_row(row) for row in rows)
    names = ("service", "objective", "target", "window (min)", "requests")
    headings = "".join(f"<th>{n}</th>" for n in (*names, "missed", "burn"))
    return f"<table><tr>{headings}</tr>{table_rows}</table>"


def _table_row(row: BurnRow) -> str:
    hot = " class='hot'" if row.burn >= HOT_BURN else ""
    return (
        f"<tr><td>{html.escape(row.service)}</td><td>{row.objective}</td>"
        f"<td>{row.target:.4g}</td><td>{row.window_min}</td>"
        f"<td>{row.requests}</td><td>{row.bad}</td>"
        f"<td{hot}>{row.burn:.2f}</td></tr>"
    )


def _plot(rows: Sequence[BurnRow]) -> str:
    import matplotlib as mpl

    mpl.use("svg")
    from matplotlib import pyplot as plt

    names = sorted({f"{row.service} {row.objective}" for row in rows})
    if not names:
        return "<p>No requests were counted.</p>"
    figure, axes = plt.subplots(figsize=(8, 1 + 0.5 * len(names)))
    height = 0.8 / len(WINDOWS_MIN)
    for number, window in enumerate(WINDOWS_MIN):
        burns = {
            f"{r.service} {r.objective}": r.burn
            for r in rows
            if r.window_min == window
        }
        positions = [i + number * height for i in range(len(names))]
        values = [burns.get(name, 0.0) for name in names]
        axes.barh(positions, values, height, label=f"{window} min")
    axes.set_yticks([p + 0.3 for p in range(len(names))], names)
    axes.axvline(HOT_BURN, color="black", linewidth=0.8)
    axes.set_xlabel("burn (1 uses up exactly what the objective allows)")
    axes.legend()
    figure.tight_layout()
    out = io.StringIO()
    figure.savefig(out, format="svg")
    plt.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]
