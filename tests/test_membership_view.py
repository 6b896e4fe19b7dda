"""Which list files are accepted, and how sources are merged: tables of cases, and properties of any order."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, EngineState
from vanerelay.membership.file_stability import FileSignature, StabilityConfig, StabilityTracker
from vanerelay.membership.flap_damping import FlapDampingConfig
from vanerelay.membership.list_acceptance import Acceptance, AcceptanceConfig, ListAcceptance
from vanerelay.membership.list_codec import EngineList
from vanerelay.membership.merged_view import FIRST_REPORT_TIMEOUT, MergedView
from vanerelay.membership.sources import REMOVAL_BINDS_FOR, SourceConfig

UP, DRAINING, GONE = EngineState.UP, EngineState.DRAINING, EngineState.GONE
NOW = 1000 * SECOND


def engine(name, address=None, state=UP, **fields):
    return ListedEngine(
        **{
            "name": name,
            "address": address or f"127.0.0.1:{1000 + ord(name[-1])}",
            "state": state,
            "zone": 0,
            "machine_kind": 0,
            "cell": 0,
            "size": 1.0,
            "started_at": 0,
            **fields,
        }
    )


def listed(revision, *engines, digest=None):
    found = {one.name: one for one in (engine(e) if isinstance(e, str) else e for e in engines)}
    return EngineList(revision, found, digest or f"{revision} {sorted(found.items())}")


# Acceptance: completely or not at all.

TEN = "abcdefghij"


class Unusable:
    """Stands for a file that cannot be read."""

    def __init__(self, reason):
        self.reason = reason


def offer(acceptance, now, path, offered):
    if isinstance(offered, Unusable):
        return acceptance.reject(path, offered.reason)
    return acceptance.offer(now, path, offered)


def lists(*files, single_file=True, **config):
    made = ListAcceptance(AcceptanceConfig(**config), single_file)
    for number, one in enumerate(files):
        assert offer(made, NOW, f"f{number}", one).acceptance is Acceptance.ACCEPTED
    return made


@pytest.mark.parametrize(
    ("offered", "acceptance", "reason"),
    [
        (listed(2, *TEN), Acceptance.ACCEPTED, ""),
        (listed(2, *TEN[:7]), Acceptance.ACCEPTED, ""),
        (listed(2, *TEN[:6]), Acceptance.PENDING, "4 of 10"),
        (listed(2, *(engine(n, state=DRAINING) for n in TEN)), Acceptance.PENDING, "10 of 10"),
        (listed(2, *(engine(n, weight=0.0) for n in TEN)), Acceptance.PENDING, "10 of 10"),
        (listed(2), Acceptance.REJECTED, "empty"),
        (listed(2, *(engine(n, state=GONE) for n in TEN)), Acceptance.REJECTED, "empty"),
        (listed(0, *TEN), Acceptance.REJECTED, "revision 0 after 1"),
        (listed(1, *TEN[:9]), Acceptance.REJECTED, "under revision 1"),
        (Unusable("line 3: cut off"), Acceptance.REJECTED, "line 3"),
        (listed(2, *TEN, *(f"x{n}" for n in "abc")), Acceptance.REJECTED, "12 at most"),
    ],
)
def test_a_file_is_accepted_completely_or_leaves_all_as_it_was(offered, acceptance, reason):
    one = lists(listed(1, *TEN), max_engines=12)
    before = one.in_force
    result = offer(one, NOW, "f0", offered)
    assert result.acceptance is acceptance and reason in result.reason
    if acceptance is not Acceptance.ACCEPTED:
        assert one.in_force is before and one.revision == 1 and not result.delta.changed
        assert reason in one.problems["f0"]
        back = offer(one, NOW, "f0", listed(1, *TEN))
        assert back.acceptance is Acceptance.UNCHANGED and not one.problems and one.pending is None


@pytest.mark.parametrize(
    ("then", "acceptance", "left"),
    [
        (lambda one: one.advance(NOW + 59 * SECOND), Acceptance.UNCHANGED, 10),
        (lambda one: one.advance(NOW + 60 * SECOND), Acceptance.ACCEPTED, 2),
        (lambda one: one.confirm(), Acceptance.ACCEPTED, 2),
        (lambda one: offer(one, NOW + 1, "f0", listed(3, *TEN[:2])), Acceptance.ACCEPTED, 2),
        (lambda one: offer(one, NOW + 1, "f0", listed(3, *TEN[2:4])), Acceptance.ACCEPTED, 2),
        (
            lambda one: offer(one, NOW + 1, "f0", listed(2, *TEN[:2])),
            Acceptance.PENDING,
            10,
        ),  # the same once more
        (
            lambda one: offer(one, NOW + 1, "f0", listed(3, *TEN[:8])),
            Acceptance.ACCEPTED,
            8,
        ),  # less is lost now
        (
            lambda one: (offer(one, NOW + 1, "f0", Unusable("torn")), one.advance(NOW + 60 * SECOND))[1],
            Acceptance.UNCHANGED,
            10,
        ),
        (
            lambda one: (offer(one, NOW + 1, "f0", listed(1, *TEN)), one.advance(NOW + 60 * SECOND))[1],
            Acceptance.UNCHANGED,
            10,
        ),
    ],
)
def test_a_list_that_lost_much_is_pending_until_it_is_confirmed(then, acceptance, left):
    one = lists(listed(1, *TEN))
    assert offer(one, NOW, "f0", listed(2, *TEN[:2])).acceptance is Acceptance.PENDING
    assert (one.pending.since, one.pending.lost_engines) == (NOW, 8)
    assert then(one).acceptance is acceptance
    assert len(one.in_force) == left


def test_a_list_split_over_files_is_one_list():
    one = lists(listed(1, "a", "b"), listed(1, "c", "d"), single_file=False)
    assert set(one.in_force) == set("abcd") and one.revision == 2
    moved = offer(one, NOW, "f1", listed(2, "b", "c", "d"))
    assert (
        moved.acceptance is Acceptance.REJECTED
        and "f0 too" in moved.reason
        and set(one.in_force) == set("abcd")
    )
    # Once the other file no longer lists it, both are accepted.
    assert offer(one, NOW, "f0", listed(2, "a")).acceptance is Acceptance.ACCEPTED and not one.problems
    assert set(one.in_force) == set("abcd") and one.files["f1"].revision == 2
    clash = offer(one, NOW, "f1", listed(3, "c", engine("d", "127.0.0.1:1097")))
    assert clash.acceptance is Acceptance.REJECTED and "127.0.0.1:1097" in clash.reason


def test_a_missing_file_keeps_its_engines_until_a_pattern_has_missed_it_for_long():
    one = lists(listed(1, "a", "b", "e"), listed(1, "c"), single_file=False)
    assert one.file_missing(NOW, "f1", False).acceptance is Acceptance.REJECTED
    assert (
        one.file_missing(NOW + 3600 * SECOND, "f1", False).acceptance is Acceptance.REJECTED
        and one.next_deadline() is None
    )
    one.file_missing(NOW, "f1", True)
    assert (
        one.next_deadline() == NOW + 10 * SECOND
        and one.file_missing(NOW + 9 * SECOND, "f1", True).acceptance is Acceptance.REJECTED
    )
    result = one.file_missing(NOW + 10 * SECOND, "f1", True)
    assert result.acceptance is Acceptance.ACCEPTED and result.delta.removed == {"c"}
    one.file_missing(NOW, "f0", True)
    assert "empty" in one.file_missing(NOW + 20 * SECOND, "f0", True).reason and set(one.in_force) == set(
        "abe"
    )


def test_a_pinned_list_holds_whatever_the_files_say():
    one = lists(listed(1, *TEN))
    offer(one, NOW, "f0", listed(2, *TEN[:9]))
    delta = one.pin(1, {"f0": listed(1, *TEN)})
    assert set(delta.changed) == {"j"} and set(one.in_force) == set(TEN)
    assert offer(one, NOW, "f0", listed(3, *TEN[:8])).acceptance is Acceptance.ACCEPTED and set(
        one.in_force
    ) == set(TEN)
    assert one.unpin().removed == {"i", "j"} and set(one.in_force) == set(TEN[:8])


@settings(max_examples=200, deadline=None)
@given(
    st.lists(
        st.sampled_from(
            [Unusable("x"), listed(0, *TEN), listed(1, *TEN[:3]), listed(5), listed(5, *TEN[:2])]
        ),
        max_size=8,
    ),
    st.data(),
)
def test_no_sequence_of_rejected_files_changes_anything(offers, data):
    one = lists(listed(1, *TEN), confirm_after=0)
    for number, offered in enumerate(offers):
        result = offer(one, NOW + number, "f0", offered)
        one.advance(NOW + data.draw(st.integers(0, 10**9)))
        assert result.acceptance is not Acceptance.ACCEPTED and set(one.in_force) == set(TEN)


# Stability of files.


def signature(n):
    return FileSignature(1, 1, n, n, n)


def test_a_file_counts_once_it_is_stable_and_the_same_before_and_after_reading():
    config = StabilityConfig()
    one = StabilityTracker(config)
    assert one.stable_at() is None
    one.observed(NOW, signature(1))
    assert one.stable_at() == NOW + config.quiet_period
    one.observed(NOW + 100, signature(2))
    assert one.stable_at() == NOW + 100 + config.quiet_period
    one.writer_active(NOW + 200)  # a writer has it open: its pause is no end
    assert one.stable_at() == NOW + 200 + config.writer_quiet_period
    one.writer_closed()
    assert one.stable_at() == NOW + 100 + config.quiet_period
    assert (
        not one.read_completed(NOW + 2000, signature(2), signature(3))
        and one.stable_at() == NOW + 2000 + config.quiet_period
    )
    assert one.read_completed(NOW + 4000, signature(3), signature(3)) and one.stable_at() is None
    one.observed(NOW + 5000, signature(3))  # touched without a change, as far as the signatures tell
    assert one.stable_at() is None
    one.observed(NOW + 6000, None)
    assert one.stable_at() is None and not one.exists
    assert (
        config.poll_interval + max(config.quiet_period, config.writer_quiet_period) < 2 * SECOND - SECOND // 4
    )


# The view.


class Sources:
    """Each source's list as it goes, reported to one view; `published` is what came of that."""

    def __init__(self, *configs, flap_damping=FlapDampingConfig(max_returns=0)):  # noqa: B008
        self.view = MergedView(NOW, configs, flap_damping)
        self.lists, self.published, self.order = {config.name: {} for config in configs}, {}, []

    def report(self, source, *engines, removed=(), now=NOW):
        new = {**self.lists[source], **{one.name: one for one in engines}}
        for name in removed:
            new.pop(name, None)
        self.lists[source] = new
        changed = [one.name for one in engines if one.name not in removed]
        self.view.report(source, now, 1, new, changed, removed)

    def publish(self, now=NOW, limit=250):
        self.view.advance(now)
        while self.view.has_pending() and self.view.is_ready(now):
            for entry in self.view.step(now, limit):
                self.order.append(entry)
                if entry.engine.state is GONE:
                    del self.published[entry.engine.name]
                else:
                    self.published[entry.engine.name] = entry.engine
        return self.published


