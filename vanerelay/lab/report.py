"""A play as one HTML file with its plots in it, and its table as CSV beside it."""

from __future__ import annotations

import csv
import html
import io
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib
import numpy as np

from vanerelay.interface import SECOND
from vanerelay.lab import tables
from vanerelay.lab.record import Row, What
from vanerelay.lab.rule_checker import Finding
from vanerelay.lab.scenario import Script

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

WIDE, HIGH = 10.0, 2.6  # inches of a plot
COLOURS = {
    "met": "#2a7",
    "late": "#db3",
    "pushed back": "#48c",
    "errored": "#c33",
    "lost": "#933",
    "unanswered": "#555",
}
STYLE = (
    "body{font:15px sans-serif;max-width:62em;margin:2em auto;color:#222}table{border-collapse:collapse}"
    "td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:right}td:first-child,th:first-child"
    "{text-align:left}svg{width:100%;height:auto}.bad{color:#b00}"
)


def write(
    path: Path,
    script: Script,
    seed: int,
    rows: Sequence[Row],
    findings: Sequence[Finding],
    slips: Sequence[tuple[int, int]],
) -> Path:
    """The report at `path`; gives where the table went."""
    table = tables.table(rows)
    told = tables.summary(table, rows, findings, script.groups)
    sheet = path.with_suffix(".csv")
    with sheet.open("w", newline="", encoding="utf-8") as file:
        csv.writer(file).writerows(tables.lines(table))
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(script.name)}</title>"
        f"<style>{STYLE}</style><h1>{html.escape(script.name)}, seed {seed}</h1>",
        _summary(told),
        _findings(findings),
    ]
    if slips:
        worst = max(late for _, late in slips) / 10
        parts.append(
            f"<p class=bad>The laboratory itself was late {len(slips)} times, by {worst:.0f} ms at most: "
            "answers in time around these moments were not judged.</p>"
        )
    marks = [(row.at / SECOND, row.told) for row in rows if row.what is What.FAULT]
    for title, plot in (
        ("What became of batches, by the second they came up", _ends),
        ("Goal met, by release", _releases),
        ("Latency of those returned, ms", _latency),
        ("Dispatches, by engine", _engines),
        ("Answers, by manager", _managers),
    ):
        parts.append(f"<h2>{title}</h2>{_svg(plot, table, script, marks)}")
    parts.append(
        f"<h2>Faults</h2><ul>{''.join(f'<li>{at:.1f} s: {html.escape(what)}' for at, what in marks)}</ul>"
    )
    parts.append(
        f"<p>Table: <a href='{html.escape(sheet.name)}'>{html.escape(sheet.name)}</a></p>"
        f"<details><summary>As JSON</summary><pre>{html.escape(json.dumps(told, indent=1))}</pre></details>"
    )
    path.write_text("".join(parts), encoding="utf-8")
    return sheet


def _summary(told: dict[str, Any]) -> str:
    head = "".join(f"<th>{name}" for name in ("group", "offered", *tables.ENDS, "p50 ms", "p99 ms"))
    body = "".join(
        f"<tr><td>{html.escape(name)}<td>{cell['offered']}"
        + "".join(f"<td>{cell.get(end, 0)}" for end in tables.ENDS)
        + f"<td>{cell['p50_ms']}<td>{cell['p99_ms']}"
        for name, cell in told["groups"].items()
    )
    return (
        f"<p>Utility reached within the goals: <b>{told['served']:.1%}</b>; {told['dispatches']} dispatches; "
        f"{told['engines_fallen']} engines fell over.</p><table><tr>{head}{body}</table>"
    )


def _findings(findings: Sequence[Finding]) -> str:
    if not findings:
        return "<p>All rules kept, no crash.</p>"
    rows = "".join(
        f"<tr><td>{one.rule}<td>{one.at / SECOND:.3f}<td>{one.batch}<td>{html.escape(one.who)}"
        f"<td>{html.escape(one.text)}"
        for one in findings[:200]
    )
    return (
        f"<p class=bad>{len(findings)} findings (rule 0: a crash; 8: an effect done twice).</p>"
        f"<table><tr><th>rule<th>at s<th>batch<th>who<th>what{rows}</table>"
    )


