"""Starts and ends the workload manager: its configuration, its parts, and the order they go in."""
from __future__ import annotations

import gc
import json
import os
import resource
import signal
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from vanerelay import checks, terms
from vanerelay.decide import Health
from vanerelay.net.buffers import Pool
from vanerelay.net.clients import Clients
from vanerelay.net.clock import UNITS, Clock
from vanerelay.net.engines import Engines
from vanerelay.net.peers import Peers
from vanerelay.net.roster import Roster
from vanerelay.net.service import Service

if TYPE_CHECKING:
    from vanerelay.fleet.parts import Parts as FleetParts
    from vanerelay.fleet.service import Fleet
    from vanerelay.membership.joined import Membership
    from vanerelay.membership.parts import Parts
    from vanerelay.rollout.store import Store
    from vanerelay.rollout.parts import Parts as RolloutParts
    from vanerelay.xds.parts import Parts as ControlParts
    from vanerelay.xds.service import ControlService

# After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more; the page
# counts what comes within 0.7 s.
CONNECTIONS_S, REQUESTS_S = 0.5, 0.7
LITTLE = 10_000  # objects made since the last collection that make one worth while
FEW = 300  # batches open at most for one that costs little
STOOD_STILL_S = 0.05  # as much as the page adds to each time limit on sockets
CLIENT_SHARE, OWN = 3, 16  # clients hold one part in three of the descriptors; the program itself a few
PARENT_DEATH = 1  # of prctl: the signal that comes when the parent dies
READY_AGAIN_S = 0.05  # between looks whether batches can be taken
STATEMENT_SHARE = 4  # statements held fill at most one part in so many of the memory told

PAGE_BYTES = resource.getpagesize()

log = structlog.get_logger()


class BadStart(Exception):
    """Why the program cannot start, in one line."""


