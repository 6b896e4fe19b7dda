"""One play: a script's processes, engines, feed, clients and faults, from start to end."""

from __future__ import annotations

import contextlib
import fnmatch
import json
import shutil
import signal
import socket
from collections import defaultdict
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.clock import Clock
from vanerelay.interface import SECOND
from vanerelay.lab import rule_checker, schedule, site
from vanerelay.lab.client_load import Load
from vanerelay.lab.engine_server import EngineHost, FeedHost, World
from vanerelay.lab.fault_network import Network, free_address
from vanerelay.lab.link_faults import Parties, Way
from vanerelay.lab.processes import ASK_S, HERE, Manager, Other
from vanerelay.lab.record import Record, What
from vanerelay.lab.replication_model import Copies
from vanerelay.lab.scenario import Fault, Program, Release, Script, repeated

START_S = 60.0  # until all managers must be ready
LOOK_S = 0.05  # between looks at the laboratory's own lateness
LATE = SECOND // 10  # of the laboratory itself, past which what it sees of answers in time is in doubt
PROGRAM_S = 60.0  # after the load, for programs that have to end
SIGNALS = {"kill": signal.SIGKILL, "freeze": signal.SIGSTOP, "end": signal.SIGTERM}
END_S = 12.0  # for managers to end after SIGTERM
LINK_FAULTS: dict[str, dict[str, Any]] = {
    "hold": {"held": True},
    "swallow": {"swallowed": True},
    "refuse": {"refused": True},
    "reset": {},
    "cut": {"held": True, "refused": True},
}


class BadPlay(Exception):
    """Why a play could not be played, in one line."""


