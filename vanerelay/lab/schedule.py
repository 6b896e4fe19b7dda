"""What clients want, and when: drawn from the seed before a play begins, whatever then happens. Pure."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from vanerelay.interface import SECOND
from vanerelay.lab.scenario import Fault, Group, Publication, Script, repeated


@dataclass(slots=True)
class Need:
    """One thing that a client wants, over all its tries. `at`: when it comes up, from the start of the
    load."""

    number: int
    at: int
    group: Group
    work: int
    memory: int
    table: int
    draw: float  # of the manager, 0 to 1
    session: int = 0
    hint: str = ""
    tries: int = 0
    over: bool = False


def needs(script: Script, seed: int) -> list[Need]:
    """All of a play, the first first. Open loop: nobody waits for an answer before the next comes up."""
    streams = [
        _stream(script, row, group, random.Random(f"{seed}/{group.name}"))
        for row, group in enumerate(script.groups)
    ]
    for row, one in enumerate(script.publications):
        chance = random.Random(f"{seed}/publication/{row}")
        streams.append(iter(sorted(_published(script, one, chance), key=lambda need: need.at)))
    found = list(heapq.merge(*streams, key=lambda need: need.at))
    for number, need in enumerate(found):
        need.number = number
    return found


def _stream(script: Script, row: int, group: Group, chance: random.Random) -> Iterator[Need]:
    if group.rate <= 0.0:
        return
    loads = [fault for fault in repeated(script) if fault.do == "load" and fault.group in ("*", group.name)]
    at, most = 0.0, group.rate * max([1.0, *(fault.factor for fault in loads)])
    while True:
        # Thinned from the highest rate, so that a burst changes no draw before it.
        at += chance.expovariate(most) * SECOND
        if at >= script.length:
            return
        kept = chance.random()
        work = max(1, round(group.work * math.exp(chance.gauss(-(group.spread**2) / 2, group.spread))))
        memory = max(1, round(group.memory * math.exp(chance.gauss(0.0, group.spread / 2))))
        table, draw = chance.randrange(max(1, script.clients.tables)), chance.random()
        if kept * most < group.rate * _factor(loads, int(at)):
            session = int(chance.random() * script.clients.sessions) if group.hint else 0
            yield Need(0, int(at), group, work, memory, table, draw, session, group.hint)


def _published(script: Script, one: Publication, chance: random.Random) -> Iterator[Need]:
    """The loads of publications, and the reads that follow them and fade."""
    by = {group.name: group for group in script.groups}
    moment = one.at
    while moment < script.length:
        for place, table in enumerate(range(one.first, one.last + 1)):
            at = moment + place * one.apart
            if at < script.length:
                yield _need(at, by[one.load], table, chance)
            begun = at + one.noticed
            read = float(begun)
            while one.reads and (read := read + chance.expovariate(one.rate) * SECOND) < script.length:
                if chance.random() < 0.5 ** ((read - begun) / one.half):
                    yield _need(int(read), by[one.group], table, chance)
                if read - begun > 12 * one.half:
                    break
        if not one.every:
            return
        moment += one.every


def _need(at: int, group: Group, table: int, chance: random.Random) -> Need:
    work = max(1, round(group.work * math.exp(chance.gauss(-(group.spread**2) / 2, group.spread))))
    return Need(0, at, group, work, round(group.memory), table, chance.random(), 0, group.hint)


def _factor(loads: list[Fault], at: int) -> float:
    factor = 1.0
    for fault in loads:
        if fault.at <= at and (not fault.lasting or at < fault.at + fault.lasting):
            factor *= fault.factor
    return factor


def shares(count: int, skew: float) -> list[float]:
    """What part of the load comes to each of so many managers, summed up; the first gets `skew` times what
    the last does."""
    weights = [skew ** (1.0 - place / max(1, count - 1)) for place in range(count)]
    total, found = 0.0, list[float]()
    for weight in weights:
        total += weight
        found.append(total)
    return [one / total for one in found]
