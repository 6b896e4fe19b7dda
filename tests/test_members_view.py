"""What is believed of list files, and how sources are merged: tables of cases, and properties of any
order."""

from __future__ import annotations

import dataclasses
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, EngineState
from vanerelay.membership.file_stability import Mark, Settling, Stillness
from vanerelay.membership.list_acceptance import Checks, Kind, Lists
from vanerelay.membership.list_codec import EngineList, Unusable
from vanerelay.membership.merged_view import FIRST, KEPT, Flapping, Standing, View

UP, DRAINING, GONE = EngineState.UP, EngineState.DRAINING, EngineState.GONE
NOW = 1000 * SECOND


def engine(name, address=None, state=UP, **other):
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
            **other,
        }
    )


def listed(revision, *members, digest=None):
    found = {one.name: one for one in (engine(m) if isinstance(m, str) else m for m in members)}
    return EngineList(revision, found, digest or f"{revision} {sorted(found.items())}")


# Lists: whole or not at all.

TEN = "abcdefghij"


def lists(*files, single=True, **checks):
    made = Lists(Checks(**checks), single)
    for number, one in enumerate(files):
        assert made.offer(NOW, f"f{number}", one).kind is Kind.ACCEPTED
    return made


@pytest.mark.parametrize(
    ("offered", "kind", "why"),
    [
        (listed(2, *TEN), Kind.ACCEPTED, ""),
        (listed(2, *TEN[:7]), Kind.ACCEPTED, ""),
        (listed(2, *TEN[:6]), Kind.HELD, "4 of 10"),
        (listed(2, *(engine(n, state=DRAINING) for n in TEN)), Kind.HELD, "10 of 10"),
        (listed(2, *(engine(n, weight=0.0) for n in TEN)), Kind.HELD, "10 of 10"),
        (listed(2), Kind.REFUSED, "empty"),
        (listed(2, *(engine(n, state=GONE) for n in TEN)), Kind.REFUSED, "empty"),
        (listed(0, *TEN), Kind.REFUSED, "revision 0 after 1"),
        (listed(1, *TEN[:9]), Kind.REFUSED, "under revision 1"),
        (Unusable("line 3: cut off"), Kind.REFUSED, "line 3"),
        (listed(2, *TEN, *(f"x{n}" for n in "abc")), Kind.REFUSED, "12 at most"),
    ],
)
def test_a_file_is_taken_whole_or_leaves_all_as_it_was(offered, kind, why):
    one = lists(listed(1, *TEN), most_members=12)
    before = one.in_force
    verdict = one.offer(NOW, "f0", offered)
    assert verdict.kind is kind and why in verdict.why
    if kind is not Kind.ACCEPTED:
        assert one.in_force is before and one.revision == 1 and not verdict.delta.changed
        assert why in one.trouble["f0"]
        back = one.offer(NOW, "f0", listed(1, *TEN))
        assert back.kind is Kind.UNCHANGED and not one.trouble and one.held() is None


@pytest.mark.parametrize(
    ("then", "kind", "left"),
    [
        (lambda one: one.look(NOW + 59 * SECOND), Kind.UNCHANGED, 10),
        (lambda one: one.look(NOW + 60 * SECOND), Kind.ACCEPTED, 2),
        (lambda one: one.confirm(NOW + 1), Kind.ACCEPTED, 2),
        (lambda one: one.offer(NOW + 1, "f0", listed(3, *TEN[:2])), Kind.ACCEPTED, 2),
        (lambda one: one.offer(NOW + 1, "f0", listed(3, *TEN[2:4])), Kind.ACCEPTED, 2),
        (lambda one: one.offer(NOW + 1, "f0", listed(2, *TEN[:2])), Kind.HELD, 10),  # the same once more
        (lambda one: one.offer(NOW + 1, "f0", listed(3, *TEN[:8])), Kind.ACCEPTED, 8),  # less is lost now
        (
            lambda one: (one.offer(NOW + 1, "f0", Unusable("torn")), one.look(NOW + 60 * SECOND))[1],
            Kind.UNCHANGED,
            10,
        ),
        (
            lambda one: (one.offer(NOW + 1, "f0", listed(1, *TEN)), one.look(NOW + 60 * SECOND))[1],
            Kind.UNCHANGED,
            10,
        ),
    ],
)
def test_a_list_that_lost_much_is_held_until_it_is_confirmed(then, kind, left):
    one = lists(listed(1, *TEN))
    assert one.offer(NOW, "f0", listed(2, *TEN[:2])).kind is Kind.HELD and one.held() == (NOW, 8)
    assert then(one).kind is kind
    assert len(one.in_force) == left