class Play:
    """`folder`: for configurations and logs of the processes. `progress` is told a line a second."""

    def __init__(
        self,
        reactor: Any,
        script: Script,
        seed: int,
        folder: Path,
        progress: Callable[[str], None] = lambda line: None,
    ) -> None:
        self._reactor, self.script, self.seed, self._progress = reactor, script, seed, progress
        self.clock = Clock()
        self.net = Network(reactor, self.clock, seed)
        self.record = Record()
        self._histories = folder / "history"
        shutil.rmtree(self._histories, ignore_errors=True)  # of a play before
        leased = "leases {" in script.managers.options
        histories = str(self._histories) if leased else ""
        copies = Copies(script.clients.tables, began=self.clock.now())
        self.world = World(self.net, self.record, self.clock.now(), histories, copies)
        self._foundings = [""]  # the beginning, and faults after which its files are written anew
        self.feed = FeedHost(self.world, script.feed_late)
        self.parties = Parties()
        self.managers = dict[str, Manager]()
        self.engines = dict[str, EngineHost]()
        self.struck = defaultdict[str, list[tuple[int, int]]](list)
        self.late_links = defaultdict[str, int](int)
        self.slips = list[tuple[int, int]]()  # when the laboratory itself was late, and by how much
        self._releases = {release.name: release for release in script.releases}
        self._settings = dict[str, tuple[tuple[str, Any], ...]]()
        self._folder, self._done = folder, Deferred[None]()
        self._peers = dict[str, tuple[str, list[str], str]]()
        self._links = dict[str, dict[str, str]]()  # by which a party reaches managers, by name
        self._keeper_links = dict[str, dict[str, str]]()
        self._listens = dict[str, str]()
        self._keeps = dict[str, str]()
        self._patience = int(PROGRAM_S / 0.2)  # looks that are left at programs that have to end
        self._known = dict[str, Any]()
        self.programs = dict[str, Other]()
        folder.mkdir(parents=True, exist_ok=True)
        self._build()
        self.load = Load(
            self.world,
            script.clients,
            schedule.needs(script, seed),
            list(self.managers),
            lambda name: self.managers[name].listen,
            self._label,
            seed,
            script.groups,
        )

    # What there is.

    def _build(self) -> None:
        script, net = self.script, self.net
        places = script.managers.locations
        for number in range(script.managers.count):
            name, place, host = f"m{number + 1}", places[number % len(places)], net.host()
            self.managers[name] = Manager(
                self.world,
                name,
                place,
                free_address(host),
                self._folder / name,
                lambda first, name=name, number=number:  # type: ignore[misc]
                self._configuration(name, number, first),
                lambda name=name, number=number: self._options(name, number),  # type: ignore[misc]
                lambda name=name: self._keeper(name),  # type: ignore[misc]
                self._ready,
                self._died,
            )
            self._listens[name] = free_address(host)
            self._keeps[name] = free_address(host)
            self.parties.locations[name] = place
        self.parties.locations |= {"clients": "", "feed": ""}
        for release in self.script.releases:
            for name in self.managers:
                if fnmatch.fnmatch(name, release.managers):
                    self._on(self.managers[name], release)
        self._feeds = {name: net.door(name, "feed", net.host(), self.feed.session) for name in self.managers}
        made = 0
        for kind in script.engines:
            for row in range(kind.count):
                made += 1
                self.add_engine(f"e{made}", kind.kind, kind.locations[row % len(kind.locations)])
        if script.managers.talk:
            self._open_peers()
        for name in self.managers:
            hosts = {other: net.host() for other in self.managers if other != name}
            self._links[name] = (
                {
                    other: net.bridge(name, other, host, self._listens[other]).address
                    for other, host in hosts.items()
                }
                if "@" in self._template(name)
                else {}
            )

        for program in self.script.programs:
            self.programs[program.name] = Other(
                self.world, program.name, self._folder / program.name, self._folder / f"{program.name}.log"
            )
            self.parties.locations[program.name] = ""
            self._links[program.name] = {
                name: net.bridge(program.name, name, net.host(), self._listens[name]).address
                for name in self.managers
            }
            self._keeper_links[program.name] = (
                {
                    name: net.bridge(program.name, name, net.host(), self._keeps[name]).address
                    for name in self.managers
                }
                if script.managers.keeper
                else {}
            )

    def add_engine(self, name: str, kind: str, place: str, fresh: bool = False) -> EngineHost:
        alike = next(one for one in self.script.engines if one.kind == kind)
        host = EngineHost(
            self.world,
            name,
            kind,
            place,
            self.script.machine(kind),
            self.script.cold,
            self.seed * 1000 + len(self.engines),
            self.feed,
            fresh,
            alike.refuses,
            alike.keeps,
            alike.reading,
        )
        self.engines[name] = self.feed.engines[name] = host
        if alike.copies:
            self.world.copies.join(name, alike.copies, alike.lag)
        self.parties.locations[name] = place
        for manager in self.managers:
            door = self.net.door(manager, name, self.net.host(), host.session)
            host.doors.append(door)
            self.feed.address[manager, name] = door.address
        return host

    def _open_peers(self) -> None:
        names = list(self.managers)
        listens = [
            free_address(self.managers[name].listen.rpartition(":")[0], socket.SOCK_DGRAM) for name in names
        ]
        for name, listen, (known, everyone) in zip(
            names, listens, self.net.relay(names, listens), strict=True
        ):
            self._peers[name] = listen, known, everyone

    def _configuration(
        self, name: str, number: int, first: bool, release: Release | None = None
    ) -> dict[str, Any]:
        """`first`: for a start, with the list of then; else what a running one may read again."""
        if first:
            self._known[name] = self.feed.known(name)
        told = self.script.managers
        release = release or self._releases.get(self.managers[name].release)
        over = (*(release.settings if release is not None else ()), *self._settings.get(name, ()))
        found = {
            "name": name,
            "listen": self.managers[name].listen,
            "seed": f"{self.seed * 7919 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": told.memory_mb, "sockets": told.sockets},
            "feed": self._feeds[name].address,
            "known": self._known[name],
            "settings": site.settings(self.script, number, over),
        }
        if name in self._peers:
            listen, known, everyone = self._peers[name]
            found |= {"peer_listen": listen, "peers": known, "peers_all": everyone}
        return found

    def _template(self, name: str) -> str:
        release = self._releases.get(self.managers[name].release)
        return release.options if release is not None and release.options else self.script.managers.options

    def _options(self, name: str, number: int) -> str:
        """The operators' file of one manager, with the words of the laboratory filled in."""
        return self._filled(self._template(name), name, self.managers[name].folder, self.managers[name].tree)

    def _filled(self, text: str, party: str, folder: Path, tree: Path) -> str:
        members = "".join(
            f'member "{name}" {{\n  address = "{address}"\n  domain = "{self.managers[name].place}"\n'
            + (f'  keeper = "{self._keeper_links[party][name]}"\n' if self._keeper_links.get(party) else "")
            + "}\n"
            for name, address in self._links[party].items()
        )
        words = {
            "NAME": party,
            "PLACE": self.parties.locations[party],
            "FOLDER": str(folder),
            "LISTEN": self._listens.get(party, ""),
            "FIRST": next(iter(self._listens.values())),
            "MEMBERS": members,
            "TREE": str(tree),
            "HISTORY": str(self._histories / f"{party}.jsonl"),
            "FOUNDED": str(len(self._foundings)),
        }
        for word, value in words.items():
            text = text.replace(f"@{word}@", value)
        return text

    def _keeper(self, name: str) -> str:
        """The file of a manager's keeper, which knows all releases of the script; empty where it has none."""
        if not self.script.managers.keeper:
            return ""
        manager = self.managers[name]
        blocks = []
        for release in self.script.releases:
            base = manager.folder.with_suffix(f".{release.name}")
            told = self._configuration(name, list(self.managers).index(name), False, release)
            base.with_suffix(base.suffix + ".json").write_text(json.dumps(told))
            options = release.options or self.script.managers.options
            line = ""
            if options:
                path = base.with_suffix(base.suffix + ".hcl")
                path.write_text(self._filled(options, name, manager.folder, self._tree(release)))
                line = f'  options = "{path}"\n'
            blocks.append(
                f'release "{release.name}" {{\n  tree = "{self._tree(release)}"\n'
                f'  config = "{base.with_suffix(base.suffix + ".json")}"\n{line}}}\n'
            )
        return (
            f'name = "{name}"\nlisten = "{self._keeps[name]}"\nserve = "{manager.listen}"\n'
            f'first = "{manager.release}"\nfolder = "{manager.folder}"\n'
            'patience {\n  ready = "15s"\n  probation = "40s"\n}\n' + "".join(blocks)
        )

    def _on(self, manager: Manager, release: Release) -> None:
        manager.release, manager.tree = release.name, self._tree(release)

    def _tree(self, release: Release) -> Path:
        """The folder that a release is started in: this program's, another's, or one with a shim before
        it."""
        tree = Path(release.tree).resolve() if release.tree else HERE
        if not release.shim:
            return tree
        folder = self._folder / "releases" / release.name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "sitecustomize.py").write_text(
            f"import sys\nsys.path.insert(1, {str(tree)!r})\n{release.shim}\n"
        )
        return folder

    # How it goes.

    def run(self) -> Deferred[None]:
        """Fires once all is over; fails with BadPlay."""
        self._found(self.managers)
        for manager in self.managers.values():
            manager.start()
        self._limit = self._reactor.callLater(START_S, self._not_started)
        self._look_at = self._reactor.seconds()
        self._look()
        self._await_start()
        return self._done

    def _found(self, names: Iterable[str]) -> None:
        """Files of the beginning, as operators write them."""
        for manager in (self.managers[name] for name in names):
            for file in self.script.managers.files:
                path = manager.folder / file.name
                path.parent.mkdir(parents=True, exist_ok=True)
                path.write_text(self._filled(file.text, manager.name, manager.folder, manager.tree))

    def _await_start(self) -> None:
        if self._done.called:
            return
        dead = [row.manager for row in self.record.rows if row.what is What.DIED]
        if dead:
            self._fail(f"{dead[0]} did not start: {self._last_line(dead[0])}")
        elif all(manager.used for manager in self.managers.values()):
            self._limit.cancel()
            self._begin()
        else:
            self._reactor.callLater(ASK_S, self._await_start)

    def _last_line(self, name: str) -> str:
        with contextlib.suppress(OSError):
            lines = self.managers[name].log.read_text(errors="replace").splitlines()
            return lines[-1] if lines else "nothing logged"
        return "nothing logged"

    def _not_started(self) -> None:
        slow = next(name for name, manager in self.managers.items() if not manager.used)
        self._fail(f"{slow} is not ready after {START_S:.0f} s: {self._last_line(slow)}")

    def _fail(self, why: str) -> None:
        if not self._done.called:
            self.kill()
            self._done.errback(BadPlay(why))

    def _begin(self) -> None:
        shift = self.clock.now() - self.world.zero
        for row in self.record.rows:  # the start counts as before the load
            row.at -= shift
        self.world.zero = self.clock.now()
        self.slips.clear()
        self.load.begin()
        for fault in repeated(self.script):
            self._reactor.callLater(fault.at / SECOND, self._strike, fault)
        for program in self.script.programs:
            self._reactor.callLater(program.at / SECOND, self._start_program, program, program.words)
        self._reactor.callLater(self.script.length / SECOND, self._loaded)
        self._tell()

    def _start_program(self, program: Program, words: tuple[str, ...]) -> None:
        other = self.programs[program.name]
        for file in program.files:
            if file.settings is not None:
                told = json.dumps(site.settings(self.script, 0, file.settings))
            else:
                told = self._filled(file.text, program.name, other.folder, HERE)
            (other.folder / file.name).write_text(told)
        other.start([self._filled(word, program.name, other.folder, HERE) for word in words])

    def _label(self, name: str) -> str:
        return self.managers[name].label or self.managers[name].release

    def _tell(self) -> None:
        now = self.clock.now() - self.world.zero
        if self._done.called:
            return
        up = sum(manager.used for manager in self.managers.values())
        self._progress(f"{now / SECOND:5.1f} s  managers {up}/{len(self.managers)}  open {self.load.open}")
        self._reactor.callLater(1.0, self._tell)

    def _look(self) -> None:
        """The laboratory's own lateness, and the managers that the front does not use at the moment."""
        seconds = self._reactor.seconds()
        late = int((seconds - self._look_at - LOOK_S) * SECOND)
        if late > LATE:
            self.slips.append((self.clock.now() - self.world.zero, late))
        self._look_at = seconds
        for name, manager in self.managers.items():
            if name not in self.load.ready:
                manager.ask()
        if not self._done.called:
            self._reactor.callLater(LOOK_S, self._look)

    def _ready(self, name: str) -> None:
        self.load.ready.add(name)

    def _died(self, name: str, release: str, how: str) -> None:
        """A manager's process ended under its keeper. Of a release that is bad on purpose that is no
        finding."""
        bad = release in self._releases and bool(self._releases[release].shim)
        self.world.add(What.DIED, manager=name, told="" if bad else how[:200])
        if bad:
            now = self.clock.now() - self.world.zero
            self.struck[name].append((now - SECOND, now + SECOND))

    def _loaded(self) -> None:
        """No more comes; what is open may end."""
        if self.load.open:
            self._limit = self._reactor.callLater(self.script.quiet / SECOND, self._end)
            self._await_quiet()
        else:
            self._end()

    def _await_quiet(self) -> None:
        if not self.load.open and self._limit.active():
            self._limit.cancel()
            self._end()
        elif self._limit.active():
            self._reactor.callLater(0.1, self._await_quiet)

    def _end(self) -> None:
        """Programs that have to end by themselves are waited for, managers are told to."""
        waited = [one.name for one in self.script.programs if one.exits >= 0 and self.programs[one.name].pid]
        if waited and self._patience > 0:
            self._patience -= 1
            self._reactor.callLater(0.2, self._end)
            return
        for program in self.programs.values():
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGTERM)
        self.load.close()
        for manager in self.managers.values():
            manager.signal(signal.SIGCONT)
            manager.signal(signal.SIGTERM)
        self._limit = self._reactor.callLater(END_S, self._give_up)
        self._await_end()

    def _await_end(self) -> None:
        if any(one.pid is not None for one in self._processes()):
            self._reactor.callLater(0.1, self._await_end)
            return
        if self._limit.active():
            self._limit.cancel()
        self.net.stop()
        if not self._done.called:
            self._done.callback(None)

    def _give_up(self) -> None:
        for name, manager in self.managers.items():
            if manager.pid is not None:
                self.world.add(What.DIED, manager=name, told=f"not ended {END_S:.0f} s after SIGTERM")
        self.kill()

    def _processes(self) -> list[Manager | Other]:
        return [*self.managers.values(), *self.programs.values()]

    def kill(self) -> None:
        for one in self._processes():
            one.signal(signal.SIGKILL)

    # What goes wrong.

    def _strike(self, fault: Fault) -> None:
        self.world.add(What.FAULT, told=f"{fault.name} begins")
        if fault.links:
            self._strike_links(fault, True)
        elif fault.managers:
            for name in self._named(fault.managers, self.managers):
                self._strike_manager(fault, self.managers[name])
        elif fault.programs:
            for name in self._named(fault.programs, self.programs):
                self.programs[name].signal(SIGNALS[fault.do])
        elif fault.engines:
            for name in self._named(fault.engines, self.engines):
                self._strike_engine(fault, self.engines[name], True)
        if fault.lasting and fault.do != "load":
            self._reactor.callLater(fault.lasting / SECOND, self._heal, fault)

    def _heal(self, fault: Fault) -> None:
        self.world.add(What.FAULT, told=f"{fault.name} ends")
        if fault.links:
            self._strike_links(fault, False)
        elif fault.managers:
            for name in self._named(fault.managers, self.managers):
                self._heal_manager(fault, self.managers[name])
        elif fault.programs:
            for program in self.script.programs:
                if program.name in self._named(fault.programs, self.programs):
                    self._heal_program(fault, program)
        elif fault.engines:
            for name in self._named(fault.engines, self.engines):
                self._strike_engine(fault, self.engines[name], False)

    def _named(self, pattern: str, among: dict[str, Any]) -> list[str]:
        return [name for one in pattern.split() for name in sorted(self.parties.meant(one)) if name in among]

    def _strike_links(self, fault: Fault, on: bool) -> None:
        if fault.do == "slow":
            fields = {"delay": fault.delay, "jitter": fault.jitter, "rate": fault.rate, "loss": fault.loss}
        else:
            fields = LINK_FAULTS[fault.do]
        sound = {name: getattr(Way(), name) for name in fields}
        now = self.clock.now() - self.world.zero
        lasting = fault.lasting or self.script.length
        for told in fault.links:
            for one, other in self.parties.directions(told):
                self.net.change(one, other, **(fields if on else sound))
                if on and fault.do in ("reset", "refuse"):
                    self.net.reset(one, other)
                for manager, party in ((one, other), (other, one)):
                    if on and manager in self.managers and party == "clients":
                        self.struck[manager].append((now, now + lasting + fault.delay + SECOND))
                    elif on and manager in self.managers and party in self.engines:
                        late = fault.delay + fault.jitter + (lasting if fault.do in ("hold", "cut") else 0)
                        self.late_links[party] = max(self.late_links[party], late + 2 * SECOND)

    def _strike_manager(self, fault: Fault, manager: Manager) -> None:
        now = self.clock.now() - self.world.zero
        until = now + (fault.lasting or self.script.length) + SECOND
        self.world.add(What.STRUCK, manager=manager.name, told=fault.do)
        if fault.do == "kill":
            self.struck[manager.name].append((now, now + SECOND))
            manager.signal(signal.SIGKILL)
        elif fault.do == "freeze":
            self.struck[manager.name].append((now, until))
            manager.signal(signal.SIGSTOP)
        elif fault.do == "end":
            # What comes within 0.7 s of SIGTERM is still taken; the manager ends once it has answered.
            self.struck[manager.name].append((now + SECOND * 7 // 10, until))
            manager.signal(signal.SIGTERM)
        else:
            self._settings[manager.name] = (*self._settings.get(manager.name, ()), *fault.settings)
            manager.write()
            manager.signal(signal.SIGHUP)

    def _heal_manager(self, fault: Fault, manager: Manager) -> None:
        if fault.do == "freeze":
            manager.signal(signal.SIGCONT)
        elif fault.do in ("kill", "end"):
            if manager.pid is not None:  # not ended yet: it starts again once it has
                self._reactor.callLater(0.1, self._heal_manager, fault, manager)
                return
            if fault.folder != "kept":
                manager.clear()
            if fault.folder == "founded":
                if fault.name not in self._foundings:
                    self._foundings.append(fault.name)
                self._found([manager.name])
            if fault.release:
                self._on(manager, self._releases[fault.release])
            manager.start()

    def _heal_program(self, fault: Fault, program: Program) -> None:
        if fault.do == "freeze":
            self.programs[program.name].signal(signal.SIGCONT)
        elif self.programs[program.name].pid is not None:
            self._reactor.callLater(0.1, self._heal_program, fault, program)
        else:
            self._start_program(program, program.again or program.words)

    def _strike_engine(self, fault: Fault, host: EngineHost, on: bool) -> None:
        model, now = host.model, self.clock.now()
        model.advance(now)
        if fault.do == "crash" and on:
            host.crash(fault.lasting)
        elif fault.do == "vanish":
            for name in self.managers:
                self.net.change(name, host.name, swallowed=on)
                self.net.change(host.name, name, swallowed=on)
            if not on:
                host.crash(1)  # what ran there is lost; it returns cold, and old connections are reset
        elif fault.do == "stall":
            model.stalled = on
        elif fault.do == "pace":
            model.pace = 1.0 / fault.factor if on else 1.0
        elif fault.do == "errors":
            model.errors = fault.factor if on else 0.0
        elif fault.do in ("lag", "stick", "restore", "lead") and self.world.copies.knows(host.name):
            self._strike_copies(fault, host, on)
        elif fault.do in ("drain", "replace") and on:
            host.leave(max(fault.lasting, SECOND // 10))
            if fault.do == "replace":
                new = self.add_engine(f"e{len(self.engines) + 1}", host.kind, host.place, True)
                self.feed.tell([new])
        host.touch()

    def _strike_copies(self, fault: Fault, host: EngineHost, on: bool) -> None:
        copies, now = self.world.copies, self.clock.now()
        lag = next(one.lag for one in self.script.engines if one.kind == host.kind)
        if fault.do == "lead" and on:
            copies.lead(now, host.name, lag)
        elif host.name in copies.followers and fault.do == "lag":
            copies.slow(now, host.name, fault.delay if on else lag)
        elif host.name in copies.followers and fault.do == "stick":
            copies.stick(now, host.name, on)
        elif host.name in copies.followers and fault.do == "restore":
            if on:
                copies.restore(now, host.name, int(fault.factor))
            else:
                copies.followers[host.name].lag = lag
                copies.stick(now, host.name, False)

    # What is said of it.

    @property
    def pressed(self) -> float:
        """The most that a cold engine was sent by all managers together, in parts of what it bears."""
        return max((host.model.pressed for host in self.engines.values()), default=0.0)

    def findings(self) -> list[rule_checker.Finding]:
        """What broke a rule, and programs that ended otherwise than they had to."""
        wrong = [
            rule_checker.Finding(
                0,
                self.script.length,
                "",
                one.name,
                f"ended with {self.programs[one.name].code}, expected {one.exits}",
            )
            for one in self.script.programs
            if one.exits >= 0 and self.programs[one.name].code != one.exits
        ]
        return [*wrong, *self._broken()]

    def _broken(self) -> list[rule_checker.Finding]:
        struck = {name: list(spans) for name, spans in self.struck.items()}
        for at, late in self.slips:
            for name in self.managers:
                struck.setdefault(name, []).append((at - late - SECOND // 2, at + SECOND // 2))
        places = {name: host.place for name, host in self.engines.items()}
        return rule_checker.judge(
            self.record.rows,
            rule_checker.Site(
                {group.name: group for group in self.script.groups},
                self.script.ration,
                places,
                struck,
                self.late_links,
            ),
        )