FILES, FEED = SourceConfig("files", 10), SourceConfig("feed", 20)


@pytest.mark.parametrize("reverse", [False, True])
@pytest.mark.parametrize(
    ("files", "feed", "configs", "expected"),
    [
        # what the files report of engine a, what the feed reports, and what comes of it
        (engine("a"), None, (FILES, FEED), UP),
        (None, engine("a"), (FILES, FEED), UP),
        (engine("a"), "off", (FILES, FEED), None),
        ("off", engine("a"), (FILES, FEED), None),
        ("off", engine("a"), (dataclasses.replace(FILES, authoritative=False), FEED), UP),
        (engine("a", state=DRAINING), engine("a"), (FILES, FEED), DRAINING),
        (engine("a"), engine("a", state=DRAINING), (FILES, FEED), DRAINING),
        (
            engine("a"),
            engine("a", state=DRAINING),
            (FILES, dataclasses.replace(FEED, authoritative=False)),
            UP,
        ),
        (None, engine("a"), (dataclasses.replace(FILES, complete=True), FEED), None),
        (engine("a"), None, (dataclasses.replace(FILES, complete=True), FEED), UP),
    ],
)
def test_presence_goes_by_precedence_and_the_strictest_report_counts(files, feed, configs, expected, reverse):
    s = Sources(*configs)
    steps = [("files", files), ("feed", feed)]
    for source, reported in reversed(steps) if reverse else steps:
        if reported == "off":
            s.report(source, engine("a"), engine("z"))
            s.report(source, removed=("a",))
        else:
            s.report(source, *([reported] if reported else [engine("z")]))
    published = s.publish()
    assert (published["a"].state if "a" in published else None) is expected
    found = s.view.explain("a")
    assert (found.engine is None) == (expected is None) and found.reason.text
    assert set(found.by_source) == {"files", "feed"}


