"""Plays of several real processes under faults: each script of the laboratory, judged from outside.

A script says itself what has to come of it: how programs end, what part of the utility is reached; the
laboratory adds the rules. What more a play has to show stands here."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

import pytest

from bench import releases
from tests.helpers import ROOT
from tests.histories import operations, prefetches, reads, register
from vanerelay.history import read
from vanerelay.interface import SECOND

SIDE_BY_SIDE = 2
PLAYS = [
    "faults",
    "fleet",
    "fresh-cut",
    "fresh-first",
    "lease-first",
    "lease-lost",
    "leases",
    "roll-cut",
    "roll-dies",
    "roll-down",
    "roll-good",
    "roll-lease",
    "roll-program",
    "roll-refuses",
    "roll-shared",
    "roll-two",
    "roll-unwilling",
    "roll-weather",
    "roll-worse",
    "warm-first",
]


# Releases of the benchmark, how long they may take, and what is said of them.
BAD = {
    "bad-load": ("dies under load", 45, "ended by itself"),
    "bad-leak": ("leaks 4 MB a second", 60, "memory: every new manager grew"),
    "bad-order": ("5% of orders errored, the rest quicker", 150, "order: errored worse"),
}


@pytest.fixture(scope="module")
def plays(tmp_path_factory):
    """All plays, a few at a time: by name, what the command told and where the processes' files are."""
    folder = tmp_path_factory.mktemp("plays")

    def play(name):
        path = name
        if name in BAD:
            release, length, _ = BAD[name]
            path = str(folder / f"{name}.hcl")
            (folder / f"{name}.hcl").write_text(
                releases.text(name, releases.SHIMS[release], length, managers=6)
            )
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "vanerelay",
                "lab",
                "fleet",
                path,
                "--seed",
                "1",
                "--json",
                "--quiet",
                "--folder",
                str(folder / name),
                "--report",
                str(folder / f"{name}.html"),
            ],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env=os.environ,
            check=False,
        )
        return done, folder / name

    with ThreadPoolExecutor(SIDE_BY_SIDE) as pool:
        yield {name: pool.submit(play, name) for name in (*PLAYS, *BAD)}


def said(folder, name="controller"):
    return (folder / f"{name}.log").read_text()


@pytest.mark.parametrize("name", PLAYS)
def test_a_play_keeps_the_rules_and_ends_as_it_has_to(plays, name):
    done, folder = plays[name].result()
    logs = "".join(
        f"{path.name}: {path.read_text()[-1500:]}" for path in folder.glob("*.log") if path.name[0] != "m"
    )
    assert done.returncode == 0, done.stdout + done.stderr + logs
    told = json.loads(done.stdout)
    assert told["findings"] == [] and told["reached"]
    assert "<svg" in folder.with_suffix(".html").read_text() and folder.with_suffix(".csv").exists()


LEASED = [name for name in PLAYS if name.startswith("lease")]


@pytest.mark.parametrize("name", LEASED)
def test_nobody_acts_beside_a_holder_in_what_all_parties_wrote(plays, name):
    folder = plays[name].result()[1]
    rows = [row for path in (folder / "history").glob("*.jsonl") for row in read(path)]
    assert operations.violations(rows) == [] and register.violations(rows) == []
    taken = [row for row in rows if row["op"] == "order" and row["result"] == "ok"]
    assert len(taken) > 50 and len({row["holder"] for row in taken}) > 1


HINTED = [name for name in PLAYS if name.startswith("fresh")]


@pytest.mark.parametrize("name", HINTED)
def test_no_read_is_older_than_its_hint_asks_by_the_sources_own_record(plays, name):
    folder = plays[name].result()[1]
    rows = [row for path in (folder / "history").glob("*.jsonl") for row in read(path)]
    assert reads.violations(rows) == [] and operations.violations(rows) == []
    judged = [row for row in rows if row["op"] == "query" and row["result"] == "returned" and row["hint"]]
    assert len(judged) > 300 and {row.get("pin") for row in judged} > {"new", "kept", "lost"}
    assert len({row["holder"] for row in rows if row["op"] == "order"}) > 1, "the watch has changed hands"


def test_warming_orders_are_obeyed_by_number_and_within_their_budget(plays):
    folder = plays["warm-first"].result()[1]
    rows = [row for path in (folder / "history").glob("*.jsonl") for row in read(path)]
    assert (
        prefetches.violations(rows, cost=0.4, budget=4.0, saves=10.0) == []
        and operations.violations(rows) == []
    )
    done = [row for row in rows if row["op"] == "warm" and row["result"] == "ok"]
    assert len(done) > 30 and len({row["number"] for row in done}) > 1


def test_nobody_acts_between_the_loss_of_all_disks_and_an_operators_word(plays):
    folder = plays["lease-lost"].result()[1]
    rows = [row for path in (folder / "history").glob("*.jsonl") for row in read(path)]
    orders = [row for row in rows if row["op"] == "order" and row["result"] == "ok"]
    taken = sorted((row["begin"], row["number"]) for row in orders)
    eras = {number >> 32 for _, number in taken}
    last = max(at for at, number in taken if number >> 32 == 1)
    first = min(at for at, number in taken if number >> 32 == 2)
    assert eras == {1, 2} and first - last > 5 * SECOND
    told = (folder / "who holds what: nobody.log").read_text()
    assert "held by nobody" in told and "blank" in told


@pytest.mark.parametrize(
    "name, says",
    [
        ("roll-worse", ["going back (look: utility worse", "managers it had reached: m1, m2\n"]),
        ("roll-refuses", ["ended before it was ready", "managers it had reached: m1\n"]),
        ("roll-dies", ["going back (", "ended by itself 2 times"]),
        ("roll-unwilling", ["m2: proxies are served by the settings of the start", "ended: back"]),
        ("roll-down", ["back, but for m2", "ended: back"]),
        ("roll-cut", ["resumed", "fence 3 taken", "m6 not heard: neither good nor bad", "ended: done"]),
        ("roll-weather", ["ended: done"]),
    ],
)
def test_the_controller_says_why(plays, name, says):
    told = said(plays[name].result()[1])
    assert all(one in told for one in says), told


def test_a_controller_that_was_followed_ends_and_undoes_nothing(plays):
    folder = plays["roll-lease"].result()[1]
    assert "waiting for the lease" in said(folder, "second") and "ended: done" in said(folder, "second")
    assert "fenced: another controller has held the lease" in said(folder, "first")


@pytest.mark.parametrize("name", BAD)
def test_a_bad_release_ends_with_the_old_one_everywhere(plays, name):
    done, folder = plays[name].result()
    told = said(folder)
    assert "ended: back" in told and BAD[name][2] in told, told + done.stderr
    assert json.loads(done.stdout)["findings"] == []


def test_a_controller_that_sleeps_is_fenced_and_its_orders_are_not_heeded(plays):
    folder = plays["roll-two"].result()[1]
    assert "fenced: fence 1" in said(folder, "first") and "ended: done" in said(folder, "second"), said(
        folder, "first"
    )
    assert "m5: ordered to old (runs another release)" in said(folder, "second"), said(folder, "second")


def test_the_keeper_hands_over_without_refusing_anybody(plays):
    told = json.loads(plays["roll-program"].result()[0].stdout)
    for group in told["groups"].values():
        assert group.get("lost", 0) == group.get("errored", 0) == 0, told
