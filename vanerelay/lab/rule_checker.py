"""The rules, judged from the clients' and the engines' side alone. Pure: rows in, findings out.

What a fault of the script excuses is said with each rule; anything else that breaks one is a finding, with
batch, time and who had to do with it. Rule 5 needs keys, which clients' frames do not carry: rows have
none."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from vanerelay.interface import MILLISECOND, SECOND, Idempotency
from vanerelay.lab.record import Row, What
from vanerelay.lab.scenario import Group, Ration

SOCKETS = 50 * MILLISECOND  # that each time limit is longer on sockets
ANSWER = SECOND // 2  # after its time until an answer counts as lost
DRAIN = 2 * SECOND  # from when a manager was told of a drain until nothing new may come from it
TOLD = 7 * SECOND  # when what the feed has to tell counts as told, whether it arrived or not
BLAME = 2 / 3  # of a fallen engine's work, from managers that were told of its start
LARGER, ONE = 1.15, 1  # times, and by which, the ration is larger on sockets


@dataclass(frozen=True, slots=True)
class Finding:
    """One thing that is wrong. `rule`: 1 to 7; 0 for a crash or a refused start; 8: an effect done twice,
    which is rule 2's harm itself."""

    rule: int
    at: int
    batch: str
    who: str
    text: str


@dataclass(slots=True)
class Site:
    """What the judge knows beside the rows."""

    groups: Mapping[str, Group]
    ration: Ration
    places: Mapping[str, str]  # of engines
    struck: Mapping[str, Sequence[tuple[int, int]]] = field(default_factory=dict)  # of a party: from, until
    late: Mapping[str, int] = field(default_factory=dict)  # of an engine: how late its link lets things come


def judge(rows: Sequence[Row], site: Site) -> list[Finding]:
    """All findings, the first first."""
    found = [
        *_crashes(rows),
        *_answers(rows, site),
        *_effects(rows, site),
        *_drains(rows, site),
        *_falls(rows, site),
        *_placement(rows, site),
        *_ration(rows, site),
    ]
    return sorted(found, key=lambda finding: (finding.at, finding.rule))


def _excused(site: Site, party: str, since: int, until: int) -> bool:
    """Whether the script struck the party, or its link to clients, at any time between."""
    return any(begun <= until and since <= ended for begun, ended in site.struck.get(party, ()))


def _crashes(rows: Iterable[Row]) -> Iterable[Finding]:
    for row in rows:
        if row.what is What.DIED and row.told:
            yield Finding(0, row.at, "", row.manager, f"ended by itself: {row.told}")


