"""Settings of any customer, as long as they are legal: nothing fails under them, and the rules hold."""

from __future__ import annotations

import random

import pytest
from rules import SECOND, RuleChecker

from vanerelay import settings, settings_validation
from vanerelay.interface import AttemptResult, EngineEntry, EngineState, LoadReport, Outcome, QueryArrival

DURATIONS_US = [100, 1_000, 50_000, 250_000, 1_000_000, 3_000_000, 20_000_000, 10_000_000_000]


def some_class(chance: random.Random, number: int, zones: list[str], kinds: list[str]) -> dict:
    raw = {
        "name": f"class-{number}-" * chance.choice([1, 30]),
        "aimUs": chance.choice(DURATIONS_US),
        "deadlineUs": chance.choice(DURATIONS_US),
        "semantics": chance.choice(list(settings.IDEMPOTENCY)),
        "importance": chance.choice([0, 1, 0.001, 1e6, None]),
        "lateWorth": chance.choice([0, 0.5, None]),
        "aimStretch": chance.choice([0, 2, None]),
        "windowUs": chance.choice([0, 100, 100_000, 1_000_000_000, None]),
        "dedupScope": chance.choice([*settings.DEDUPLICATION_SCOPES, None]),
        "inTurn": chance.choice([True, False, None]),
    }
    if zones and chance.random() < 0.3:
        raw["staysIn"] = [chance.randrange(len(zones))]
    if kinds and chance.random() < 0.3:
        raw["kindsOnly"] = [chance.randrange(len(kinds))]
    return raw


def some_settings(chance: random.Random) -> dict:
    classes = chance.choice([1, 2, 5, 40])
    zones = [f"zone-{number}" for number in range(chance.choice([0, 1, 3]))]
    kinds = [f"kind-{number}" for number in range(chance.choice([0, 1, 3]))]
    raw = {
        "classes": [some_class(chance, number, zones, kinds) for number in range(classes)],
        "orgs": chance.choice([[], [{"name": "a"}], None]),
        "kinds": kinds,
        "failureDomains": zones,
        "az": chance.choice([0, None]),
        "groupSize": chance.choice([1, 3, 200, None]),
        "position": chance.choice([0, None]),
        "tickUs": chance.choice([0, 1, 5_000, None]),
        "familyInfo": {
            "memoryByKindMb": chance.choice([[32768.0] * len(kinds), [], [0] * len(kinds)]),
            "cpuOfKind": chance.choice([[16] * len(kinds), [], [1] * len(kinds)]),
            "parallelism": chance.choice([[], [1], [64] * classes]),
            "grantCap": chance.choice([0.4, 0, 1, 5, None]),
            "memoryShort": chance.choice([*settings.MEMORY_SHORTAGES, None]),
            "progressUs": chance.choice([0, 2_000_000, 1, None]),
            "takesGrants": chance.choice([True, False, None]),
            "writesTables": [chance.random() < 0.5 for _ in range(classes)],
            "waitsForLoads": [chance.random() < 0.5 for _ in range(classes)],
        },
        "limits": {
            "maxAttempts": chance.choice([1, 2, 10, None]),
            "maxRetryAfterUs": chance.choice([0, 1_000_000, None]),
            **{
                name: chance.choice([True, False])
                for name in ("cancel", "secondCopies", "retryAfter", "peers", "probes")
            },
        },
        "safety": {
            "coldFrom": chance.choice([0, 0.3, 1, None]),
            "coldUs": chance.choice([0, 1, 10_000_000, None]),
            "fallMultiple": chance.choice([1, 3, 100, None]),
            "overloadForUs": chance.choice([0, 1, 2_000_000, None]),
            "orderPauseUs": chance.choice([0, 1_000_000, None]),
            "ratioSpanUs": chance.choice([0, 10_000, 10_000_000]),
            "minExtra": chance.choice([0, 1, 100]),
            "extraRatio": chance.choice([0, 0.1, 5]),
        },
        "report": {"how": chance.choice(["piggyback", "pull", "silent"]), "columns": ["cpu_share"]},
    }
    for part in ("familyInfo", "limits", "safety", "report"):
        if chance.random() < 0.1:
            raw[part] = None
    return raw


