"""What of a source's list files is believed: pure, with every check and tuned figure.

`Lists` holds one source's files, those in force and those that wait. A file is taken whole or not at all, and
what is refused leaves all as it was. Times are whole tenths of a millisecond."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, Duration, EngineState
from vanerelay.membership.list_codec import EngineList, Unusable


@dataclass(frozen=True, slots=True)
class Checks:
    """The operators' limits on a change. `most_lost`: the part of the engines that one change may take away;
    `least_lost`: losing this many or fewer is never held; `confirm_after`: how long a list held back waits
    until it is believed all the same (0: never by time alone); `missing_after`: how long a file matched by a
    pattern may be missing before its engines are; `most_members`, `most_files`, `most_bytes`: what a source
    may list, in how many files, and how long one may be."""

    most_lost: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.3
    least_lost: int = 1
    confirm_after: Duration = 60 * SECOND
    missing_after: Duration = 10 * SECOND
    most_members: int = 100_000
    most_files: int = 100
    most_bytes: int = 64 * 2**20


class Kind(Enum):
    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    REFUSED = "refused"
    HELD = "held"


@dataclass(frozen=True, slots=True)
class Delta:
    """From one list to the next: engines that are new or told otherwise, and names told no more."""

    changed: dict[str, ListedEngine]
    withdrawn: frozenset[str]


NOTHING = Delta({}, frozenset())


@dataclass(frozen=True, slots=True)
class Verdict:
    """What became of an offer. `revision` is the source's, after it; `delta` what is now in force
    otherwise."""

    kind: Kind
    why: str
    revision: int
    delta: Delta = NOTHING


def delta(before: Mapping[str, ListedEngine], after: Mapping[str, ListedEngine]) -> Delta:
    changed = {name: member for name, member in after.items() if before.get(name) != member}
    return Delta(changed, frozenset(before.keys() - after.keys()))


def lost(before: Mapping[str, ListedEngine], after: Mapping[str, ListedEngine]) -> int:
    """Engines in service before that are not after: gone, told gone or draining, or with nothing new to be
    sent."""
    serving = (n for n, m in before.items() if _serves(m))
    return sum(1 for name in serving if name not in after or not _serves(after[name]))


def _serves(member: ListedEngine) -> bool:
    return member.state is EngineState.UP and member.weight != 0


class Lists:
    """The files of one source."""

    def __init__(self, checks: Checks, single: bool) -> None:
        """`single`: one file by its path, whose revision is the source's; else the source counts its own."""
        self._checks, self._single = checks, single
        self.files: dict[str, EngineList] = {}
        self.accepted: dict[str, ListedEngine] = {}
        self.in_force: dict[str, ListedEngine] = {}
        self.revision, self.pinned = 0, None  # type: int, int | None
        self._waiting: dict[str, EngineList | None] = {}  # refused or held, by path; None: missing
        # since, the files as they would be, lost
        self._held: tuple[int, dict[str, EngineList], int] | None = None
        self._missing: dict[str, int] = {}  # since when
        self.trouble: dict[str, str] = {}  # by path: what is refused or held, and why

    def restore(self, files: Mapping[str, EngineList], revision: int) -> Delta:
        """What was in force before a restart; it was checked then."""
        self.files, self.revision = dict(files), revision
        self.accepted = _joined(self.files.values())
        return self._show()

    def offer(self, now: int, path: str, offered: EngineList | Unusable) -> Verdict:
        """A file as it is now."""
        self._missing.pop(path, None)
        if isinstance(offered, Unusable):
            return self._refuse(path, offered.why)
        known = self.files.get(path)
        if known is not None and known.digest == offered.digest:
            self._waiting.pop(path, None)
            self.trouble.pop(path, None)
            if self._held is not None and self._held[1].get(path) is not known:
                self._held = None  # what was held is taken back
            return self._say(Kind.UNCHANGED, "")
        if known is not None and offered.revision < known.revision:
            return self._refuse(
                path, f"revision {offered.revision} after {known.revision}, expected a later one"
            )
        if known is not None and offered.revision == known.revision and offered.members != known.members:
            return self._refuse(
                path, f"another list under revision {known.revision}, expected a later revision"
            )
        self._waiting[path] = offered
        return self._consider(now, path)

    def missing(self, now: int, path: str, by_pattern: bool) -> Verdict:
        """A file that is not there. Its engines stay; those of a pattern's file until it was missing long
        enough."""
        if path not in self.files:
            self._waiting.pop(path, None)  # refused before, and gone: nothing is left to say of it
            self.trouble.pop(path, None)
            if not by_pattern:
                return self._refuse(path, "missing")
            return self._say(Kind.UNCHANGED, "")
        if path in self._waiting and self._waiting[path] is None:
            return self._say(Kind.UNCHANGED, "")  # considered already
        since = self._missing.setdefault(path, now) if by_pattern else now
        if now - since < self._checks.missing_after or not by_pattern:
            return self._refuse(path, "missing; its last good list stays in force")
        del self._missing[path]
        self._waiting[path] = None
        return self._consider(now, path)

    def confirm(self, now: int) -> Verdict:
        """The operator's word that a held list is meant."""
        if self._held is None:
            return self._say(Kind.REFUSED, "nothing is held")
        return self._take(self._held[1], "confirmed by the operator")

    def look(self, now: int) -> Verdict:
        """What time alone has decided."""
        after = self._checks.confirm_after
        if self._held is not None and after and now - self._held[0] >= after:
            return self._take(self._held[1], "confirmed by time")
        return self._say(Kind.UNCHANGED, "")

    def due(self) -> int | None:
        """When `look` has something to decide, or a missing file becomes an engine's end."""
        moments = [since + self._checks.missing_after for since in self._missing.values()]
        if self._held is not None and self._checks.confirm_after:
            moments.append(self._held[0] + self._checks.confirm_after)
        return min(moments, default=None)

    def held(self) -> tuple[int, int] | None:
        """Since when a list waits to be confirmed, and how many engines it takes away."""
        return None if self._held is None else (self._held[0], self._held[2])

    def pin(self, revision: int, files: Mapping[str, EngineList]) -> Delta:
        """Holds an earlier list in force, whatever the files say, until `unpin`."""
        self.pinned = revision
        return self._show(_joined(files.values()))

    def unpin(self) -> Delta:
        self.pinned = None
        return self._show()

    def _consider(self, now: int, path: str) -> Verdict:
        """The whole list as it would be, with all that waits; else with this file alone."""
        for paths in dict.fromkeys((tuple(self._waiting), (path,))):
            wanted = dict(self.files)
            for one in paths:
                waiting = self._waiting[one]
                wanted.pop(one, None)
                if waiting is not None:
                    wanted[one] = waiting
            wrong = self._clash(wanted)
            if wrong is None:
                return self._weigh(now, path, wanted)
        assert wrong is not None
        self.trouble[path] = wrong
        return Verdict(Kind.REFUSED, wrong, self.revision)

    def _clash(self, files: Mapping[str, EngineList]) -> str | None:
        seen, addresses = dict[str, str](), dict[str, str]()
        for path, one in files.items():
            for name, member in one.members.items():
                if seen.setdefault(name, path) != path:
                    return f"id {name!r} stands in {seen[name]} too, expected each id once"
                if len(files) > 1 and member.state is not EngineState.GONE:
                    if addresses.setdefault(member.address, name) != name:
                        return f"{name!r} and {addresses[member.address]!r} at {member.address}, expected one"
        if len(seen) > self._checks.most_members:
            return f"{len(seen)} engines, expected {self._checks.most_members} at most"
        if not any(
            member.state is not EngineState.GONE for one in files.values() for member in one.members.values()
        ):
            return "an empty list, expected one engine at least"
        return None

    def _weigh(self, now: int, path: str, wanted: dict[str, EngineList]) -> Verdict:
        """Losing too much at once is believed when a second revision says so too, or it was said long
        enough."""
        members = _joined(wanted.values())
        gone, serving = lost(self.accepted, members), sum(map(_serves, self.accepted.values()))
        if gone <= self._checks.least_lost or gone <= self._checks.most_lost * serving:
            return self._take(wanted, "")
        if self._held is not None:
            since, before, _ = self._held
            again = any(
                before.get(p) is not None and one.revision > before[p].revision for p, one in wanted.items()
            )
            if again and lost(_joined(before.values()), members) <= max(
                self._checks.least_lost, self._checks.most_lost * serving
            ):
                return self._take(wanted, "confirmed by a second revision")
            self._held = since, wanted, gone
        else:
            self._held = now, wanted, gone
        self.trouble[path] = why = (
            f"{gone} of {serving} engines lost at once, over the share {self._checks.most_lost}"
            ": held until a second revision, the operator or time confirms it"
        )
        return Verdict(Kind.HELD, why, self.revision)

    def _take(self, wanted: dict[str, EngineList], why: str) -> Verdict:
        for path, waiting in list(self._waiting.items()):
            if wanted.get(path) is waiting:
                del self._waiting[path]
                self._missing.pop(path, None)
                self.trouble.pop(path, None)
        self.files, self._held = wanted, None
        self.accepted = _joined(wanted.values())
        self.revision = max(one.revision for one in wanted.values()) if self._single else self.revision + 1
        return Verdict(Kind.ACCEPTED, why, self.revision, self._show())

    def _refuse(self, path: str, why: str) -> Verdict:
        self._waiting.pop(path, None)
        if self._held is not None and self._held[1].get(path) is not self.files.get(path):
            self._held = None  # the file no longer says what was held
        self.trouble[path] = why
        return Verdict(Kind.REFUSED, why, self.revision)

    def _say(self, kind: Kind, why: str) -> Verdict:
        return Verdict(kind, why, self.revision)

    def _show(self, pinned: dict[str, ListedEngine] | None = None) -> Delta:
        """What is in force from now on, against what was."""
        before = self.in_force
        if pinned is not None:
            self.in_force = pinned
        elif self.pinned is None:
            self.in_force = self.accepted
        return delta(before, self.in_force)


def _joined(files: Iterable[EngineList]) -> dict[str, ListedEngine]:
    return {name: member for one in files for name, member in one.members.items()}