def test_a_list_split_over_files_is_one_list():
    one = lists(listed(1, "a", "b"), listed(1, "c", "d"), single=False)
    assert set(one.in_force) == set("abcd") and one.revision == 2
    moved = one.offer(NOW, "f1", listed(2, "b", "c", "d"))
    assert moved.kind is Kind.REFUSED and "f0 too" in moved.why and set(one.in_force) == set("abcd")
    # Once the other file has let go of it, both are taken.
    assert one.offer(NOW, "f0", listed(2, "a")).kind is Kind.ACCEPTED and not one.trouble
    assert set(one.in_force) == set("abcd") and one.files["f1"].revision == 2
    clash = one.offer(NOW, "f1", listed(3, "c", engine("d", "127.0.0.1:1097")))
    assert clash.kind is Kind.REFUSED and "127.0.0.1:1097" in clash.why


def test_a_missing_file_keeps_its_engines_until_a_pattern_has_missed_it_for_long():
    one = lists(listed(1, "a", "b", "e"), listed(1, "c"), single=False)
    assert one.missing(NOW, "f1", False).kind is Kind.REFUSED
    assert one.missing(NOW + 3600 * SECOND, "f1", False).kind is Kind.REFUSED and one.due() is None
    one.missing(NOW, "f1", True)
    assert one.due() == NOW + 10 * SECOND and one.missing(NOW + 9 * SECOND, "f1", True).kind is Kind.REFUSED
    verdict = one.missing(NOW + 10 * SECOND, "f1", True)
    assert verdict.kind is Kind.ACCEPTED and verdict.delta.withdrawn == {"c"}
    one.missing(NOW, "f0", True)
    assert "empty" in one.missing(NOW + 20 * SECOND, "f0", True).why and set(one.in_force) == set("abe")


def test_a_pinned_list_holds_whatever_the_files_say():
    one = lists(listed(1, *TEN))
    one.offer(NOW, "f0", listed(2, *TEN[:9]))
    delta = one.pin(1, {"f0": listed(1, *TEN)})
    assert set(delta.changed) == {"j"} and set(one.in_force) == set(TEN)
    assert one.offer(NOW, "f0", listed(3, *TEN[:8])).kind is Kind.ACCEPTED and set(one.in_force) == set(TEN)
    assert one.unpin().withdrawn == {"i", "j"} and set(one.in_force) == set(TEN[:8])


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
def test_no_sequence_of_refused_files_changes_anything(offers, data):
    one = lists(listed(1, *TEN), confirm_after=0)
    for number, offer in enumerate(offers):
        verdict = one.offer(NOW + number, "f0", offer)
        one.look(NOW + data.draw(st.integers(0, 10**9)))
        assert verdict.kind is not Kind.ACCEPTED and set(one.in_force) == set(TEN)


# Stillness.


def mark(n):
    return Mark(1, 1, n, n, n)


def test_a_file_counts_once_it_was_still_and_the_same_before_and_after_reading():
    terms = Stillness()
    one = Settling(terms)
    assert one.due() is None
    one.seen(NOW, mark(1))
    assert one.due() == NOW + terms.still
    one.seen(NOW + 100, mark(2))
    assert one.due() == NOW + 100 + terms.still
    one.writing(NOW + 200)  # a writer has it open: its pause is no end
    assert one.due() == NOW + 200 + terms.writer
    one.closed()
    assert one.due() == NOW + 100 + terms.still
    assert not one.read(NOW + 2000, mark(2), mark(3)) and one.due() == NOW + 2000 + terms.still
    assert one.read(NOW + 4000, mark(3), mark(3)) and one.due() is None
    one.seen(NOW + 5000, mark(3))  # touched without a change, as far as the marks tell
    assert one.due() is None
    one.seen(NOW + 6000, None)
    assert one.due() is None and not one.there
    assert terms.poll + max(terms.still, terms.writer) < 2 * SECOND - SECOND // 4


# The view.