def test_what_sources_report_of_one_engine_is_merged():
    s = Sources(FILES, FEED)
    s.report("feed", engine("a", started_at=70), engine("b", "127.0.0.1:9", started_at=70), engine("c"))
    s.report("files", engine("a", weight=0.5), engine("b", weight=2.0, cell=3))
    published = s.publish()
    assert (published["a"].started_at, published["a"].weight) == (
        70,
        0.5,
    )  # an engine that warms up is not taken for a warm one
    assert (published["b"].started_at, published["b"].weight, published["b"].cell) == (
        0,
        2.0,
        3,
    )  # reported of another address
    assert published["c"].weight is None
    s.report("files", removed=("b",))
    assert "b" not in s.publish()


def test_a_stale_source_comes_last_but_its_removals_bind():
    s = Sources(dataclasses.replace(FILES, stale_after=5 * SECOND, complete=True), FEED)
    s.report("files", engine("a", cell=1), engine("c"), engine("d"))
    s.report("files", removed=("d",))
    s.report("feed", engine("a", cell=2), engine("b"), engine("c"), engine("d"))
    assert set(s.publish()) == {"a", "c"} and s.published["a"].cell == 1
    assert s.view.next_deadline() == NOW + 5 * SECOND
    published = s.publish(NOW + 5 * SECOND)
    assert set(published) == {"a", "b", "c"} and published["a"].cell == 2
    s.view.source_alive("files", NOW + 6 * SECOND)
    assert set(s.publish(NOW + 6 * SECOND)) == {"a", "c"} and s.published["a"].cell == 1


