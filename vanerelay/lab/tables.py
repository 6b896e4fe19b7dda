"""Rows of a play into tables: by second, service group and release. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from vanerelay.interface import SECOND
from vanerelay.lab.record import Row, What
from vanerelay.lab.rule_checker import Finding
from vanerelay.lab.scenario import Group

ENDS = ("met", "late", "pushed back", "errored", "lost", "unanswered")
LONGEST = 10 * 60 * SECOND  # of latencies that are told apart


def histogram() -> HdrHistogram:
    return HdrHistogram(1, LONGEST, 3)


@dataclass(slots=True)
class Cell:
    """What became of the needs that came up in one second, of one group, at one release."""

    ends: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=histogram)

    @property
    def offered(self) -> int:
        return sum(self.ends.values())

    def add(self, row: Row) -> None:
        self.ends[row.told] += 1
        if row.told in ("met", "late"):
            self.latency.record_value(max(1, min(LONGEST, int(row.figure))))

    def quantile(self, part: float) -> float:
        """Milliseconds from when the need came up, all tries together; 0 where none was returned."""
        return self.latency.get_value_at_percentile(part * 100) / 10 if self.latency.total_count else 0.0


@dataclass(slots=True)
class Table:
    """Cells by second of coming up, service group and release."""

    cells: defaultdict[tuple[int, str, str], Cell] = field(default_factory=lambda: defaultdict(Cell))
    dispatches: Counter[tuple[int, str]] = field(default_factory=Counter)  # by second and engine
    answers: Counter[tuple[int, str]] = field(default_factory=Counter)  # by second and manager

    def whole(self, *, group: str = "", release: str | None = None, since: int = 0) -> Cell:
        """All of a group, a release, or of both, of needs that came up from that second on."""
        found = Cell()
        for (second, name, at), cell in self.cells.items():
            if second >= since and group in ("", name) and release in (None, at):
                found.ends += cell.ends
                found.latency.add(cell.latency)
        return found

    @property
    def releases(self) -> list[str]:
        return sorted({release for _, _, release in self.cells})

    @property
    def seconds(self) -> int:
        return max((second for second, _, _ in self.cells), default=-1) + 1


def table(rows: Sequence[Row]) -> Table:
    found = Table()
    for row in rows:
        if row.what is What.OVER:
            came = (row.at - int(row.figure)) // SECOND
            found.cells[came, row.group, row.batch].add(row)
        elif row.what is What.ARRIVED:
            found.dispatches[row.at // SECOND, row.engine] += 1
        elif row.what is What.ANSWERED:
            found.answers[row.at // SECOND, row.manager] += 1
    return found


def utility(found: Table, groups: Iterable[Group], since: int = 0, release: str | None = None) -> float:
    """What part of the utility offered was reached within the goals."""
    met = offered = 0.0
    for group in groups:
        cell = found.whole(group=group.name, since=since, release=release)
        met += group.utility * cell.ends["met"]
        offered += group.utility * cell.offered
    return met / offered if offered else 1.0


HEAD = ("second", "group", "release", "offered", *(end.replace(" ", "_") for end in ENDS), "p50_ms", "p99_ms")


def lines(found: Table) -> Iterator[tuple[object, ...]]:
    """The table as CSV has it."""
    yield HEAD
    for (second, group, release), cell in sorted(found.cells.items()):
        yield (
            second,
            group,
            release,
            cell.offered,
            *(cell.ends[end] for end in ENDS),
            round(cell.quantile(0.5), 1),
            round(cell.quantile(0.99), 1),
        )


def summary(
    found: Table, rows: Sequence[Row], findings: Sequence[Finding], groups: Sequence[Group]
) -> dict[str, object]:
    """A play in a few figures."""
    done = Counter(row.what for row in rows)
    return {
        "served": round(utility(found, groups), 4),
        "groups": {
            group.name: {
                "offered": (cell := found.whole(group=group.name)).offered,
                **{end: cell.ends[end] for end in ENDS if cell.ends[end]},
                "p50_ms": round(cell.quantile(0.5), 1),
                "p99_ms": round(cell.quantile(0.99), 1),
            }
            for group in groups
        },
        "dispatches": done[What.ARRIVED],
        "engines_fallen": done[What.FELL],
        "connections": done[What.CALLED],
        "connections_refused": sum(row.what is What.CALLED and row.told == "refused" for row in rows),
        "findings": [
            {
                "rule": one.rule,
                "at_s": round(one.at / SECOND, 3),
                "batch": one.batch,
                "who": one.who,
                "text": one.text,
            }
            for one in findings
        ],
    }
