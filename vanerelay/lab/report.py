"""A run as one HTML file with its plots in it, and its table as CSV beside it."""

from __future__ import annotations

import csv
import html
import io
import json
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.lab import tables
from vanerelay.lab.event_log import Event, EventKind, Lateness, RequestOutcome
from vanerelay.lab.rule_checker import Finding
from vanerelay.lab.scenario_config import Scenario

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

PLOT_WIDTH_IN, PLOT_HEIGHT_IN = 10.0, 2.6
MAX_FINDINGS = 200
"""That the page lists."""
MANY_ROWS = 12
"""From which on a grid has small labels."""
COLOURS = {
    RequestOutcome.MET: "#2a7",
    RequestOutcome.LATE: "#db3",
    RequestOutcome.REJECTED: "#48c",
    RequestOutcome.FAILED: "#c33",
    RequestOutcome.LOST: "#933",
    RequestOutcome.UNANSWERED: "#555",
}
Plot = Callable[[Any, tables.Table, Scenario], None]
"""Draws on the axes that it is given."""
STYLE = (
    "body{font:15px sans-serif;max-width:62em;margin:2em auto;color:#222}table{border-collapse:collapse}"
    "td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child"
    "{text-align:left}svg{width:100%;height:auto}.bad{color:#b00}"
)


def write(
    path: Path,
    scenario: Scenario,
    seed: int,
    events: Sequence[Event],
    findings: Sequence[Finding],
    latenesses: Sequence[Lateness],
) -> Path:
    """Writes the report at `path`, and the table beside it; returns where the table is."""
    table = tables.make_table(events)
    summary = tables.summary(table, events, findings, scenario.service_classes)
    csv_path = path.with_suffix(".csv")
    with csv_path.open("w", newline="", encoding="utf-8") as file:
        csv.writer(file).writerows(tables.csv_rows(table))
    faults = [(event.at / SECOND, event.detail) for event in events if event.kind is EventKind.FAULT]
    title = html.escape(scenario.name)
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{title}</title>"
        f"<style>{STYLE}</style><h1>{title}, seed {seed}</h1>",
        _summary(summary),
        _findings(findings),
        _latenesses(latenesses),
        *_plots(table, scenario, faults),
        _faults(faults),
        f"<p>Table: <a href='{html.escape(csv_path.name)}'>{html.escape(csv_path.name)}</a></p>"
        "<details><summary>As JSON</summary>"
        f"<pre>{html.escape(json.dumps(summary, indent=1))}</pre></details>",
    ]
    path.write_text("".join(parts), encoding="utf-8")
    return csv_path


def _latenesses(latenesses: Sequence[Lateness]) -> str:
    if not latenesses:
        return ""
    worst_ms = max(one.late_by for one in latenesses) / MILLISECOND
    return (
        f"<p class=bad>The laboratory itself was late {len(latenesses)} times, "
        f"by {worst_ms:.0f} ms at most: answers in time around these moments were not judged.</p>"
    )


def _faults(faults: Sequence[tuple[float, str]]) -> str:
    items = "".join(f"<li>{at:.1f} s: {html.escape(what)}" for at, what in faults)
    return f"<h2>Faults</h2><ul>{items}</ul>"


def _plots(table: tables.Table, scenario: Scenario, faults: Sequence[tuple[float, str]]) -> Iterator[str]:
    plots: tuple[tuple[str, Plot], ...] = (
        ("What became of batches, by the second they came up", _plot_outcomes),
        ("Goal met, by release", _plot_releases),
        ("Latency of those returned, ms", _plot_latencies),
        ("Dispatches, by engine", _plot_engines),
        ("Answers, by manager", _plot_gateways),
    )
    for title, plot in plots:
        yield f"<h2>{title}</h2>{_svg(plot, table, scenario, faults)}"


def _summary(summary: dict[str, Any]) -> str:
    head = "".join(f"<th>{name}" for name in ("group", "offered", *tables.OUTCOMES, "p50 ms", "p99 ms"))
    body = "".join(
        f"<tr><td>{html.escape(name)}<td>{cell['offered']}"
        + "".join(f"<td>{cell.get(outcome, 0)}" for outcome in tables.OUTCOMES)
        + f"<td>{cell['p50_ms']}<td>{cell['p99_ms']}"
        for name, cell in summary["groups"].items()
    )
    return (
        f"<p>Utility reached within the goals: <b>{summary['served']:.1%}</b>; "
        f"{summary['dispatches']} dispatches; "
        f"{summary['engines_fallen']} engines fell over.</p><table><tr>{head}{body}</table>"
    )


