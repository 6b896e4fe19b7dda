"""Which list files of a source are accepted: pure, with every check and tuned value.

`ListAcceptance` holds the files of one source: those accepted and those that are not yet. A file is accepted
completely or not at all, and one that is rejected leaves everything as it was. Times are whole tenths of a
millisecond.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec

from vanerelay.config_field import config_field
from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND, Duration, EngineState
from vanerelay.membership.list_codec import EngineList


@dataclass(frozen=True, slots=True)
class AcceptanceConfig:
    """The operators' limits on a change, the `checks` block.

    Attributes:
        max_lost_fraction: The part of the engines in service that one change may take away.
        always_allowed_loss: Losing this many or fewer needs no confirmation.
        confirm_after: How long a list waits for confirmation until it is accepted all the same; 0: never.
        missing_after: How long a file matched by a pattern may be missing before its engines are removed.
        max_engines: Engines of one source.
        max_files: Files of one source.
        max_file_bytes: Bytes of one file.
    """

    max_lost_fraction: Annotated[float, msgspec.Meta(ge=0, le=1)] = config_field("most_lost", default=0.3)
    always_allowed_loss: int = config_field("least_lost", default=1)
    confirm_after: Duration = 60 * SECOND
    missing_after: Duration = 10 * SECOND
    max_engines: int = config_field("most_members", default=100_000)
    max_files: int = config_field("most_files", default=100)
    max_file_bytes: int = config_field("most_bytes", default=64 * 2**20)


class Acceptance(Enum):
    """What became of a file or a list; the values are keys of the control socket."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    REJECTED = "refused"
    PENDING = "held"  # waits for confirmation


@dataclass(frozen=True, slots=True)
class ListDelta:
    """From one list to the next: engines that are new or changed, and names that are no longer listed."""

    changed: dict[str, ListedEngine]
    removed: frozenset[str]


NO_CHANGE = ListDelta({}, frozenset())


@dataclass(frozen=True, slots=True)
class AcceptanceResult:
    """What became of an offer.

    Attributes:
        reason: Why, in words; empty where nothing is to be said.
        revision: The source's revision afterwards.
        delta: What has changed in force.
    """

    acceptance: Acceptance
    reason: str
    revision: int
    delta: ListDelta = NO_CHANGE


@dataclass(frozen=True, slots=True)
class PendingList:
    """A list that waits for confirmation: since when, its files by path, and the engines that it loses."""

    since: int
    files: dict[str, EngineList]
    lost_engines: int


def compare(before: Mapping[str, ListedEngine], after: Mapping[str, ListedEngine]) -> ListDelta:
    """The changes between two lists."""
    changed = {name: engine for name, engine in after.items() if before.get(name) != engine}
    return ListDelta(changed, frozenset(before.keys() - after.keys()))


def count_lost(before: Mapping[str, ListedEngine], after: Mapping[str, ListedEngine]) -> int:
    """How many engines in service before are not in service after."""
    serving = (name for name, engine in before.items() if _in_service(engine))
    return sum(1 for name in serving if name not in after or not _in_service(after[name]))


def _in_service(engine: ListedEngine) -> bool:
    """Whether an engine may be sent anything new."""
    return engine.state is EngineState.UP and engine.weight != 0