def read(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as fault:
        raise BadStart(f"configuration {path}: {fault}") from None
    missing = [name for name in ("limits", "feed", "known", "settings") if not isinstance(told, dict)
               or name not in told]
    if missing:
        raise BadStart(f"configuration {path}: nothing told under {', '.join(missing)}")
    assert isinstance(told, dict)
    why = checks.wrong(told["settings"])
    if why is not None:
        raise BadStart(f"configuration {path}: {why}")
    return told


@dataclass(frozen=True, slots=True)
class Kept:
    """What a keeper hands down: a socket that listens, and where to tell that batches are taken."""

    listen_fd: int | None = None
    ready_fd: int | None = None


class Program:
    """The parts of one workload manager, each made with its own few settings."""

    def __init__(self, reactor: Any, clock: Clock, told: dict[str, Any], listen: str,
                 parts: Parts | None = None, control: ControlParts | None = None,
                 fleet: FleetParts | None = None, orders: RolloutParts | None = None,
                 name: str = "", kept: Kept | None = None) -> None:
        """`parts`, `control`, `fleet`, `orders`: membership, the control service, what knows other managers
        and what takes orders of a rolling change, as operators set them; None where off. `kept`: by a
        keeper."""
        self._kept = kept or Kept()
        self._reactor, self._clock = reactor, clock
        host, _, port = listen.rpartition(":")
        profile = told["settings"]
        limits = profile.get("limits") or {}
        allowed = terms.allowances(profile)
        connect_s = terms.down(limits.get("dialTimeoutUs") or 250_000) / UNITS
        idle_s = terms.down(limits.get("connIdleUs") or 30_000_000) / UNITS
        pool = Pool()
        descriptors = int(told["limits"].get("sockets") or 1024)
        clients = max(1, descriptors // CLIENT_SHARE)
        patience_s = Health.QUIET * Health.PATIENCE / UNITS
        engines = Engines(reactor, pool, int(limits.get("multiplex") or 1), allowed.cancel, allowed.copies,
                          connect_s, idle_s, max(1, descriptors - clients - OWN), patience_s)
        peers = None
        if allowed.peers and told.get("peer_listen") and told.get("peers_all"):
            peers = Peers(told["peer_listen"], told.get("peers") or [], told["peers_all"])
        room = int(told["limits"].get("memory_mb") or 192) * 2**20 // STATEMENT_SHARE
        self.service = Service(reactor, clock, profile, engines, peers, room)
        self._seed, self._store = int(str(told.get("seed", "0")), 16), None
        if orders is not None:
            self._store, profile = self._orders_kept(orders, profile)
        self._profile = profile
        self.service.open_gateway(self._seed, profile)
        names = profile.get("failureDomains") or [], profile.get("kinds") or []
        locations, kinds = ({name: row for row, name in enumerate(listed)} for listed in names)
        self._membership: Membership | None = None
        changed, answered = self.service.listed, None
        if parts is not None:
            from vanerelay.membership.joined import Membership

            members = Membership(reactor, clock, parts, locations, kinds, self.service.listed,
                                 self._large_list)
            self._membership = members
            changed, answered = members.fed, members.feed_answers
        self.roster = Roster(reactor, pool, told["feed"], locations, kinds, connect_s, changed, answered)
        self.clients = Clients(
            reactor, clock, self.service, pool, clients,
            lambda: self.clients.number + engines.connections() + OWN < descriptors)
        self._engines, self._drained = engines, Deferred[None]()
        self._collect_past = room * STATEMENT_SHARE // 2
        wrong = self.roster.apply(told["known"])
        if wrong is not None:
            raise BadStart(f"the list known at the start: {wrong}")
        self._control: ControlService | None = None
        if control is not None:
            self._open_control(control, profile, names[0])
        self.fleet: Fleet | None = None
        if fleet is not None:
            self._open_fleet(fleet, name, profile, told["limits"])
        wrong = self._membership.start() if self._membership is not None else None
        if wrong is not None:
            raise BadStart(f"the console: {wrong}")
        try:
            self.clients.listen(host, int(port), self._kept.listen_fd)
            if peers is not None:
                self._open_peers(peers)
        except (CannotListenError, ValueError, OverflowError) as fault:
            raise BadStart(f"cannot listen: {fault}") from None

    def run(self) -> None:
        self.roster.follow()
        self._sweep()
        self._reactor.addSystemEventTrigger("before", "shutdown", self._drain)
        log.info("serving")
        # Collections of their own accord took up to 60 ms with thousands of batches held, in the middle of a
        # pass. A batch leaves no cycles behind, so there is little to collect: _sweep does it now and then.
        gc.collect()
        gc.freeze()
        gc.disable()
        if self.fleet is not None:
            self._reactor.callWhenRunning(self.fleet.start)
            self.fleet.say(state="serving")
        if self._kept.listen_fd is not None:
            self._end_with_keeper()
        if self._kept.ready_fd is not None:
            self._reactor.callWhenRunning(self._say_ready, self._kept.ready_fd)
        self._reactor.run()
        log.info("ended")

    def _end_with_keeper(self) -> None:
        """The keeper holds the socket that our clients come by: where it dies we answer and end as well."""
        import ctypes

        parent = os.getppid()
        ctypes.CDLL(None, use_errno=True).prctl(PARENT_DEATH, signal.SIGTERM, 0, 0, 0)
        if os.getppid() != parent:  # it had died already
            self._reactor.callWhenRunning(self._reactor.stop)

    def _say_ready(self, descriptor: int) -> None:
        if not self.service.ready():
            self._reactor.callLater(READY_AGAIN_S, self._say_ready, descriptor)
            return
        os.write(descriptor, b"ready\n")

    def _open_peers(self, peers: Peers) -> None:
        """While a manager of before still listens there, a kept one waits for it."""
        try:
            peers.open(self._reactor)
        except CannotListenError:
            if self._kept.listen_fd is None:
                raise
            self._reactor.callLater(READY_AGAIN_S, self._open_peers, peers)

    def reload(self, path: str) -> None:
        """SIGHUP: the feed may have moved, and other settings may hold from now on. A wrong configuration
        changes nothing; settings that take a restart stay as they are."""
        try:
            told = read(path)
            self.roster.move(str(told["feed"]))
        except (BadStart, ValueError) as fault:
            log.warning("configuration not read again", why=str(fault))
            return
        profile = told["settings"]
        if self._store is not None:
            from vanerelay.fleet import release

            ordered = self._store.at_start(release.settings(profile))
            profile = release.with_own(ordered, profile) if ordered is not None else profile
        why = self._switch(profile)
        if why is not None:
            log.warning("settings stay until a restart", why=why)

    def _sweep(self) -> None:
        self.service.sweep()
        late = self._reactor.latest()
        if late > STOOD_STILL_S:
            log.warning("stood still", ms=round(late * 1000))
        # With thousands of batches open a collection costs what it is to spare them: over 100 ms under
        # overload. With few it costs little, and a long day that never stands idle needs it: what a
        # connection leaves behind are cycles.
        short = gc.get_count()[0] > LITTLE and self._memory_short()
        if gc.get_count()[0] > LITTLE and (self.service.open < FEW and not self._listing() or short):
            if short and self._membership is not None:
                gc.unfreeze()  # what a large list was frozen with may have become garbage
            gc.collect()
        self._reactor.callLater(1.0, self._sweep)

    def _open_control(self, control: ControlParts, profile: dict[str, Any], locations: list[str]) -> None:
        from vanerelay.xds.assign import Terms
        from vanerelay.xds.service import ControlService

        cold = terms.cold_start(profile)
        groups = tuple(terms.service_groups(profile))
        told = Terms(groups, terms.allowances(profile), terms.ration_terms(profile), cold.multiple)
        self._control = ControlService(self._reactor, self._clock, control, self.service, told, locations)
        if self._membership is not None:
            self._membership.more["proxies"] = self._control.answer
        try:
            self._control.start()
        except (CannotListenError, OSError) as fault:
            raise BadStart(f"the control service: {fault}") from None

    def _orders_kept(self, orders: RolloutParts, profile: dict[str, Any]) -> tuple[Store, dict[str, Any]]:
        """What is kept of orders, and the settings to start with: those ordered last, while the configuration
        is the one that they took the place of."""
        from vanerelay.fleet import release
        from vanerelay.rollout.store import Store

        store = Store(orders.folder)
        ordered = store.at_start(release.settings(profile))
        if ordered is None:
            return store, profile
        ordered = release.with_own(ordered, profile)
        good = checks.wrong(ordered) is None and checks.fixed(profile, ordered) is None
        return store, ordered if good else profile

    def _open_fleet(self, fleet: FleetParts, name: str, profile: dict[str, Any],
                    limits: dict[str, Any]) -> None:
        from vanerelay.fleet import release
        from vanerelay.fleet.service import Fleet

        if not name:
            raise BadStart("the fleet knows managers by name: no name, expected one")
        self.fleet = Fleet(self._reactor, self._clock, fleet, name, release.program(),
                           release.settings(profile), self._seed)
        if self._store is not None:
            from vanerelay.rollout.hand import Hand

            Hand(self._reactor, self.fleet, self.service, self._settle, self._store,
                 int(limits.get("memory_mb") or 192) * 2**20, float(limits.get("cores") or 1.0))

    def _settle(self, settings: dict[str, Any]) -> str | None:
        """Settings ordered for the whole fleet, beside what is our own; why they can't be used."""
        from vanerelay.fleet import release

        try:
            profile = release.with_own(settings, self._profile)
            why = checks.wrong(profile) or self._switch(profile)
        except (TypeError, ValueError, KeyError, AttributeError) as fault:
            why = f"{type(fault).__name__}: {fault}"
        return why

    def _switch(self, profile: dict[str, Any]) -> str | None:
        """Goes on under other settings; why it can't."""
        if profile == self._profile:
            return None
        why = checks.fixed(self._profile, profile)
        if why is None and self._control is not None:
            why = "proxies are served by the settings of the start"
        if why is not None:
            return why
        self.service.open_gateway(self._seed, profile)
        self._profile = profile
        told = {}
        if self.fleet is not None:
            from vanerelay.fleet import release

            told["settings"] = release.settings(profile)
            self.fleet.say(**told)
        log.info("settings switched", groups=[str(group["name"]) for group in profile["classes"]], **told)
        return None

    def _listing(self) -> bool:
        return self._membership is not None and self._membership.busy

    def _large_list(self) -> None:
        """Ten thousand engines are half a million objects, a quarter of a second in each collection."""
        gc.freeze()

    def _memory_short(self) -> bool:
        """Whether half of the memory told is in use."""
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES > self._collect_past

    def _drain(self) -> Deferred[None]:
        """SIGTERM: what was taken is answered, and connections may come for as long as the page says."""
        log.info("draining", open=self.service.open)
        self.service.ending = True
        if self.fleet is not None and self._kept.listen_fd is not None:
            self.fleet.hand_over()
        elif self.fleet is not None:
            self.fleet.say(state="draining")
        self.clients.each(lambda client: client.last())
        self._reactor.callLater(CONNECTIONS_S, self._no_connections)
        self._reactor.callLater(REQUESTS_S, self._no_requests)
        return self._drained

    def _no_connections(self) -> None:
        self.clients.stop_listening()
        self.clients.each(lambda client: client.last())

    def _no_requests(self) -> None:
        self.clients.each(lambda client: client.end_when_answered())
        self._await_answers()

    def _await_answers(self) -> None:
        if self.clients.number:
            self._reactor.callLater(0.01, self._await_answers)
            return
        self.roster.stop()
        for part in (self._control, self._membership):
            if part is not None:
                part.stop()
        self._engines.close()
        if self.fleet is not None:
            self.fleet.leave().addCallback(self._left)
        else:
            self._drained.callback(None)

    def _left(self, _: Any) -> None:
        if self.fleet is not None:
            self.fleet.stop()
        self._drained.callback(None)