def test_a_removal_binds_until_it_is_taken_back_or_too_old():
    s = Sources(FILES, FEED)
    s.report("files", engine("a"), engine("b"))
    s.report("feed", engine("a"), engine("b"))
    s.report("files", removed=("a", "b"))
    assert not s.publish()
    s.report("files", engine("a"))
    assert set(s.publish()) == {"a"}
    assert set(s.publish(NOW + REMOVAL_BINDS_FOR - 1)) == {"a"} and set(
        s.publish(NOW + REMOVAL_BINDS_FOR)
    ) == {"a", "b"}


def test_two_ids_at_one_address():
    s = Sources(FILES, FEED)
    s.report("files", engine("a", "127.0.0.1:9"))
    s.report("feed", engine("b", "127.0.0.1:9"))
    assert set(s.publish()) == {"a"} and "is that of a" in s.view.explain("b").reason.text
    s.report("feed", engine("b", "127.0.0.1:9", started_at=5))  # it started later: the other has gone
    assert set(s.publish()) == {"b"} and [entry.engine.state for entry in s.order][-2:] == [GONE, UP]
    s.report("files", engine("a", "127.0.0.1:8"))
    assert set(s.publish()) == {"a", "b"}
    s.report("feed", removed=("b",))
    s.report("files", engine("a", "127.0.0.1:9"))
    assert set(s.publish()) == {"a"} and s.published["a"].address == "127.0.0.1:9"


def test_removals_and_drains_are_published_before_all_else():
    s = Sources(FILES)
    s.report("files", *(engine(f"e{n}", f"127.0.0.1:{n + 1}") for n in range(100)))
    s.publish()
    s.order.clear()
    s.report(
        "files",
        *(engine(f"n{n}", f"127.0.0.1:{n + 1}") for n in range(40)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", DRAINING) for n in range(40, 50)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", cell=7) for n in range(50, 60)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", weight=1.5) for n in range(60, 70)),
        removed=tuple(f"e{n}" for n in range(40)),
    )
    s.publish(limit=7)
    worse = [entry.engine.state is not UP or entry.engine.cell == 7 for entry in s.order]
    assert worse == [True] * 60 + [False] * 50 and len(s.published) == 100


