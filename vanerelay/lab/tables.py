"""Events of a run as tables: by second, service class and release. Pure."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from vanerelay.interface import MILLISECOND, SECOND
from vanerelay.lab.event_log import CONNECTION_REFUSED, Event, EventKind, RequestOutcome
from vanerelay.lab.rule_checker import Finding
from vanerelay.lab.scenario_config import ServiceClass

OUTCOMES = tuple(RequestOutcome)
LONGEST_LATENCY = 10 * 60 * SECOND
"""Of those that are told apart."""
HISTOGRAM_DIGITS = 3


def new_histogram() -> HdrHistogram:
    """An empty histogram of latencies in ticks."""
    return HdrHistogram(1, LONGEST_LATENCY, HISTOGRAM_DIGITS)


@dataclass(slots=True)
class Cell:
    """What became of the requests that came up in one second, of one service class, at one release."""

    outcomes: Counter[str] = field(default_factory=Counter)
    latencies: HdrHistogram = field(default_factory=new_histogram)

    @property
    def offered(self) -> int:
        """All requests."""
        return sum(self.outcomes.values())

    def add(self, event: Event) -> None:
        """Counts a request that has ended."""
        self.outcomes[event.detail] += 1
        if event.detail in (RequestOutcome.MET, RequestOutcome.LATE):
            self.latencies.record_value(max(1, min(LONGEST_LATENCY, int(event.value))))

    def quantile_ms(self, part: float) -> float:
        """From when the request came up, over all its queries; 0 where none was completed."""
        if not self.latencies.total_count:
            return 0.0
        return float(self.latencies.get_value_at_percentile(part * 100) / MILLISECOND)


@dataclass(slots=True)
class Table:
    """Cells by second of coming up, service class and release.

    Attributes:
        attempts: by second and engine.
        answers: by second and gateway.
    """

    cells: defaultdict[tuple[int, str, str], Cell] = field(default_factory=lambda: defaultdict(Cell))
    attempts: Counter[tuple[int, str]] = field(default_factory=Counter)
    answers: Counter[tuple[int, str]] = field(default_factory=Counter)

    def total(self, *, service_class: str = "", release: str | None = None, since: int = 0) -> Cell:
        """All of a service class, a release, or of both, of requests that came up from that second on."""
        total = Cell()
        for (second, name, of_release), cell in self.cells.items():
            if second >= since and service_class in ("", name) and release in (None, of_release):
                total.outcomes += cell.outcomes
                total.latencies.add(cell.latencies)
        return total

    @property
    def releases(self) -> list[str]:
        """All releases in order of name."""
        return sorted({release for _, _, release in self.cells})

    @property
    def seconds(self) -> int:
        """How many seconds there are."""
        return max((second for second, _, _ in self.cells), default=-1) + 1


def make_table(events: Sequence[Event]) -> Table:
    """The table of a run."""
    table = Table()
    for event in events:
        if event.kind is EventKind.REQUEST_ENDED:
            came_up = (event.at - int(event.value)) // SECOND
            table.cells[came_up, event.service_class, event.query].add(event)
        elif event.kind is EventKind.ARRIVED:
            table.attempts[event.at // SECOND, event.engine] += 1
        elif event.kind is EventKind.ANSWERED:
            table.answers[event.at // SECOND, event.gateway] += 1
    return table


def served_value(
    table: Table, service_classes: Iterable[ServiceClass], since: int = 0, release: str | None = None
) -> float:
    """What part of the value offered was earned within the latency objectives."""
    earned = offered = 0.0
    for service_class in service_classes:
        cell = table.total(service_class=service_class.name, since=since, release=release)
        earned += service_class.value * cell.outcomes[RequestOutcome.MET]
        offered += service_class.value * cell.offered
    return earned / offered if offered else 1.0


CSV_HEAD = (
    "second",
    "group",
    "release",
    "offered",
    *(outcome.replace(" ", "_") for outcome in OUTCOMES),
    "p50_ms",
    "p99_ms",
)


def csv_rows(table: Table) -> Iterator[tuple[object, ...]]:
    """The table as CSV has it."""
    yield CSV_HEAD
    for (second, service_class, release), cell in sorted(table.cells.items(), key=lambda item: item[0]):
        yield (
            second,
            service_class,
            release,
            cell.offered,
            *(cell.outcomes[outcome] for outcome in OUTCOMES),
            round(cell.quantile_ms(0.5), 1),
            round(cell.quantile_ms(0.99), 1),
        )


def summary(
    table: Table,
    events: Sequence[Event],
    findings: Sequence[Finding],
    service_classes: Sequence[ServiceClass],
) -> dict[str, object]:
    """A run in a few figures, as `--json` prints them."""
    counts = Counter(event.kind for event in events)
    refused = (event.kind is EventKind.CONNECTED and event.detail == CONNECTION_REFUSED for event in events)
    return {
        "served": round(served_value(table, service_classes), 4),
        "groups": {one.name: _class_summary(table.total(service_class=one.name)) for one in service_classes},
        "dispatches": counts[EventKind.ARRIVED],
        "engines_fallen": counts[EventKind.OVERLOADED],
        "connections": counts[EventKind.CONNECTED],
        "connections_refused": sum(refused),
        "findings": [_finding(finding) for finding in findings],
    }


def _class_summary(cell: Cell) -> dict[str, object]:
    return {
        "offered": cell.offered,
        **{outcome.value: cell.outcomes[outcome] for outcome in OUTCOMES if cell.outcomes[outcome]},
        "p50_ms": round(cell.quantile_ms(0.5), 1),
        "p99_ms": round(cell.quantile_ms(0.99), 1),
    }


def _finding(finding: Finding) -> dict[str, object]:
    return {
        "rule": finding.rule,
        "at_s": round(finding.at / SECOND, 3),
        "batch": finding.query,
        "who": finding.who,
        "text": finding.text,
    }


__all__ = ["OUTCOMES", "Cell", "Table", "csv_rows", "make_table", "served_value", "summary"]
