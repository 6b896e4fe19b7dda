"""Checkers, shown histories that are right and wrong: one that finds nothing wrong has shown nothing."""

import random
import time

import pytest

from tests.histories import operations, prefetches, reads, register

A, B, C = "a/1", "b/2", "c/3"


def order(begin, number, serial, holder=A, party="e1", end=None, task="t", result="ok"):
    end = begin + 2 if end is None else end
    return {
        "party": party,
        "op": "order",
        "begin": begin,
        "end": end,
        "task": task,
        "number": number,
        "serial": serial,
        "holder": holder,
        "result": result,
    }


def op(name, begin, end, number, holder=A, task="t"):
    return {
        "party": holder[0],
        "op": name,
        "begin": begin,
        "end": end,
        "task": task,
        "number": number,
        "holder": holder,
        "result": "ok",
    }


RIGHT = {
    "one holder": [order(0, 1, 1), order(5, 1, 2)],
    "taken over": [order(0, 1, 1), order(5, 2, 1, B), order(9, 2, 2, B)],
    "a refused one is no operation": [order(0, 2, 1, B), order(5, 1, 9, result="refused")],
    "two tasks at once": [order(0, 5, 1, A, task="t"), order(1, 1, 1, B, task="u")],
    "two receivers, each in its order": [order(0, 1, 1), order(1, 2, 1, B, "e2")],
    "one holder's operations may overlap": [order(0, 1, 1, end=9), order(2, 1, 2, end=5)],
}
WRONG = {
    "two at once": [order(0, 1, 1, end=9), order(5, 2, 1, B)],
    "two at once, the later one first": [order(0, 2, 1, B, end=9), order(5, 1, 1)],
    "a token that falls": [order(0, 2, 1, B), order(5, 1, 1)],
    "a token that falls much later": [order(0, 1, 1), order(5, 3, 1, B), order(50, 2, 1, C)],
    "one token, two holders": [order(0, 1, 1), order(5, 1, 2, B)],
    "one token, two holders at two receivers": [order(0, 1, 1), order(5, 1, 1, B, "e2")],
    "an operation twice": [order(0, 1, 1), order(5, 1, 1)],
    "an operation that was overtaken": [order(0, 1, 2), order(5, 1, 1)],
    "one that ends before it begins": [order(5, 1, 1, end=4)],
    "the old one again after the new": [order(0, 1, 1), order(5, 2, 1, B), order(9, 1, 2)],
    "at once in the second task": [
        order(0, 1, 1),
        order(0, 1, 1, A, "e1", 9, "u"),
        order(3, 2, 1, B, task="u"),
    ],
}


@pytest.mark.parametrize("name", RIGHT)
def test_operations_that_are_right(name):
    assert operations.violations(RIGHT[name]) == []


@pytest.mark.parametrize("name", WRONG)
def test_operations_that_are_wrong(name):
    assert (
        operations.violations(WRONG[name]) != [] and operations.violations(list(reversed(WRONG[name]))) != []
    )