def _answers(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    """Rule 1: one final answer in time. A manager that was struck, or whose link to clients was, while the
    batch was open owes it nothing."""
    open_ = dict[str, Row]()
    answered = dict[str, Row]()
    for row in rows:
        if row.what is What.SENT:
            open_[row.batch] = row
        elif row.what is What.ANSWERED:
            if row.batch in answered:
                yield Finding(1, row.at, row.batch, row.manager, "a second answer")
            answered[row.batch] = row
            sent = open_.pop(row.batch, None)
            if sent is not None and row.at > _owed(sent) and not _excused(site, row.manager, sent.at, row.at):
                late = (row.at - sent.at - sent.figure) / 10
                yield Finding(1, row.at, row.batch, row.manager, f"answered {late:.0f} ms after its limit")
        elif row.what is What.LOST:
            sent = open_.pop(row.batch, None)
            if sent is not None and not _excused(site, row.manager, sent.at, row.at):
                yield Finding(1, row.at, row.batch, row.manager, "its connection ended without an answer")
    last = max((row.at for row in rows), default=0)
    for sent in open_.values():
        if last > _owed(sent) and not _excused(site, sent.manager, sent.at, last):
            yield Finding(1, sent.at, sent.batch, sent.manager, "never answered")


def _owed(sent: Row) -> int:
    return sent.at + int(sent.figure) + SOCKETS + ANSWER


def _effects(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    """Rule 2: once-only batches go again only where nothing can have run; referenced ones within their
    window. Engines know what ran: a run that came after another that had begun, and effects done twice."""
    arrived = defaultdict[str, list[Row]](list)
    proved = defaultdict[tuple[str, str], list[int]](list)  # batch and engine: when it said that it never ran
    began, done = dict[str, Row](), Counter[str]()
    refused = list[Row]()
    for row in rows:
        group = site.groups.get(row.group)
        if group is None or group.effect is Idempotency.IDEMPOTENT:
            continue
        if row.what is What.ARRIVED:
            arrived[row.batch].append(row)
        elif row.what is What.NEVER and row.told == "pushed back":
            proved[row.batch, row.engine].append(row.at)
        elif row.what is What.BEGAN:
            began[row.batch] = row
        elif row.what is What.ENDED:
            done[row.batch] += 1
        elif row.what is What.ANSWERED and row.told == "pushed back":
            refused.append(row)
    for batch, sends in arrived.items():
        group = site.groups[sends[0].group]
        window = group.window + SOCKETS if group.effect is Idempotency.DEDUPLICATED else -1
        for place, send in enumerate(sends):
            before, to = list[Row](), Counter[str]()
            for one in sends[:place]:
                to[one.engine] += 1
                said = sum(at <= send.at for at in proved[batch, one.engine])
                if said < to[one.engine]:  # not as often as it was sent there
                    before.append(one)
            if before and send.at - before[0].at > window:
                yield Finding(
                    2,
                    send.at,
                    batch,
                    send.manager,
                    f"sent to {send.engine} after it had gone to {before[0].engine}",
                )
        if group.effect is Idempotency.NON_IDEMPOTENT and done[batch] > 1:
            yield Finding(8, began[batch].at, batch, sends[0].manager, f"done {done[batch]} times")
    for row in refused:
        if site.groups[row.group].effect is Idempotency.NON_IDEMPOTENT and row.batch in began:
            yield Finding(
                2,
                row.at,
                row.batch,
                row.manager,
                f"pushed back although {began[row.batch].engine} had begun it",
            )


def _drains(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    """Rule 3: from the grace after a manager was told (or counts as told) nothing new comes from it. What
    was on its way on a faulted link is let be."""
    told = dict[tuple[str, str], int]()  # manager and engine: since when it must keep away
    for row in rows:
        if row.what is What.TOLD:
            if row.told == "SERVING":
                told.pop((row.manager, row.engine), None)
            else:
                told.setdefault((row.manager, row.engine), row.at)
        elif row.what is What.ARRIVED:
            since = told.get((row.manager, row.engine))
            if since is not None and row.at > since + DRAIN + SOCKETS + site.late.get(row.engine, 0):
                yield Finding(
                    3,
                    row.at,
                    row.batch,
                    row.manager,
                    f"sent to {row.engine} {(row.at - since) / SECOND:.1f} s after it was drained",
                )


def _falls(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    """Rule 4: a cold engine fell over, and two thirds of its work came from managers told of its start."""
    knew = defaultdict[str, set[str]](set)
    for row in rows:
        if row.what is What.TOLD and row.told == "SERVING":
            knew[row.engine].add(row.manager)
        elif row.what is What.FELL:
            sent = {
                name: float(work)
                for name, _, work in (part.partition("=") for part in row.told.split(","))
                if name
            }
            whole = sum(sent.values())
            if whole and sum(w for name, w in sent.items() if name in knew[row.engine]) >= BLAME * whole:
                yield Finding(4, row.at, "", row.engine, f"fell over, sent {row.told}")
        elif row.what is What.STRUCK and row.engine:
            knew.pop(row.engine, None)  # what comes back is another, of whose start nobody was told yet


def _placement(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    for row in rows:
        group = site.groups.get(row.group) if row.what is What.ARRIVED else None
        if group is not None and group.locations and site.places.get(row.engine) not in group.locations:
            yield Finding(
                6, row.at, row.batch, row.manager, f"sent to {row.engine} in {site.places.get(row.engine)}"
            )


def _ration(rows: Iterable[Row], site: Site) -> Iterable[Finding]:
    """Rule 7, as far as engines see it: dispatches beyond a batch's first that reached one. Counted from a
    process's own start."""
    if not site.ration.span:
        return
    taken = defaultdict[str, list[int]](list)
    further = defaultdict[str, deque[int]](deque)
    seen = set[str]()
    said = set[str]()
    for row in rows:
        if row.what is What.STARTED:
            taken.pop(row.manager, None)
            further.pop(row.manager, None)
        elif row.what is What.SENT:
            taken[row.manager].append(row.at)
        elif row.what is What.ARRIVED and row.batch not in seen:
            seen.add(row.batch)
        elif row.what is What.ARRIVED:
            window, came = further[row.manager], taken[row.manager]
            window.append(row.at)
            while window[0] <= row.at - site.ration.span:
                window.popleft()
            number = len(came) - bisect_left(came, row.at - site.ration.span)
            most = LARGER * (site.ration.free + site.ration.share * number) + ONE
            if len(window) > most and row.manager not in said:
                said.add(row.manager)
                yield Finding(
                    7, row.at, row.batch, row.manager, f"{len(window)} further dispatches, {most:.1f} allowed"
                )