class Sources:
    """Each source's list as it goes, told to one view."""

    def __init__(self, *standings, flapping=Flapping(returns=0)):  # noqa: B008
        self.view, self.lists, self.out = View(NOW, standings, flapping), {s.name: {} for s in standings}, {}
        self.order = []

    def tell(self, source, *members, off=(), now=NOW):
        new = {**self.lists[source], **{m.name: m for m in members}}
        for name in off:
            new.pop(name, None)
        self.lists[source] = new
        self.view.tell(source, now, 1, new, [m.name for m in members if m.name not in off], off)

    def show(self, now=NOW, most=250):
        self.view.look(now)
        while self.view.pending() and self.view.open(now):
            for shown in self.view.step(now, most):
                self.order.append(shown)
                if shown.member.state is GONE:
                    del self.out[shown.member.name]
                else:
                    self.out[shown.member.name] = shown.member
        return self.out


FILES, FEED = Standing("files", 10), Standing("feed", 20)


@pytest.mark.parametrize("turned", [False, True])
@pytest.mark.parametrize(
    ("files", "feed", "standings", "is_"),
    [
        # what the files say of engine a, what the feed says, and what comes of it
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
def test_presence_goes_by_precedence_and_the_strictest_word_counts(files, feed, standings, is_, turned):
    s = Sources(*standings)
    steps = [("files", files), ("feed", feed)]
    for source, word in reversed(steps) if turned else steps:
        if word == "off":
            s.tell(source, engine("a"), engine("z"))
            s.tell(source, off=("a",))
        else:
            s.tell(source, *([word] if word else [engine("z")]))
    out = s.show()
    assert (out["a"].state if "a" in out else None) is is_
    member, reason, words = s.view.explain(NOW, "a")
    assert (member is None) == (is_ is None) and reason.why and set(words) == {"files", "feed"}


def test_what_sources_tell_of_one_engine_is_put_together():
    s = Sources(FILES, FEED)
    s.tell("feed", engine("a", started_at=70), engine("b", "127.0.0.1:9", started_at=70), engine("c"))
    s.tell("files", engine("a", weight=0.5), engine("b", weight=2.0, cell=3))
    out = s.show()
    assert (out["a"].started_at, out["a"].weight) == (70, 0.5)  # a cold engine is not taken for a warm one
    assert (out["b"].started_at, out["b"].weight, out["b"].cell) == (0, 2.0, 3)  # told of another address
    assert out["c"].weight is None
    s.tell("files", off=("b",))
    assert "b" not in s.show()


def test_a_stale_source_comes_last_but_its_removals_bind():
    s = Sources(dataclasses.replace(FILES, stale_after=5 * SECOND, complete=True), FEED)
    s.tell("files", engine("a", cell=1), engine("c"), engine("d"))
    s.tell("files", off=("d",))
    s.tell("feed", engine("a", cell=2), engine("b"), engine("c"), engine("d"))
    assert set(s.show()) == {"a", "c"} and s.out["a"].cell == 1
    assert s.view.due() == NOW + 5 * SECOND
    out = s.show(NOW + 5 * SECOND)
    assert set(out) == {"a", "b", "c"} and out["a"].cell == 2
    s.view.heard("files", NOW + 6 * SECOND)
    assert set(s.show(NOW + 6 * SECOND)) == {"a", "c"} and s.out["a"].cell == 1


def test_a_word_of_removal_binds_until_it_is_taken_back_or_too_old():
    s = Sources(FILES, FEED)
    s.tell("files", engine("a"), engine("b"))
    s.tell("feed", engine("a"), engine("b"))
    s.tell("files", off=("a", "b"))
    assert not s.show()
    s.tell("files", engine("a"))
    assert set(s.show()) == {"a"}
    assert set(s.show(NOW + KEPT - 1)) == {"a"} and set(s.show(NOW + KEPT)) == {"a", "b"}


def test_two_ids_at_one_address():
    s = Sources(FILES, FEED)
    s.tell("files", engine("a", "127.0.0.1:9"))
    s.tell("feed", engine("b", "127.0.0.1:9"))
    assert set(s.show()) == {"a"} and "is that of a" in s.view.explain(NOW, "b")[1].why
    s.tell("feed", engine("b", "127.0.0.1:9", started_at=5))  # it started later: the other has gone
    assert set(s.show()) == {"b"} and [shown.member.state for shown in s.order][-2:] == [GONE, UP]
    s.tell("files", engine("a", "127.0.0.1:8"))
    assert set(s.show()) == {"a", "b"}
    s.tell("feed", off=("b",))
    s.tell("files", engine("a", "127.0.0.1:9"))
    assert set(s.show()) == {"a"} and s.out["a"].address == "127.0.0.1:9"


def test_removals_and_drains_are_shown_before_all_else():
    s = Sources(FILES)
    s.tell("files", *(engine(f"e{n}", f"127.0.0.1:{n + 1}") for n in range(100)))
    s.show()
    s.order.clear()
    s.tell(
        "files",
        *(engine(f"n{n}", f"127.0.0.1:{n + 1}") for n in range(40)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", DRAINING) for n in range(40, 50)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", cell=7) for n in range(50, 60)),
        *(engine(f"e{n}", f"127.0.0.1:{n + 1}", weight=1.5) for n in range(60, 70)),
        off=tuple(f"e{n}" for n in range(40)),
    )
    s.show(most=7)
    worse = [shown.member.state is not UP or shown.member.cell == 7 for shown in s.order]
    assert worse == [True] * 60 + [False] * 50 and len(s.out) == 100


def test_an_engine_that_flaps_is_held_off_but_never_kept_on():
    s = Sources(FEED, flapping=Flapping(returns=2, span=60 * SECOND, hold=30 * SECOND))
    now = NOW
    s.tell("feed", engine("a"), engine("b"))
    for turn in range(4):
        s.show(now)
        s.tell("feed", off=("a",), now=now)
        assert set(s.show(now)) == {"b"}, turn
        now += SECOND
        s.tell("feed", engine("a"), now=now)
        assert ("a" in s.show(now)) == (turn < 2), turn
    assert "held back" in s.view.explain(now, "a")[1].why
    due = s.view.due()
    assert (
        due == now - SECOND + 30 * SECOND and set(s.show(due - 1)) == {"b"} and set(s.show(due)) == {"a", "b"}
    )
    s.tell("feed", engine("a", state=DRAINING), now=due)
    assert s.show(due)["a"].state is DRAINING


def test_nothing_is_shown_before_every_source_has_had_its_time():
    s = Sources(FILES, FEED)
    s.tell("feed", engine("a"))
    assert not s.show() and not s.show(NOW + FIRST - 1) and s.view.due() == NOW + FIRST
    assert set(s.show(NOW + FIRST)) == {"a"}
    both = Sources(FILES, FEED)
    both.tell("feed", engine("a"))
    both.tell("files", engine("b"))
    assert set(both.show()) == {"a", "b"}


THIRD = Standing("third", 15, authoritative=False)
WORDS = st.tuples(
    st.sampled_from("abc"),
    st.sampled_from(["up", "drain", "off", "gone"]),
    st.integers(1, 3),
    st.integers(0, 1),
)


@settings(max_examples=300, deadline=None)
@given(st.tuples(*[st.lists(WORDS, min_size=1, max_size=5)] * 3), st.integers(0, 2**32), st.booleans())
def test_any_order_in_which_sources_speak_gives_the_same_view(told, seed, complete):
    """The same words of each source, in its order, between those of the others in any order, shown now and
    then."""
    standings = (dataclasses.replace(FILES, complete=complete), FEED, THIRD)
    queues = dict(zip((one.name for one in standings), told, strict=True))
    views = []
    for turn in range(2):
        s, chance = Sources(*standings), random.Random(seed + turn)
        turns = list(itertools.chain.from_iterable([name] * len(words) for name, words in queues.items()))
        chance.shuffle(turns)
        left = {name: iter(words) for name, words in queues.items()}
        for source in turns:
            name, word, port, started = next(left[source])
            if word == "off":
                s.tell(source, off=(name,))
            else:
                state = {"up": UP, "drain": DRAINING, "gone": GONE}[word]
                s.tell(source, engine(name, f"127.0.0.1:{port}", state, started_at=started))
            if chance.random() < 0.5:
                s.show(most=chance.choice((1, 250)))
        views.append(s.show())
        for name in "abc":  # what is shown is what would be merged from nothing
            member, _, _ = s.view.explain(NOW, name)
            assert views[-1].get(name) == member
        addresses = [member.address for member in views[-1].values()]
        assert len(addresses) == len(set(addresses))
    assert views[0] == views[1]


@settings(max_examples=100, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 20), st.booleans()), min_size=1, max_size=30))
def test_a_removal_is_never_held(moves):
    s, now = Sources(FEED, flapping=Flapping(returns=1, span=10 * SECOND, hold=5 * SECOND)), NOW
    s.tell("feed", engine("b"))
    for wait, there in moves:
        now += wait * SECOND
        s.tell("feed", *([engine("a")] if there else []), off=() if there else ("a",), now=now)
        assert "a" not in s.show(now) or there
    assert not there or "a" in s.show(now + 5 * SECOND)
