"""Scripts of the laboratory (HCL), read into plain values. Nothing here chooses, and nothing is started."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

from vanerelay.interface import MILLISECOND, SECOND, Duration, Idempotency
from vanerelay.lab import scenario_texts
from vanerelay.lab.model import Cold, Machine
from vanerelay.operator_config import Block, OperatorConfigError, read_file

T = TypeVar("T")
SCRIPTS = scenario_texts.SCENARIOS


@dataclass(frozen=True, slots=True)
class Group:
    """A service group and its load. `rate`: batches a second from all clients together; `work` of one on one
    core, scattered by a log-normal of `spread`; `memory` in MB. `load`: it writes; `hint`: in the statements
    of reads, with @SESSION@ and @LAST@ (a load of this table group that ended) filled in; `follows`: its
    batches come 5 ms after each load of that group has ended, by another manager."""

    name: str
    goal: Duration
    limit: Duration
    rate: float
    work: Duration
    utility: float = 1.0
    effect: Idempotency = Idempotency.IDEMPOTENT
    window: Duration = 0
    spread: float = 0.4
    memory: float = 100.0
    threads: int = 1
    locations: tuple[str, ...] = ()
    load: bool = False
    hint: str = ""
    follows: str = ""


@dataclass(frozen=True, slots=True)
class Clients:
    """What clients do: `retries` after a pushback (of repeatable ones after any failure), `backoff` before
    the first, doubled each time; `skew`: how much more the first manager gets than the last; `notice`: after
    how long the front learns that a manager is gone; `tables`: groups of tables that statements name;
    `sessions`: that readers keep."""

    retries: int = 2
    backoff: Duration = 200 * MILLISECOND
    skew: float = 1.0
    notice: Duration = SECOND
    tables: int = 20
    sessions: int = 10


@dataclass(frozen=True, slots=True)
class Engines:
    """Some engines alike: `count` of them, in `locations` in turn. `refuses`: orders under a lease that was
    taken over. `copies`: of table groups, "source" (the first of them, where loads end) or "follows", `lag`
    behind; empty: none. `keeps`: table groups that one keeps warm, 0: it makes no difference; `reading`: core
    time that a read of another takes more."""

    kind: str
    count: int
    cores: int = 4
    memory: float = 8000.0
    connections: int = 0
    locations: tuple[str, ...] = ("here",)
    refuses: bool = True
    copies: str = ""
    lag: Duration = 200 * MILLISECOND
    keeps: int = 0
    reading: Duration = 0


@dataclass(frozen=True, slots=True)
class Written:
    """A file of a process: its `text`, with words of the laboratory filled in, or managers' `settings`."""

    name: str
    text: str = ""
    settings: tuple[tuple[str, Any], ...] | None = None


@dataclass(frozen=True, slots=True)
class Managers:
    """`count` of them, in `locations` in turn. `files`: in each one's folder when the play begins; `options`:
    an operators' file with @NAME@, @FOLDER@ and other words of the laboratory filled in for each; `talk`:
    datagrams among them; `keeper`: each by a keeper, which knows the script's releases."""

    count: int
    locations: tuple[str, ...] = ("here",)
    memory_mb: int = 192
    sockets: int = 1024
    options: str = ""
    talk: bool = False
    keeper: bool = False
    files: tuple[Written, ...] = ()


@dataclass(frozen=True, slots=True)
class Program:
    """Another process of a play, such as a controller: `words` after `vanerelay`, started `at`; `again`:
    where it is started once more after it was struck; `exits`: the code that it has to end with, -1: none is
    asked."""

    name: str
    words: tuple[str, ...]
    at: Duration = 0
    again: tuple[str, ...] = ()
    exits: int = -1
    files: tuple[Written, ...] = ()


@dataclass(frozen=True, slots=True)
class Release:
    """A program to start managers from. `tree`: the folder with the package, empty: this one; `managers` by
    pattern that start on it; `options` and `settings` in place of the script's; `shim`: Python that is run
    in each of its processes at the start, for releases that are bad on purpose."""

    name: str
    managers: str = ""
    tree: str = ""
    options: str = ""
    shim: str = ""
    settings: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Ration:
    span: Duration = 10 * SECOND
    free: int = 10
    share: float = 0.1


