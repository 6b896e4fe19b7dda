"""Runs the policy under random valid settings: no call fails, each query is answered and the rules hold.

Guards against decisions that work only under the settings of the other tests.
"""

from __future__ import annotations

import random

import pytest
from rules import SECOND, RuleChecker

from vanerelay import settings, settings_validation
from vanerelay.interface import AttemptResult, EngineEntry, EngineState, LoadReport, Outcome, QueryArrival

DURATIONS_US = [100, 1_000, 50_000, 250_000, 1_000_000, 3_000_000, 20_000_000, 10_000_000_000]


def random_class(rng: random.Random, number: int, zones: list[str], kinds: list[str]) -> dict:
    raw = {
        "name": f"class-{number}-" * rng.choice([1, 30]),
        "aimUs": rng.choice(DURATIONS_US),
        "deadlineUs": rng.choice(DURATIONS_US),
        "semantics": rng.choice(list(settings.IDEMPOTENCY)),
        "importance": rng.choice([0, 1, 0.001, 1e6, None]),
        "lateWorth": rng.choice([0, 0.5, None]),
        "aimStretch": rng.choice([0, 2, None]),
        "windowUs": rng.choice([0, 100, 100_000, 1_000_000_000, None]),
        "dedupScope": rng.choice([*settings.DEDUPLICATION_SCOPES, None]),
        "inTurn": rng.choice([True, False, None]),
    }
    if zones and rng.random() < 0.3:
        raw["staysIn"] = [rng.randrange(len(zones))]
    if kinds and rng.random() < 0.3:
        raw["kindsOnly"] = [rng.randrange(len(kinds))]
    return raw


def random_settings(rng: random.Random) -> dict:
    classes = rng.choice([1, 2, 5, 40])
    zones = [f"zone-{number}" for number in range(rng.choice([0, 1, 3]))]
    kinds = [f"kind-{number}" for number in range(rng.choice([0, 1, 3]))]
    raw = {
        "classes": [random_class(rng, number, zones, kinds) for number in range(classes)],
        "orgs": rng.choice([[], [{"name": "a"}], None]),
        "kinds": kinds,
        "failureDomains": zones,
        "az": rng.choice([0, None]),
        "groupSize": rng.choice([1, 3, 200, None]),
        "position": rng.choice([0, None]),
        "tickUs": rng.choice([0, 1, 5_000, None]),
        "familyInfo": {
            "memoryByKindMb": rng.choice([[32768.0] * len(kinds), [], [0] * len(kinds)]),
            "cpuOfKind": rng.choice([[16] * len(kinds), [], [1] * len(kinds)]),
            "parallelism": rng.choice([[], [1], [64] * classes]),
            "grantCap": rng.choice([0.4, 0, 1, 5, None]),
            "memoryShort": rng.choice([*settings.MEMORY_SHORTAGES, None]),
            "progressUs": rng.choice([0, 2_000_000, 1, None]),
            "takesGrants": rng.choice([True, False, None]),
            "writesTables": [rng.random() < 0.5 for _ in range(classes)],
            "waitsForLoads": [rng.random() < 0.5 for _ in range(classes)],
        },
        "limits": {
            "maxAttempts": rng.choice([1, 2, 10, None]),
            "maxRetryAfterUs": rng.choice([0, 1_000_000, None]),
            **{
                name: rng.choice([True, False])
                for name in ("cancel", "secondCopies", "retryAfter", "peers", "probes")
            },
        },
        "safety": {
            "coldFrom": rng.choice([0, 0.3, 1, None]),
            "coldUs": rng.choice([0, 1, 10_000_000, None]),
            "fallMultiple": rng.choice([1, 3, 100, None]),
            "overloadForUs": rng.choice([0, 1, 2_000_000, None]),
            "orderPauseUs": rng.choice([0, 1_000_000, None]),
            "ratioSpanUs": rng.choice([0, 10_000, 10_000_000]),
            "minExtra": rng.choice([0, 1, 100]),
            "extraRatio": rng.choice([0, 0.1, 5]),
        },
        "report": {"how": rng.choice(["piggyback", "pull", "silent"]), "columns": ["cpu_share"]},
    }
    for section in ("familyInfo", "limits", "safety", "report"):
        if rng.random() < 0.1:
            raw[section] = None
    return raw