class ListAcceptance:
    """The files of one source.

    Attributes:
        files: The accepted files by path.
        accepted: The engines of these.
        in_force: The engines in force: those accepted, or those of a pinned list.
        revision: The revision of what is accepted.
        pinned_revision: The revision that the operators hold in force, if any.
        problems: What is rejected or pending, and why, by path.
    """

    def __init__(self, config: AcceptanceConfig, single_file: bool) -> None:
        """`single_file`: one file by its path, whose revision is the source's; else revisions are counted."""
        self._config, self._single_file = config, single_file
        self.files: dict[str, EngineList] = {}
        self.accepted: dict[str, ListedEngine] = {}
        self.in_force: dict[str, ListedEngine] = {}
        self.revision = 0
        self.pinned_revision: int | None = None
        self.problems: dict[str, str] = {}
        self._candidates: dict[str, EngineList | None] = {}  # not accepted yet; None: the file is missing
        self._pending: PendingList | None = None
        self._missing_since: dict[str, int] = {}

    @property
    def pending(self) -> PendingList | None:
        """The list that waits for confirmation."""
        return self._pending

    def restore(self, files: Mapping[str, EngineList], revision: int) -> ListDelta:
        """Takes what was in force before a restart, which was checked then."""
        self.files, self.revision = dict(files), revision
        self.accepted = _merge_files(self.files.values())
        return self._apply()

    def offer(self, now: int, path: str, offered: EngineList) -> AcceptanceResult:
        """Considers a file as it is now."""
        self._missing_since.pop(path, None)
        known = self.files.get(path)
        if known is not None:
            if known.digest == offered.digest:
                return self._unchanged_file(path, known)
            if offered.revision < known.revision:
                return self._reject(
                    path, f"revision {offered.revision} after {known.revision}, expected a later one"
                )
            if offered.revision == known.revision and offered.engines != known.engines:
                return self._reject(
                    path, f"another list under revision {known.revision}, expected a later revision"
                )
        self._candidates[path] = offered
        return self._consider(now, path)

    def reject(self, path: str, reason: str) -> AcceptanceResult:
        """A file that cannot be read, or is no list."""
        self._missing_since.pop(path, None)
        return self._reject(path, reason)

    def file_missing(self, now: int, path: str, by_pattern: bool) -> AcceptanceResult:
        """A file that does not exist.

        Its engines stay in force; those of a file that a pattern had matched until it was missing for long.
        """
        if path not in self.files:
            self._candidates.pop(path, None)  # rejected before, and gone: there is nothing left to report
            self.problems.pop(path, None)
            if not by_pattern:
                return self._reject(path, "missing")
            return self._result(Acceptance.UNCHANGED)
        if path in self._candidates and self._candidates[path] is None:
            return self._result(Acceptance.UNCHANGED)  # considered already
        since = self._missing_since.setdefault(path, now) if by_pattern else now
        if now - since < self._config.missing_after or not by_pattern:
            return self._reject(path, "missing; its last good list stays in force")
        del self._missing_since[path]
        self._candidates[path] = None
        return self._consider(now, path)

    def confirm(self) -> AcceptanceResult:
        """Accepts the pending list, as an operator confirms it."""
        if self._pending is None:
            return self._result(Acceptance.REJECTED, "nothing is held")
        return self._accept(self._pending.files, "confirmed by the operator")

    def advance(self, now: int) -> AcceptanceResult:
        """Accepts the pending list where it has waited for long enough."""
        wait = self._config.confirm_after
        if self._pending is not None and wait and now - self._pending.since >= wait:
            return self._accept(self._pending.files, "confirmed by time")
        return self._result(Acceptance.UNCHANGED)

    def next_deadline(self) -> int | None:
        """When `advance` has something to accept, or a missing file takes its engines with it."""
        deadlines = [since + self._config.missing_after for since in self._missing_since.values()]
        if self._pending is not None and self._config.confirm_after:
            deadlines.append(self._pending.since + self._config.confirm_after)
        return min(deadlines, default=None)

    def pin(self, revision: int, files: Mapping[str, EngineList]) -> ListDelta:
        """Holds an earlier list in force, whatever the files say, until `unpin`."""
        self.pinned_revision = revision
        return self._apply(_merge_files(files.values()))

    def unpin(self) -> ListDelta:
        """Puts the accepted list in force again."""
        self.pinned_revision = None
        return self._apply()

    def _unchanged_file(self, path: str, known: EngineList) -> AcceptanceResult:
        self._candidates.pop(path, None)
        self.problems.pop(path, None)
        if self._pending is not None and self._pending.files.get(path) is not known:
            self._pending = None  # the file has been put back
        return self._result(Acceptance.UNCHANGED)

    def _consider(self, now: int, path: str) -> AcceptanceResult:
        """Considers the list with all candidates; where that cannot be, with this file alone."""
        problem = None
        for paths in dict.fromkeys((tuple(self._candidates), (path,))):
            wanted = self._with_candidates(paths)
            problem = self._conflict(wanted)
            if problem is None:
                return self._check_loss(now, path, wanted)
        assert problem is not None
        self.problems[path] = problem
        return self._result(Acceptance.REJECTED, problem)

    def _with_candidates(self, paths: tuple[str, ...]) -> dict[str, EngineList]:
        wanted = dict(self.files)
        for path in paths:
            candidate = self._candidates[path]
            wanted.pop(path, None)
            if candidate is not None:
                wanted[path] = candidate
        return wanted

    def _conflict(self, files: Mapping[str, EngineList]) -> str | None:
        """Why these files together are no list."""
        duplicate, engine_count = self._duplicate(files)
        if duplicate is not None:
            return duplicate
        if engine_count > self._config.max_engines:
            return f"{engine_count} engines, expected {self._config.max_engines} at most"
        if all(
            engine.state is EngineState.GONE for file in files.values() for engine in file.engines.values()
        ):
            return "an empty list, expected one engine at least"
        return None

    def _duplicate(self, files: Mapping[str, EngineList]) -> tuple[str | None, int]:
        """Which id or address is in two files, if any; and how many engines there are."""
        paths, owners = dict[str, str](), dict[str, str]()
        for path, file in files.items():
            for name, engine in file.engines.items():
                if paths.setdefault(name, path) != path:
                    return f"id {name!r} stands in {paths[name]} too, expected each id once", len(paths)
                if len(files) == 1 or engine.state is EngineState.GONE:
                    continue
                owner = owners.setdefault(engine.address, name)
                if owner != name:
                    return f"{name!r} and {owner!r} at {engine.address}, expected one", len(paths)
        return None, len(paths)

    def _check_loss(self, now: int, path: str, wanted: dict[str, EngineList]) -> AcceptanceResult:
        """Accepts a list that does not lose too many engines at once; the others wait for confirmation."""
        engines = _merge_files(wanted.values())
        lost, serving = count_lost(self.accepted, engines), sum(map(_in_service, self.accepted.values()))
        allowed = max(self._config.always_allowed_loss, self._config.max_lost_fraction * serving)
        if lost <= allowed:
            return self._accept(wanted, "")
        pending = self._pending
        if pending is not None and _has_later_revision(pending.files, wanted):
            lost_since = count_lost(_merge_files(pending.files.values()), engines)
            if lost_since <= allowed:
                return self._accept(wanted, "confirmed by a second revision")
        self._pending = PendingList(pending.since if pending is not None else now, wanted, lost)
        self.problems[path] = reason = (
            f"{lost} of {serving} engines lost at once, over the share {self._config.max_lost_fraction}"
            ": held until a second revision, the operator or time confirms it"
        )
        return self._result(Acceptance.PENDING, reason)

    def _accept(self, wanted: dict[str, EngineList], reason: str) -> AcceptanceResult:
        for path, candidate in list(self._candidates.items()):
            if wanted.get(path) is candidate:
                del self._candidates[path]
                self._missing_since.pop(path, None)
                self.problems.pop(path, None)
        self.files, self._pending = wanted, None
        self.accepted = _merge_files(wanted.values())
        if self._single_file:
            self.revision = max(file.revision for file in wanted.values())
        else:
            self.revision += 1
        return AcceptanceResult(Acceptance.ACCEPTED, reason, self.revision, self._apply())

    def _reject(self, path: str, reason: str) -> AcceptanceResult:
        self._candidates.pop(path, None)
        if self._pending is not None and self._pending.files.get(path) is not self.files.get(path):
            self._pending = None  # the file no longer says what waits for confirmation
        self.problems[path] = reason
        return self._result(Acceptance.REJECTED, reason)

    def _result(self, acceptance: Acceptance, reason: str = "") -> AcceptanceResult:
        return AcceptanceResult(acceptance, reason, self.revision)

    def _apply(self, pinned: dict[str, ListedEngine] | None = None) -> ListDelta:
        """Puts a pinned list, or else what is accepted, in force; returns what changed by that."""
        before = self.in_force
        if pinned is not None:
            self.in_force = pinned
        elif self.pinned_revision is None:
            self.in_force = self.accepted
        return compare(before, self.in_force)


def _merge_files(files: Iterable[EngineList]) -> dict[str, ListedEngine]:
    return {name: engine for file in files for name, engine in file.engines.items()}


def _has_later_revision(before: Mapping[str, EngineList], after: Mapping[str, EngineList]) -> bool:
    """Whether any file of both lists has a later revision in the second."""
    return any(path in before and file.revision > before[path].revision for path, file in after.items())
