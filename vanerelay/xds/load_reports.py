"""Sums up the load that proxies report (LRS). Pure; bounded by listed engines and connected proxies."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from vanerelay.interface import SECOND
from vanerelay.received_numbers import NUMBER_LIMIT

REPORT_LIFETIME = 15 * SECOND
"""How long a report stands for what a proxy has in flight: several reporting intervals."""

MIN_DEMAND_SHARE = 0.05
"""The share of the proxies' work that stays open for a service class that sends nothing."""

SMOOTHING = 0.2
"""The part of a new report that goes into a service class's share."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Queries at one engine, or at all engines of a zone where `address` is empty.

    Attributes:
        cluster: The xDS cluster: a service class, or its engines in slow start.
        running: Queries in flight.
        completed: Queries that ended since the last report, failed ones included.
        errors: Queries that failed since the last report.
        issued: Queries sent since the last report.
    """

    cluster: str
    zone: str
    address: str
    running: int
    completed: int
    errors: int
    issued: int

    def is_in_range(self) -> bool:
        """Returns True if no count is larger than any proxy can have seen."""
        return max(self.running, self.completed, self.errors, self.issued) <= NUMBER_LIMIT


@dataclass(frozen=True, slots=True)
class Completions:
    """Queries that ended at one engine; fractions where a report names no endpoint."""

    count: float = 0.0
    errors: float = 0.0


@dataclass(frozen=True, slots=True)
class _InFlight:
    """What one proxy has in flight, by address, and when it reported that."""

    reported_at: int
    by_address: dict[str, float]


EndpointWeights = Mapping[tuple[str, str], Mapping[str, int]]
"""Weights of the endpoints handed out, by address; the key is cluster and zone."""


class LoadAggregator:
    """The reports of all proxies.

    A report that names no endpoint is spread over the endpoints of its zone, by weight.
    """

    def __init__(self, service_classes: Sequence[str]) -> None:
        self._rows = {name: row for row, name in enumerate(service_classes)}
        self._in_flight: dict[object, _InFlight] = {}  # by proxy
        self._shares = [1.0 / max(1, len(service_classes))] * len(service_classes)

    def report(
        self,
        now: int,
        proxy: object,
        reports: Sequence[LoadReport],
        weights: EndpointWeights,
        query_work: Sequence[float],
    ) -> dict[str, Completions]:
        """Takes the reports of one proxy.

        Args:
            now: The time, in ticks.
            proxy: What tells this proxy from others.
            reports: What it reports.
            weights: The endpoints that were handed out.
            query_work: The work of a usual query, by service class.

        Returns:
            The queries that ended, by the address of their engine.
        """
        running, completions = dict[str, float](), dict[str, Completions]()
        issued_work = [0.0] * len(self._shares)
        for report in reports:
            row = self._rows.get(report.cluster.split("/")[0])
            endpoints = weights.get((report.cluster, report.zone), {})
            if row is None or (report.address and report.address not in endpoints):
                continue  # engines that were not handed out
            issued_work[row] += report.issued * query_work[row]
            for address, part in _spread(report, endpoints).items():
                running[address] = running.get(address, 0.0) + report.running * part
                before = completions.get(address, Completions())
                completions[address] = Completions(
                    before.count + report.completed * part, before.errors + report.errors * part
                )
        self._in_flight[proxy] = _InFlight(now, running)
        self._update_shares(issued_work)
        return completions

    def _update_shares(self, issued_work: Sequence[float]) -> None:
        total = sum(issued_work)
        if total <= 0.0:
            return
        for row, work in enumerate(issued_work):
            self._shares[row] += (work / total - self._shares[row]) * SMOOTHING

    def disconnected(self, proxy: object) -> None:
        """Forgets what a proxy has in flight."""
        self._in_flight.pop(proxy, None)

    def running(self, now: int) -> dict[str, float]:
        """The queries that all proxies have in flight on each engine, by address."""
        expired = [
            proxy for proxy, held in self._in_flight.items() if now - held.reported_at >= REPORT_LIFETIME
        ]
        for proxy in expired:
            del self._in_flight[proxy]
        totals = dict[str, float]()
        for held in self._in_flight.values():
            for address, count in held.by_address.items():
                totals[address] = totals.get(address, 0.0) + count
        return totals

    def demand(self) -> list[float]:
        """The share of each service class in the proxies' work."""
        floored = [max(MIN_DEMAND_SHARE, share) for share in self._shares]
        return [share / sum(floored) for share in floored]


def _spread(report: LoadReport, endpoints: Mapping[str, int]) -> dict[str, float]:
    """The part of a report that goes to each address."""
    if report.address:
        return {report.address: 1.0}
    total = sum(endpoints.values())
    return {address: weight / total for address, weight in endpoints.items() if total}