IN_ORDER = {
    "held and renewed": [op("acquire", 0, 2, 1), op("renew", 5, 6, 1), op("renew", 8, 9, 1)],
    "taken over": [op("acquire", 0, 2, 1), op("acquire", 9, 11, 2, B), op("renew", 12, 13, 2, B)],
    "tokens may be left out": [op("acquire", 0, 2, 1), op("acquire", 9, 11, 7, B)],
    "a renewal that is answered late": [
        op("acquire", 0, 2, 1),
        op("renew", 5, 30, 1),
        op("acquire", 9, 11, 2, B),
    ],
    "two request at once": [op("acquire", 0, 9, 2), op("acquire", 1, 8, 1, B)],
    "one whose end nobody knows": [op("asked", 0, 1, 1), op("acquire", 5, 6, 2, B)],
    "... and that was": [op("asked", 0, 1, 1, B), op("acquire", 5, 6, 2)],
    "released": [op("acquire", 0, 2, 1), op("release", 3, 3, 1), op("acquire", 4, 5, 2, B)],
    "two tasks": [op("acquire", 0, 2, 1), op("acquire", 0, 2, 1, B, "u"), op("renew", 3, 4, 1)],
}
OUT_OF_ORDER = {
    "renewed after another had it": [op("acquire", 0, 2, 1), op("acquire", 5, 6, 2, B), op("renew", 7, 8, 1)],
    "a token that falls": [op("acquire", 0, 2, 2), op("acquire", 5, 6, 1, B)],
    "a token twice": [op("acquire", 0, 2, 1), op("acquire", 5, 6, 1, B)],
    "a token twice by one": [op("acquire", 0, 2, 1), op("acquire", 5, 6, 1)],
    "renewed by one that never had it": [op("acquire", 0, 2, 1), op("renew", 3, 4, 1, B)],
    "renewed before it was held": [op("renew", 0, 1, 1), op("acquire", 2, 3, 1)],
    "renewed under another's token": [
        op("acquire", 0, 2, 1),
        op("acquire", 3, 4, 2, B),
        op("renew", 5, 6, 2),
    ],
    "two at once that both renew": [
        op("acquire", 0, 9, 1),
        op("acquire", 1, 8, 2, B),
        op("renew", 10, 11, 1),
        op("renew", 10, 11, 2, B),
    ],
    "to and fro": [
        op("acquire", 0, 1, 1),
        op("acquire", 2, 3, 2, B),
        op("acquire", 4, 5, 3),
        op("renew", 6, 7, 2, B),
    ],
    "of one task alone": [op("acquire", 0, 2, 1), op("acquire", 0, 2, 2, B, "u"), op("renew", 3, 4, 2, B)],
    "after a lost one that must have been": [
        op("acquire", 0, 1, 1),
        op("asked", 2, 3, 2, B),
        op("renew", 9, 10, 2, C),
        op("renew", 11, 12, 1),
    ],
}


@pytest.mark.parametrize("name", IN_ORDER)
def test_a_linearizable_register(name):
    assert register.violations(IN_ORDER[name]) == []


@pytest.mark.parametrize("name", OUT_OF_ORDER)
def test_a_register_that_is_not_linearizable(name):
    assert register.violations(OUT_OF_ORDER[name]) != []


def test_there_are_wrong_histories_enough():
    assert len(WRONG) + len(OUT_OF_ORDER) >= 20


def test_long_histories_are_settled():
    """20,000 operations, six at once at the most, in seconds; and one wrong one among them is found."""
    chance, rows, at = random.Random(1), [], 0
    for number in range(1, 2001):
        holder = chance.choice((A, B, C))
        rows.append(op("acquire", at, at + 5, number, holder))
        rows += [op("renew", at + 6 + turn, at + 12 + turn, number, holder) for turn in range(9)]
        at += 30
    began = time.monotonic()
    assert register.violations(rows) == []
    rows.append(op("renew", at, at + 1, 1000, A))
    assert register.violations(rows) != []
    assert time.monotonic() - began < 60


# Hinted reads: what clients were answered, what engines read at, what the source's loads ended at.

REF = "r1"


def load(end, number, life=1, table=7, ref="load"):
    row = {"party": "src", "op": "commit", "begin": end - 5, "end": end, "ref": f"{ref}{life}.{number}"}
    return row | {"table": table, "life": life, "number": number}


def had(number, life=1, ref=REF, party="e1"):
    row = {"party": party, "op": "read", "begin": 0, "end": 0, "ref": ref, "table": 7}
    return row | {"life": life, "number": number}


def query(begin, end, hint, ref=REF, engine="e1", session="", **answer):
    row = {
        "party": "clients",
        "op": "query",
        "begin": begin,
        "end": end,
        "ref": ref,
        "table": 7,
        "hint": hint,
    }
    return row | {"result": "returned", "engine": engine, "session": session, **answer}