def _svg(plot: Any, table: tables.Table, script: Script, marks: Sequence[tuple[float, str]]) -> str:
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH), layout="constrained")
    plot(axes, table, script)
    for at, _ in marks:
        axes.axvline(at, color="#999", linewidth=0.6, linestyle=":")
    axes.set_xlim(0, max(1, table.seconds))
    axes.set_xlabel("s")
    out = io.StringIO()
    figure.savefig(out, format="svg")
    pyplot.close(figure)
    text = out.getvalue()
    return text[text.index("<svg") :]


def _by_second(table: tables.Table, value: Any) -> np.ndarray[Any, Any]:
    return np.array([value(second) for second in range(table.seconds)], dtype=float)


def _ends(axes: Any, table: tables.Table, script: Script) -> None:
    seconds = np.arange(table.seconds)
    lines = {
        end: _by_second(
            table,
            lambda at, end=end: sum(
                cell.ends[end] for (second, _, _), cell in table.cells.items() if second == at
            ),
        )
        for end in tables.ENDS
    }
    axes.stackplot(
        seconds, *lines.values(), labels=list(lines), colors=[COLOURS[end] for end in lines], step="post"
    )
    axes.legend(loc="upper left", fontsize=7, ncols=6)


def _releases(axes: Any, table: tables.Table, script: Script) -> None:
    for release in table.releases:
        met = _by_second(
            table,
            lambda at, release=release: sum(
                cell.ends["met"]
                for (second, _, one), cell in table.cells.items()
                if (second, one) == (at, release)
            ),
        )
        whole = _by_second(
            table,
            lambda at, release=release: sum(
                cell.offered
                for (second, _, one), cell in table.cells.items()
                if (second, one) == (at, release)
            ),
        )
        part = np.divide(met, whole, out=np.full_like(met, np.nan), where=whole > 0)
        axes.plot(np.arange(len(part)) + 0.5, part, label=release or "this one", linewidth=1.2)
    axes.set_ylim(0, 1.02)
    axes.legend(loc="lower left", fontsize=7)


def _latency(axes: Any, table: tables.Table, script: Script) -> None:
    for group in script.groups:
        for part, style in ((0.5, "-"), (0.99, ":")):
            values = list[float]()
            for second in range(table.seconds):
                cell = tables.Cell()
                for (at, name, _), one in table.cells.items():
                    if (at, name) == (second, group.name):
                        cell.latency.add(one.latency)
                values.append(cell.quantile(part) or float("nan"))
            axes.plot(
                np.arange(len(values)) + 0.5,
                values,
                style,
                label=f"{group.name} p{part * 100:.0f}",
                linewidth=1.0,
            )
    axes.set_yscale("log")
    axes.legend(loc="upper left", fontsize=7, ncols=4)


def _engines(axes: Any, table: tables.Table, script: Script) -> None:
    _grid(axes, table, {name for _, name in table.dispatches}, table.dispatches)


def _managers(axes: Any, table: tables.Table, script: Script) -> None:
    _grid(axes, table, {name for _, name in table.answers}, table.answers)


def _grid(axes: Any, table: tables.Table, names: set[str], told: Any) -> None:
    rows = sorted(names, key=lambda name: (len(name), name))
    if not rows:
        return
    grid = np.array([[told[second, name] for second in range(max(1, table.seconds))] for name in rows])
    axes.imshow(
        grid,
        aspect="auto",
        interpolation="none",
        cmap="Greens",
        extent=(0, max(1, table.seconds), len(rows) - 0.5, -0.5),
    )
    axes.set_yticks(range(len(rows)), rows, fontsize=5 if len(rows) > 12 else 7)