def _findings(findings: Sequence[Finding]) -> str:
    if not findings:
        return "<p>All rules kept, no crash.</p>"
    rows = "".join(
        f"<tr><td>{finding.rule}<td>{finding.at / SECOND:.3f}<td>{finding.query}"
        f"<td>{html.escape(finding.who)}<td>{html.escape(finding.text)}"
        for finding in findings[:MAX_FINDINGS]
    )
    return (
        f"<p class=bad>{len(findings)} findings (rule 0: a crash; 8: an effect done twice).</p>"
        f"<table><tr><th>rule<th>at s<th>batch<th>who<th>what{rows}</table>"
    )


def _svg(plot: Plot, table: tables.Table, scenario: Scenario, faults: Sequence[tuple[float, str]]) -> str:
    figure, axes = pyplot.subplots(figsize=(PLOT_WIDTH_IN, PLOT_HEIGHT_IN), layout="constrained")
    plot(axes, table, scenario)
    for at, _ in faults:
        axes.axvline(at, color="#999", linewidth=0.6, linestyle=":")
    axes.set_xlim(0, max(1, table.seconds))
    axes.set_xlabel("s")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _by_second(table: tables.Table, value: Callable[[int], float]) -> np.ndarray[Any, Any]:
    return np.array([value(second) for second in range(table.seconds)], dtype=float)


def _plot_outcomes(axes: Any, table: tables.Table, _: Scenario) -> None:
    def counts(outcome: RequestOutcome) -> np.ndarray[Any, Any]:
        return _by_second(
            table,
            lambda at: sum(
                cell.outcomes[outcome] for (second, _, _), cell in table.cells.items() if second == at
            ),
        )

    axes.stackplot(
        np.arange(table.seconds),
        *(counts(outcome) for outcome in tables.OUTCOMES),
        labels=[outcome.value for outcome in tables.OUTCOMES],
        colors=[COLOURS[outcome] for outcome in tables.OUTCOMES],
        step="post",
    )
    axes.legend(loc="upper left", fontsize=7, ncols=6)


def _plot_releases(axes: Any, table: tables.Table, _: Scenario) -> None:
    for release in table.releases:
        met = _release_counts(table, release, lambda cell: cell.outcomes[RequestOutcome.MET])
        offered = _release_counts(table, release, lambda cell: cell.offered)
        part = np.divide(met, offered, out=np.full_like(met, np.nan), where=offered > 0)
        axes.plot(np.arange(len(part)) + 0.5, part, label=release or "this one", linewidth=1.2)
    axes.set_ylim(0, 1.02)
    axes.legend(loc="lower left", fontsize=7)


def _release_counts(
    table: tables.Table, release: str, count: Callable[[tables.Cell], int]
) -> np.ndarray[Any, Any]:
    return _by_second(
        table,
        lambda at: sum(
            count(cell)
            for (second, _, of_release), cell in table.cells.items()
            if (second, of_release) == (at, release)
        ),
    )


def _plot_latencies(axes: Any, table: tables.Table, scenario: Scenario) -> None:
    for service_class in scenario.service_classes:
        for part, style in ((0.5, "-"), (0.99, ":")):
            values = [
                _quantile_ms(table, second, service_class.name, part) for second in range(table.seconds)
            ]
            axes.plot(
                np.arange(len(values)) + 0.5,
                values,
                style,
                label=f"{service_class.name} p{part * 100:.0f}",
                linewidth=1.0,
            )
    axes.set_yscale("log")
    axes.legend(loc="upper left", fontsize=7, ncols=4)


def _quantile_ms(table: tables.Table, second: int, service_class: str, part: float) -> float:
    """Over all releases; not a number where nothing was completed."""
    total = tables.Cell()
    for (at, name, _), cell in table.cells.items():
        if (at, name) == (second, service_class):
            total.latencies.add(cell.latencies)
    return total.quantile_ms(part) or float("nan")


def _plot_engines(axes: Any, table: tables.Table, _: Scenario) -> None:
    _plot_grid(axes, table, table.attempts)


def _plot_gateways(axes: Any, table: tables.Table, _: Scenario) -> None:
    _plot_grid(axes, table, table.answers)


def _plot_grid(axes: Any, table: tables.Table, counts: Counter[tuple[int, str]]) -> None:
    """Counts by second and name, one row a name."""
    names = sorted({name for _, name in counts}, key=lambda name: (len(name), name))
    if not names:
        return
    seconds = max(1, table.seconds)
    grid = np.array([[counts[second, name] for second in range(seconds)] for name in names])
    axes.imshow(
        grid, aspect="auto", interpolation="none", cmap="Greens", extent=(0, seconds, len(names) - 0.5, -0.5)
    )
    axes.set_yticks(range(len(names)), names, fontsize=5 if len(names) > MANY_ROWS else 7)


__all__ = ["write"]