@dataclass(frozen=True, slots=True)
class Fault:
    """Something that goes wrong `at` a time, for `lasting` (0: for good, or at one moment). Which words go
    together is in WORDS."""

    name: str
    at: Duration
    lasting: Duration = 0
    links: tuple[str, ...] = ()
    managers: str = ""
    engines: str = ""
    programs: str = ""
    do: str = ""
    delay: Duration = 0
    jitter: Duration = 0
    rate: float = 0.0
    loss: float = 0.0
    factor: float = 1.0
    folder: str = "kept"
    release: str = ""
    every: Duration = 0
    group: str = "*"
    settings: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class Publication:
    """Table groups `first` to `last` come out one after the other, `apart` from each other from `at` on, and
    again `every` so often (0: once): a load of the service group `load` each, then reads of `group`, at first
    `rate` a second, half as many after each `half`; `noticed` after the load; `reads` false: nobody reads."""

    name: str
    load: str
    group: str
    at: Duration
    first: int
    last: int
    apart: Duration = SECOND
    every: Duration = 0
    rate: float = 10.0
    half: Duration = 4 * SECOND
    noticed: Duration = SECOND
    reads: bool = True


@dataclass(frozen=True, slots=True)
class Expected:
    """What a play has to reach to be called good, beside its rules: the part of the utility offered that was
    reached within the goal, after `since`."""

    served: float = 0.0
    since: Duration = 0


# What `do` may say of what is named; the first word is what the block names it by.
WORDS = {
    "links": ("slow", "hold", "swallow", "refuse", "reset", "cut"),
    "managers": ("kill", "freeze", "end", "settings"),
    "programs": ("kill", "freeze", "end"),
    "engines": (
        "crash",
        "vanish",
        "stall",
        "pace",
        "errors",
        "drain",
        "replace",
        "lag",
        "stick",
        "restore",
        "lead",
    ),
    "": ("load",),
}
FOLDERS = ("kept", "gone", "founded")  # founded: gone, and the files of the beginning written anew


@dataclass(frozen=True, slots=True)
class Script:
    name: str
    length: Duration
    groups: tuple[Group, ...]
    engines: tuple[Engines, ...]
    managers: Managers
    releases: tuple[Release, ...]
    programs: tuple[Program, ...]
    clients: Clients
    cold: Cold
    ration: Ration
    faults: tuple[Fault, ...]
    publications: tuple[Publication, ...]
    expected: Expected
    settings: tuple[tuple[str, Any], ...]
    feed_late: Duration  # how long after a change the feed has it to tell
    quiet: Duration  # after the load ends, until everything must have been answered

    def machine(self, kind: str) -> Machine:
        one = next(one for one in self.engines if one.kind == kind)
        return Machine(one.cores, one.memory, connections=one.connections)

    @property
    def locations(self) -> list[str]:
        named = [*self.managers.locations, *(place for one in self.engines for place in one.locations)]
        return list(dict.fromkeys(named))


def find(name: str) -> str:
    """A script by its path, or by the name of one that comes with the laboratory."""
    ours = SCRIPTS / f"{name}.hcl"
    return str(ours) if "/" not in name and not name.endswith(".hcl") and ours.exists() else name


class _Document:
    """A script, and the one that it is written over: blocks of both, what is there once from the nearer."""

    def __init__(self, path: str) -> None:
        self._own = read_file(find(path))
        base = self._own.take("include", str, "")
        self._base = read_file(str(Path(find(path)).parent / f"{base}.hcl")) if base else None

    def all(self, name: str) -> list[Block]:
        return [*(self._base.all(name) if self._base is not None else ()), *self._own.all(name)]

    def only(self, name: str) -> Block | None:
        base = self._base.only(name) if self._base is not None else None
        return self._own.only(name) or base

    def take(self, name: str, kind: Any, default: Any = None) -> Any:
        base = self._base.take(name, kind, default) if self._base is not None else default
        return self._own.take(name, kind, base)

    def done(self) -> None:
        self._own.done()
        if self._base is not None:
            self._base.done()

    def wrong(self, why: str) -> OperatorConfigError:
        return self._own.wrong(why)


