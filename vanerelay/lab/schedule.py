"""What clients want, and when: drawn from the seed before a run begins, whatever then happens. Pure."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from vanerelay.interface import SECOND, Duration
from vanerelay.lab.scenario_config import ALL_CLASSES, Fault, FaultAction, Publication, Scenario, ServiceClass

HALF_LIVES_READ = 12
"""After so many half-lives nobody reads a publication any more."""


@dataclass(slots=True)
class ClientRequest:
    """One thing that a client wants, over all its queries (the first, and retries).

    Attributes:
        at: when it comes up, in ticks from the start of the load.
        work: core time of the query in ticks.
        gateway_draw: from 0 to 1, which gateway gets the first query.
        attempts: queries so far.
    """

    number: int
    at: int
    service_class: ServiceClass
    work: int
    memory_mb: int
    table: int
    gateway_draw: float
    session: int = 0
    hint: str = ""
    attempts: int = 0
    is_over: bool = False


def draw_requests(scenario: Scenario, seed: int) -> list[ClientRequest]:
    """All requests of a run in order of time.

    Open loop: nobody waits for an answer before the next request comes up.
    """
    streams = [
        _class_requests(scenario, service_class, random.Random(f"{seed}/{service_class.name}"))
        for service_class in scenario.service_classes
    ]
    for row, publication in enumerate(scenario.publications):
        random_source = random.Random(f"{seed}/publication/{row}")
        requests = _publication_requests(scenario, publication, random_source)
        streams.append(iter(sorted(requests, key=lambda request: request.at)))
    merged = list(heapq.merge(*streams, key=lambda request: request.at))
    for number, request in enumerate(merged):
        request.number = number
    return merged


def _class_requests(
    scenario: Scenario, service_class: ServiceClass, random_source: random.Random
) -> Iterator[ClientRequest]:
    """Requests of a service class at its rate, and more in bursts.

    They are thinned from the highest rate, so that a burst changes no draw before it.
    """
    if service_class.queries_per_s <= 0.0:
        return
    bursts = _bursts(scenario, service_class)
    highest_rate = service_class.queries_per_s * max([1.0, *(burst.factor for burst in bursts)])
    at = 0.0
    while True:
        at += random_source.expovariate(highest_rate) * SECOND
        if at >= scenario.length:
            return
        thinning_draw = random_source.random()
        work = _draw_work(service_class, random_source)
        memory_deviation = random_source.gauss(0.0, service_class.work_spread / 2)
        memory_mb = max(1, round(service_class.memory_mb * math.exp(memory_deviation)))
        table = random_source.randrange(max(1, scenario.clients.table_count))
        gateway_draw = random_source.random()
        rate = service_class.queries_per_s * _burst_factor(bursts, int(at))
        if thinning_draw * highest_rate < rate:
            hint, sessions = service_class.hint, scenario.clients.session_count
            session = int(random_source.random() * sessions) if hint else 0
            yield ClientRequest(
                0, int(at), service_class, work, memory_mb, table, gateway_draw, session, hint
            )


def _draw_work(service_class: ServiceClass, random_source: random.Random) -> int:
    """Log-normal; its mean is the work of the class."""
    spread = service_class.work_spread
    return max(1, round(service_class.work * math.exp(random_source.gauss(-(spread**2) / 2, spread))))


def _publication_requests(
    scenario: Scenario, publication: Publication, random_source: random.Random
) -> Iterator[ClientRequest]:
    """The loads of publications, and the reads that follow them and fade."""
    classes = {service_class.name: service_class for service_class in scenario.service_classes}
    start = publication.starts_at
    while start < scenario.length:
        tables = range(publication.first_table, publication.last_table + 1)
        for place, table in enumerate(tables):
            load_at = start + place * publication.spacing
            if load_at < scenario.length:
                yield _table_request(load_at, classes[publication.load_class], table, random_source)
            if publication.has_readers:
                read_class, length = classes[publication.read_class], scenario.length
                for read_at in _fading_reads(publication, load_at, length, random_source):
                    yield _table_request(read_at, read_class, table, random_source)
        if not publication.interval:
            return
        start += publication.interval


def _fading_reads(
    publication: Publication, load_at: int, length: Duration, random_source: random.Random
) -> Iterator[int]:
    first_read_at = load_at + publication.notice_delay
    read_at = float(first_read_at)
    while True:
        read_at += random_source.expovariate(publication.reads_per_s) * SECOND
        if read_at >= length:
            return
        age = read_at - first_read_at
        if random_source.random() < 0.5 ** (age / publication.half_life):
            yield int(read_at)
        if age > HALF_LIVES_READ * publication.half_life:
            return


def _table_request(
    at: int, service_class: ServiceClass, table: int, random_source: random.Random
) -> ClientRequest:
    work, memory_mb = _draw_work(service_class, random_source), round(service_class.memory_mb)
    gateway_draw = random_source.random()
    return ClientRequest(0, at, service_class, work, memory_mb, table, gateway_draw, 0, service_class.hint)


def _bursts(scenario: Scenario, service_class: ServiceClass) -> list[Fault]:
    classes = (ALL_CLASSES, service_class.name)
    return [
        fault
        for fault in scenario.all_faults()
        if fault.action == FaultAction.LOAD and fault.service_class in classes
    ]


def _burst_factor(bursts: list[Fault], at: int) -> float:
    factor = 1.0
    for burst in bursts:
        if burst.at <= at and (not burst.duration or at < burst.at + burst.duration):
            factor *= burst.factor
    return factor


def cumulative_load_shares(gateway_count: int, skew: float) -> list[float]:
    """What part of the load each gateway gets, summed up; the first gets `skew` times what the last does."""
    weights = [skew ** (1.0 - place / max(1, gateway_count - 1)) for place in range(gateway_count)]
    total, sums = 0.0, list[float]()
    for weight in weights:
        total += weight
        sums.append(total)
    return [one / total for one in sums]


__all__ = ["ClientRequest", "cumulative_load_shares", "draw_requests"]
