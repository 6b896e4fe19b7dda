"""What proxies report of their load (LRS), summed up. Pure state, bounded by what is listed and who is
connected."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from vanerelay.interface import SECOND

HELD = 15 * SECOND  # how long a report stands for what a proxy holds
FLOOR = 0.05  # of the proxies' work that is kept open for a group that sends nothing
SMOOTH = 0.2  # of a new report goes into a group's part


@dataclass(frozen=True, slots=True)
class Load:
    """Batches at one engine, or at all of a location where `address` is empty: open now, ended and of these
    with an error since the last report, begun since then."""

    cluster: str
    location: str
    address: str
    running: int
    ended: int
    errors: int
    begun: int


class Loads:
    """By proxy. Reports that name no endpoint are spread over those of their location, by weight."""

    def __init__(self, groups: Sequence[str]) -> None:
        self._groups = {name: row for row, name in enumerate(groups)}
        self._running: dict[object, tuple[int, dict[str, float]]] = {}  # by proxy: when told, by address
        self._parts = [1.0 / max(1, len(groups))] * len(groups)

    def report(
        self,
        now: int,
        proxy: object,
        loads: Sequence[Load],
        weights: Mapping[tuple[str, str], Mapping[str, int]],
        work: Sequence[float],
    ) -> dict[str, tuple[float, float]]:
        """A report of one proxy: batches ended and errors by address. `weights`: of the endpoints handed out,
        by cluster and location; `work`: of a usual batch, by group."""
        running, ended = dict[str, float](), dict[str, tuple[float, float]]()
        begun = [0.0] * len(self._parts)
        for load in loads:
            row = self._groups.get(load.cluster.split("/")[0])
            there = weights.get((load.cluster, load.location), {})
            if row is None or load.address and load.address not in there:
                continue  # of engines that were not handed out
            begun[row] += load.begun * work[row]
            whole = sum(there.values())
            over = {load.address: 1.0} if load.address else {a: w / whole for a, w in there.items() if whole}
            for address, part in over.items():
                running[address] = running.get(address, 0.0) + load.running * part
                done, errors = ended.get(address, (0.0, 0.0))
                ended[address] = done + load.ended * part, errors + load.errors * part
        self._running[proxy] = now, running
        if sum(begun) > 0.0:
            for row, one in enumerate(begun):
                self._parts[row] += (one / sum(begun) - self._parts[row]) * SMOOTH
        return ended

    def left(self, proxy: object) -> None:
        self._running.pop(proxy, None)

    def running(self, now: int) -> dict[str, float]:
        """What all proxies hold on each engine, by address."""
        found = dict[str, float]()
        for proxy in [p for p, (at, _) in self._running.items() if now - at >= HELD]:
            del self._running[proxy]
        for _, held in self._running.values():
            for address, count in held.items():
                found[address] = found.get(address, 0.0) + count
        return found

    def demand(self) -> list[float]:
        """The part of the proxies' work that each group is."""
        floored = [max(FLOOR, part) for part in self._parts]
        return [part / sum(floored) for part in floored]