def load(path: str) -> Script:
    """Raises OperatorConfigError with the line of what is wrong."""
    document = _Document(path)
    groups = tuple(_group(one) for one in document.all("group"))
    engines = tuple(_filled(one, Engines, kind=one.label or "k") for one in document.all("engines"))
    managers = document.only("managers")
    releases = tuple(_release(one) for one in document.all("release"))
    faults = tuple(_fault(one, {release.name for release in releases}) for one in document.all("fault"))
    if not groups or not engines or managers is None:
        raise document.wrong("no group, engines or managers, expected at least one of each")
    script = Script(
        name=document.take("name", str, Path(path).stem),
        length=document.take("length", Duration, 20 * SECOND),
        groups=groups,
        engines=engines,
        managers=_managers(managers),
        releases=releases,
        programs=tuple(_program(one) for one in document.all("program")),
        clients=_one(document, "clients", Clients),
        cold=_one(document, "cold", Cold),
        ration=_one(document, "ration", Ration),
        faults=faults,
        publications=tuple(_filled(one, Publication, name=one.label) for one in document.all("publication")),
        expected=_one(document, "expect", Expected),
        settings=_settings(document),
        feed_late=document.take("feed_late", Duration, SECOND // 2),
        quiet=max(group.limit for group in groups) + SECOND,
    )
    document.done()
    return script


def _one(document: _Document, name: str, kind: type[T]) -> T:
    block = document.only(name)
    return _filled(block, kind) if block is not None else kind()


def _filled(block: Block, part: type[T], /, **given: Any) -> T:
    found = block.fill(part, **given)
    block.done()
    return found


def _group(block: Block) -> Group:
    found = _filled(block, Group, name=block.label)
    if not found.name:
        raise block.wrong('group: no name, expected one, such as group "look"')
    return found


def _managers(block: Block) -> Managers:
    found = _filled(block, Managers, files=_files(block))
    return dataclasses.replace(found, options=_expanded(block, found.options))


def _release(block: Block) -> Release:
    found = _filled(block, Release, name=block.label, settings=_settings(block))
    return dataclasses.replace(found, options=_expanded(block, found.options))


def _files(block: Block) -> tuple[Written, ...]:
    return tuple(_file(one) for one in block.all("file"))


def _file(block: Block) -> Written:
    settings = _settings(block) if block.take("settings", dict[str, Any]) is not None else None
    found = _filled(block, Written, name=block.label, settings=settings)
    return dataclasses.replace(found, text=_expanded(block, found.text))


def _expanded(block: Block, text: str) -> str:
    """A text of a block, with the shared texts that it includes."""
    try:
        return scenario_texts.expand(text, Path(block.file).parent)
    except scenario_texts.IncludeError as error:
        raise block.wrong(str(error)) from error


def _program(block: Block) -> Program:
    return _filled(block, Program, name=block.label, files=_files(block))


def _settings(block: Block | _Document) -> tuple[tuple[str, Any], ...]:
    """Settings of managers by their path, such as "limits.maxAttempts" = 2."""
    told = block.take("settings", dict[str, Any], {})
    return tuple((name.strip('"'), value) for name, value in told.items())


def _fault(block: Block, releases: set[str]) -> Fault:
    found = _filled(block, Fault, name=block.label, settings=_settings(block))
    named = [word for word in ("links", "managers", "engines", "programs") if getattr(found, word)]
    if len(named) > 1:
        raise block.wrong(f"fault {block.label}: {' and '.join(named)}, expected one of them")
    words = WORDS[named[0] if named else ""]
    if found.do not in words:
        raise block.wrong(f"do: {found.do!r}, expected one of {', '.join(words)}", "do")
    if found.folder not in FOLDERS:
        raise block.wrong(f"folder: {found.folder!r}, expected one of {', '.join(FOLDERS)}", "folder")
    if found.release and found.release not in releases:
        raise block.wrong(
            f"release: {found.release!r}, expected one of {', '.join(sorted(releases))}", "release"
        )
    return found


def repeated(script: Script) -> list[Fault]:
    """All faults, those with `every` once for each time that they come, the first first."""
    found = list[Fault]()
    for fault in script.faults:
        at = fault.at
        while at < script.length:
            found.append(dataclasses.replace(fault, at=at))
            if not fault.every:
                break
            at += fault.every
    return sorted(found, key=lambda fault: fault.at)


__all__ = ["OperatorConfigError", "Script", "find", "load", "repeated"]