class Run:
    """A gateway under such settings, with random events and each call checked."""

    def __init__(self, chance: random.Random, raw_settings: dict) -> None:
        self.chance, self.settings, self.checker = chance, raw_settings, RuleChecker(raw_settings)
        self.gateway = settings.open_gateway(self.checker, 7, raw_settings)
        self.gateways = [self.gateway]
        self._submitted = 0
        self.checker.timed_out = self.time_out_attempt

    def change_list(self, complete: bool = False) -> None:
        entries = []
        for number in range(4) if complete else [self.chance.randrange(4)]:
            started = self.chance.choice([0, self.checker.now - SECOND])
            state = EngineState.UP if complete else self.chance.choice(list(EngineState))
            places = len(self.settings["failureDomains"] or []), len(self.settings["kinds"] or [])
            zone, kind = (number % max(1, count) for count in places)
            entry = EngineEntry(number, f"e{number}", zone, kind, number % 2, state, 1.0, started)
            self.checker.engines[number] = entry
            entries.append(entry)
        for gateway in self.gateways:
            gateway.update_engines(entries, complete)

    def submit(self) -> None:
        self._submitted += 1
        row = self.chance.randrange(len(self.settings["classes"]))
        time_limit = min(self.settings["classes"][row]["deadlineUs"] // 100, 60 * SECOND)
        arrival = QueryArrival(
            index=self._submitted,
            service_class=row,
            tenant=0,
            order_key=self.chance.choice([None, 1, 2]),
            deadline=self.checker.now + time_limit,
            estimated_cost=self.chance.choice([0, 10, 10_000]),
            estimated_memory=self.chance.choice([0.0, 10.0, 5e4]),
            table_group=self.chance.choice([0, 5]),
            is_retry=False,
        )
        query = self.checker.query_submitted(arrival)
        query.handle = self.gateway.submit(arrival)

    def end_attempt(self, query, number: int, outcome: Outcome) -> None:
        self.checker.attempt_ended(query, number, outcome)
        report = self.chance.choice([None, LoadReport(cores_busy=0.5)])
        work = self.chance.choice([0, 1, 10_000])
        result = AttemptResult(outcome, self.checker.now - query.attempts[number].sent_at, work, 50.0, report)
        query.handle.attempt_ended(number, result, query.final_answer is not None)

    def time_out_attempt(self, query, number: int) -> None:
        if query.attempts[number].ended is None:
            self.end_attempt(query, number, Outcome.TIMED_OUT)

    def step(self) -> None:
        """Ends what was cancelled, and some of the rest."""
        for query in list(self.checker.queries.values()):
            for number, attempt in enumerate(query.attempts):
                if attempt.ended is not None:
                    continue
                if attempt.cancelled:
                    self.end_attempt(query, number, Outcome.CANCELLED)
                elif self.chance.random() < 0.2 and query.final_answer is None:
                    self.end_attempt(query, number, self.chance.choice(list(Outcome)))

    def change_settings(self) -> None:
        old, self.gateway = self.gateway, settings.open_gateway(self.checker, 7, self.settings)
        self.gateway.take_over(old)
        self.gateways.append(self.gateway)


@pytest.mark.parametrize("seed", range(150))
def test_the_rules_hold_under_any_legal_settings(seed):
    chance = random.Random(seed)
    raw_settings = some_settings(chance)
    assert settings_validation.find_error(raw_settings) is None
    run = Run(chance, raw_settings)
    run.change_list(complete=True)
    for number in range(150):
        if chance.random() < 0.7:
            run.submit()
        if chance.random() < 0.1:
            run.change_list()
        run.step()
        run.checker.advance(chance.choice([1, 10, 100, 500, 5000]))
        if number == 75:
            run.change_settings()
    for _ in range(1400):
        if all(query.final_answer for query in run.checker.queries.values()):
            break
        run.checker.advance(500)
        run.step()
    assert all(query.final_answer for query in run.checker.queries.values()), (
        "rule 1: a query without an answer"
    )