LOADS = [load(1000, 1), load(2000, 2), load(3000, 3)]
SEEN = [had(3, ref="r1"), had(2, ref="r2", party="e2")]
PIN = "pin=s for=10s"
READ_RIGHT = {
    "fresh enough": [*LOADS, had(2), query(3900, 4000, "stale<=100ms")],
    "one behind": [*LOADS, had(2), query(5000, 5100, "stale<=0s behind<=1")],
    "after its load": [*LOADS, had(2), query(5000, 5100, "after=load1.2")],
    "older, as it says": [*LOADS, had(2), query(5000, 5100, "stale<=0s else=freshest", age="210")],
    "another life goes on": [*LOADS, load(4000, 1, 2), had(1, 2), query(5000, 5100, "stale<=0s")],
    "a session goes on": [
        *LOADS,
        *SEEN,
        query(10, 20, PIN, "r2", "e2", "s"),
        query(30, 40, PIN, session="s"),
    ],
    "two reads at once": [
        *LOADS,
        *SEEN,
        query(10, 90, PIN, session="s"),
        query(30, 95, PIN, "r2", "e2", "s"),
    ],
}
READ_WRONG = {
    "older than it may be": [*LOADS, had(2), query(5000, 5100, "stale<=100ms")],
    "much older, of an earlier life": [*LOADS, load(4000, 1, 2), had(3), query(9000, 9100, "stale<=100ms")],
    "two behind": [*LOADS, had(1), query(5000, 5100, "stale<=0s behind<=1")],
    "before its load": [*LOADS, had(2), query(5000, 5100, "after=load1.3")],
    "before a point": [*LOADS, had(2), query(5000, 5100, "at>=1:3")],
    "older than it says": [*LOADS, had(2), query(5000, 5100, "stale<=0s else=freshest", age="100")],
    "older where it may not be": [*LOADS, had(2), query(5000, 5100, "stale<=0s else=wait", age="999")],
    "nobody read it": [*LOADS, had(3), query(5000, 5100, "stale<=0s", engine="e2")],
    "read at something else": [*LOADS, had(3), query(5000, 5100, "stale<=0s", at="1:4")],
    "a session goes back": [
        *LOADS,
        *SEEN,
        query(10, 20, PIN, session="s"),
        query(30, 40, PIN, "r2", "e2", "s"),
    ],
    "back to an earlier life": [
        *(load(at, 1, 2) for at in (500,)),
        had(1, 2, "r1"),
        had(9, 1, "r2"),
        query(10, 20, PIN, session="s"),
        query(30, 40, PIN, "r2", session="s"),
    ],
    "the source's record falls": [load(1000, 2), load(2000, 1)],
}


@pytest.mark.parametrize("name", READ_RIGHT)
def test_reads_that_are_as_fresh_as_asked_pass(name):
    assert reads.violations(READ_RIGHT[name]) == []


@pytest.mark.parametrize("name", READ_WRONG)
def test_reads_that_are_not_are_found(name):
    assert len(reads.violations(READ_WRONG[name])) >= 1


def warm(begin, number, serial, task="t"):
    row = {"party": "e1", "op": "warm", "begin": begin, "end": begin + 5, "task": task, "result": "ok"}
    return row | {"number": number, "serial": serial, "group": 7, "engine": "e1"}


TAKEN = [order(0, 1, 1), order(50, 2, 1, B)]
WARM_WRONG = {
    "never taken": [*TAKEN, warm(10, 1, 2)],
    "after a successor acted": [*TAKEN, warm(60, 1, 1)],
    "too many at once": [*TAKEN, *(warm(at, 1, 1) for at in range(10, 45))],
    "too many in a while": [order(0, 1, 1), *(warm(at * 1000, 1, 1) for at in range(1, 100))],
}


def test_prefetches_by_token_and_within_the_budget_pass():
    rows = [*TAKEN, warm(10, 1, 1), warm(11, 1, 1), warm(60, 2, 1)]
    assert prefetches.violations(rows, cost=1.0, budget=1.0, saves=2.0) == []


@pytest.mark.parametrize("name", WARM_WRONG)
def test_prefetches_past_token_or_budget_are_found(name):
    assert prefetches.violations(WARM_WRONG[name], cost=1.0, budget=1.0, saves=2.0)