def test_an_engine_that_flaps_is_held_off_but_never_kept_in_service():
    s = Sources(FEED, flap_damping=FlapDampingConfig(max_returns=2, window=60 * SECOND, hold_off=30 * SECOND))
    now = NOW
    s.report("feed", engine("a"), engine("b"))
    for turn in range(4):
        s.publish(now)
        s.report("feed", removed=("a",), now=now)
        assert set(s.publish(now)) == {"b"}, turn
        now += SECOND
        s.report("feed", engine("a"), now=now)
        assert ("a" in s.publish(now)) == (turn < 2), turn
    assert "held back" in s.view.explain("a").reason.text
    due = s.view.next_deadline()
    assert (
        due == now - SECOND + 30 * SECOND
        and set(s.publish(due - 1)) == {"b"}
        and set(s.publish(due)) == {"a", "b"}
    )
    s.report("feed", engine("a", state=DRAINING), now=due)
    assert s.publish(due)["a"].state is DRAINING


def test_nothing_is_published_before_every_source_has_had_its_time():
    s = Sources(FILES, FEED)
    s.report("feed", engine("a"))
    assert (
        not s.publish()
        and not s.publish(NOW + FIRST_REPORT_TIMEOUT - 1)
        and s.view.next_deadline() == NOW + FIRST_REPORT_TIMEOUT
    )
    assert set(s.publish(NOW + FIRST_REPORT_TIMEOUT)) == {"a"}
    both = Sources(FILES, FEED)
    both.report("feed", engine("a"))
    both.report("files", engine("b"))
    assert set(both.publish()) == {"a", "b"}


THIRD = SourceConfig("third", 15, authoritative=False)
REPORTS = st.tuples(
    st.sampled_from("abc"),
    st.sampled_from(["up", "drain", "off", "gone"]),
    st.integers(1, 3),
    st.integers(0, 1),
)


@settings(max_examples=300, deadline=None)
@given(st.tuples(*[st.lists(REPORTS, min_size=1, max_size=5)] * 3), st.integers(0, 2**32), st.booleans())
def test_any_order_in_which_sources_report_gives_the_same_view(reports, seed, complete):
    """The same reports of each source, in its order, between those of the others in any order."""
    configs = (dataclasses.replace(FILES, complete=complete), FEED, THIRD)
    queues = dict(zip((one.name for one in configs), reports, strict=True))
    views = []
    for turn in range(2):
        s, random_source = Sources(*configs), random.Random(seed + turn)
        turns = list(
            itertools.chain.from_iterable([name] * len(reported) for name, reported in queues.items())
        )
        random_source.shuffle(turns)
        left = {name: iter(reported) for name, reported in queues.items()}
        for source in turns:
            name, kind, port, started = next(left[source])
            if kind == "off":
                s.report(source, removed=(name,))
            else:
                state = {"up": UP, "drain": DRAINING, "gone": GONE}[kind]
                s.report(source, engine(name, f"127.0.0.1:{port}", state, started_at=started))
            if random_source.random() < 0.5:
                s.publish(limit=random_source.choice((1, 250)))
        views.append(s.publish())
        for name in "abc":  # what is published is what would be merged from nothing
            assert views[-1].get(name) == s.view.explain(name).engine
        addresses = [one.address for one in views[-1].values()]
        assert len(addresses) == len(set(addresses))
    assert views[0] == views[1]


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.booleans()), min_size=1, max_size=30))
def test_a_removal_is_never_held_off(moves):
    s, now = (
        Sources(FEED, flap_damping=FlapDampingConfig(max_returns=1, window=10 * SECOND, hold_off=5 * SECOND)),
        NOW,
    )
    s.report("feed", engine("b"))
    for wait, there in moves:
        now += wait * SECOND
        s.report("feed", *([engine("a")] if there else []), removed=() if there else ("a",), now=now)
        assert "a" not in s.publish(now) or there
    assert not there or "a" in s.publish(now + 5 * SECOND)