class GatewayRun:
    """A policy gateway under random settings that receives random events.

    `RuleChecker` checks each call that the gateway makes.
    """

    def __init__(self, rng: random.Random, raw_settings: dict) -> None:
        self.rng, self.settings, self.checker = rng, raw_settings, RuleChecker(raw_settings)
        self.gateway = settings.open_gateway(self.checker, 7, raw_settings)
        self.gateways = [self.gateway]
        self._submitted = 0
        self.checker.timed_out = self.time_out_attempt

    def update_engine_list(self, complete: bool = False) -> None:
        entries = []
        for number in range(4) if complete else [self.rng.randrange(4)]:
            started = self.rng.choice([0, self.checker.now - SECOND])
            state = EngineState.UP if complete else self.rng.choice(list(EngineState))
            row_counts = len(self.settings["failureDomains"] or []), len(self.settings["kinds"] or [])
            zone, kind = (number % max(1, count) for count in row_counts)
            entry = EngineEntry(number, f"e{number}", zone, kind, number % 2, state, 1.0, started)
            self.checker.engines[number] = entry
            entries.append(entry)
        for gateway in self.gateways:
            gateway.update_engines(entries, complete)

    def submit(self) -> None:
        self._submitted += 1
        row = self.rng.randrange(len(self.settings["classes"]))
        time_limit = min(self.settings["classes"][row]["deadlineUs"] // 100, 60 * SECOND)
        arrival = QueryArrival(
            index=self._submitted,
            service_class=row,
            tenant=0,
            order_key=self.rng.choice([None, 1, 2]),
            deadline=self.checker.now + time_limit,
            estimated_cost=self.rng.choice([0, 10, 10_000]),
            estimated_memory=self.rng.choice([0.0, 10.0, 5e4]),
            table_group=self.rng.choice([0, 5]),
            is_retry=False,
        )
        query = self.checker.query_submitted(arrival)
        query.handle = self.gateway.submit(arrival)

    def end_attempt(self, query, number: int, outcome: Outcome) -> None:
        self.checker.attempt_ended(query, number, outcome)
        report = self.rng.choice([None, LoadReport(cores_busy=0.5)])
        work = self.rng.choice([0, 1, 10_000])
        result = AttemptResult(outcome, self.checker.now - query.attempts[number].sent_at, work, 50.0, report)
        query.handle.attempt_ended(number, result, query.final_answer is not None)

    def time_out_attempt(self, query, number: int) -> None:
        if query.attempts[number].ended is None:
            self.end_attempt(query, number, Outcome.TIMED_OUT)

    def end_some_attempts(self) -> None:
        """Ends all cancelled attempts, and at random some of the others whose queries have no answer yet."""
        for query in list(self.checker.queries.values()):
            for number, attempt in enumerate(query.attempts):
                if attempt.ended is not None:
                    continue
                if attempt.cancelled:
                    self.end_attempt(query, number, Outcome.CANCELLED)
                elif self.rng.random() < 0.2 and query.final_answer is None:
                    self.end_attempt(query, number, self.rng.choice(list(Outcome)))

    def reload_settings(self) -> None:
        old, self.gateway = self.gateway, settings.open_gateway(self.checker, 7, self.settings)
        self.gateway.take_over(old)
        self.gateways.append(self.gateway)


@pytest.mark.parametrize("seed", range(150))
def test_rules_hold_and_queries_are_answered_under_random_valid_settings(seed):
    rng = random.Random(seed)
    raw_settings = random_settings(rng)
    assert settings_validation.find_error(raw_settings) is None
    run = GatewayRun(rng, raw_settings)
    run.update_engine_list(complete=True)
    for number in range(150):
        if rng.random() < 0.7:
            run.submit()
        if rng.random() < 0.1:
            run.update_engine_list()
        run.end_some_attempts()
        run.checker.advance(rng.choice([1, 10, 100, 500, 5000]))
        if number == 75:
            run.reload_settings()
    for _ in range(1400):
        if all(query.final_answer for query in run.checker.queries.values()):
            break
        run.checker.advance(500)
        run.end_some_attempts()
    assert all(query.final_answer for query in run.checker.queries.values()), (
        "rule 1: a query without an answer"
    )
