"""Starts and ends the workload manager: its configuration, its parts, and the order they go in."""

from __future__ import annotations

import gc
import json
import os
import random
import resource
import signal
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import CannotListenError

from vanerelay import settings, settings_validation
from vanerelay.attempt_outcome import AttemptEnd
from vanerelay.clock import Clock
from vanerelay.estimation import stable_hash
from vanerelay.extension import DiscoveryAnswerListener, Extension, ExtensionHost, ListListener, StartupError
from vanerelay.interface import SECOND
from vanerelay.net.accepting_port import is_transient
from vanerelay.net.buffers import Pool
from vanerelay.net.client_listener import ClientListener
from vanerelay.net.discovery_client import DiscoveryClient
from vanerelay.net.engine_connection import ConnectionSettings
from vanerelay.net.engine_pool import EnginePool
from vanerelay.net.events import EventLog
from vanerelay.net.extensions import guarded
from vanerelay.net.gateway_service import GatewayService
from vanerelay.net.held_queries import InternalQuery
from vanerelay.net.peer_gossip import PeerGossip
from vanerelay.policy.gateway import Gateway
from vanerelay.policy.outlier_detection import MIN_SILENCE, OVERDUE_FACTOR

Join = Callable[[ExtensionHost], list[Extension]]

# After SIGTERM new connections come for up to 0.4 s, and requests on open ones for 0.2 s more; the page
# counts what comes within 0.7 s.
CONNECTIONS_S, REQUESTS_S = 0.5, 0.7
LITTLE = 10_000  # objects made since the last collection that make one worth while
FEW = 300  # queries open at most for one that costs little
STOOD_STILL_S = 0.05  # as much as the page adds to each time limit on sockets
CLIENT_SHARE, OWN = 3, 16  # clients hold one part in three of the descriptors; the program itself a few
TO_END = (signal.SIGTERM, signal.SIGINT)  # signals that end the program in order
PARENT_DEATH = 1  # of prctl: the signal that comes when the parent dies
SWEEP_S = 1.0
READY_AGAIN_S = 0.05  # between looks whether queries can be taken
# How often, and for how long, a port is tried to be opened that the system refuses for a moment.
LISTEN_AGAIN_S, LISTEN_FOR_S = 0.05, 5.0
STATEMENT_SHARE = 4  # statements held fill at most one part in so many of the memory told

PAGE_BYTES = resource.getpagesize()

log = structlog.get_logger()


def read(path: str) -> dict[str, Any]:
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except (OSError, ValueError) as fault:
        raise StartupError(f"configuration {path}: {fault}") from None
    missing = [
        name
        for name in ("limits", "feed", "known", "settings")
        if not isinstance(told, dict) or name not in told
    ]
    if missing:
        raise StartupError(f"configuration {path}: nothing told under {', '.join(missing)}")
    assert isinstance(told, dict)
    why = settings_validation.find_error(told["settings"])
    if why is not None:
        raise StartupError(f"configuration {path}: {why}")
    return told


@dataclass(frozen=True, slots=True)
class SupervisorSockets:
    """What a keeper hands down: a socket that listens, and where to tell that queries are taken."""

    listen_fd: int | None = None
    ready_fd: int | None = None


class Server:
    """The parts of one workload manager, each made with its own few settings."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        told: dict[str, Any],
        listen: str,
        name: str = "",
        kept: SupervisorSockets | None = None,
        join: Join | None = None,
    ) -> None:
        """`kept`: by a keeper; `join` makes the subsystems that operators switched on, None where none is."""
        self._kept, self._owns = kept or SupervisorSockets(), int(clock.now())
        self.reactor, self.clock, self.name = reactor, clock, name
        self.supervised = self._kept.listen_fd is not None
        self.limits: Mapping[str, Any] = told["limits"]
        host, _, port = listen.rpartition(":")
        profile = told["settings"]
        limits = profile.get("limits") or {}
        allowed = settings.capabilities(profile)
        connect_s = settings.ticks_floor(limits.get("dialTimeoutUs") or 250_000) / SECOND
        idle_s = settings.ticks_floor(limits.get("connIdleUs") or 30_000_000) / SECOND
        pool = Pool()
        descriptors = int(told["limits"].get("sockets") or 1024)
        clients = max(1, descriptors // CLIENT_SHARE)
        patience_s = MIN_SILENCE * OVERDUE_FACTOR / SECOND
        connections = ConnectionSettings(
            most_attempts=int(limits.get("multiplex") or 1),
            may_cancel=allowed.may_cancel,
            may_copy=allowed.may_hedge,
            connect_s=connect_s,
            idle_s=idle_s,
            patience_s=patience_s,
        )
        most_connections = max(1, descriptors - clients - OWN)
        self.events = EventLog(reactor)
        engines = EnginePool(reactor, pool, connections, most_connections, clock.when_fresh, self.events)
        peers = None
        if allowed.may_gossip and told.get("peer_listen") and told.get("peers_all"):
            peers = PeerGossip(told["peer_listen"], told.get("peers") or [], told["peers_all"])
        room = int(told["limits"].get("memory_mb") or 192) * 2**20 // STATEMENT_SHARE
        self.service = GatewayService(reactor, clock, profile, engines, peers, room, self.events)
        self.seed = int(str(told.get("seed", "0")), 16)
        names = profile.get("failureDomains") or [], profile.get("kinds") or []
        self.zones, self.machine_kinds = ({one: row for row, one in enumerate(listed)} for listed in names)
        self._parts = join(self) if join is not None else []
        for part in self._parts:
            profile = part.initial_settings(profile)
        self.settings = profile
        self.service.join(self._parts)
        self.service.apply_settings(self.seed, profile)
        changed: ListListener = self.service.listed
        answered: DiscoveryAnswerListener | None = None
        for part in self._parts:
            changed, answered = part.wrap_discovery(changed, answered)
        self.roster = DiscoveryClient(
            reactor,
            pool,
            told["feed"],
            self.zones,
            self.machine_kinds,
            connect_s,
            random.Random(self.seed),
            changed,
            answered,
        )
        self.clients: ClientListener = ClientListener(
            reactor,
            clock,
            self.service,
            pool,
            clients,
            lambda: self.clients.descriptor_count + engines.connections() + OWN < descriptors,
            self.events,
        )
        self._engines, self._drained = engines, Deferred[None]()
        self._collect_past = room * STATEMENT_SHARE // 2
        wrong = self.roster.apply(told["known"])
        if wrong is not None:
            raise StartupError(f"the list known at the start: {wrong}")
        for part in self._parts:
            part.open()
        for part in self._parts:
            part.start()
        self._listen_until = reactor.seconds() + LISTEN_FOR_S
        self._wrong: str | None = None  # found out while running, which ends the program
        self._terminated = False
        try:
            self._listen(host, int(port))
            if peers is not None:
                self._open_peers(peers)
        except (CannotListenError, ValueError, OverflowError) as fault:
            raise StartupError(f"cannot listen: {fault}") from None

    def run(self) -> None:
        self.roster.follow()
        self._sweep()
        self.reactor.addSystemEventTrigger("before", "shutdown", self._drain)
        log.info("serving")
        # Collections of their own accord took up to 60 ms with thousands of queries held, in the middle of a
        # pass. A query leaves no cycles behind, so there is little to collect: _sweep does it now and then.
        gc.collect()
        gc.freeze()
        gc.disable()
        for part in self._parts:
            part.loop_starting()
        self.reactor.callWhenRunning(self._end_once)
        if self._kept.listen_fd is not None:
            self._end_with_keeper()
        if self._kept.ready_fd is not None:
            self.reactor.callWhenRunning(self._say_ready, self._kept.ready_fd)
        self.reactor.run()
        for number in (signal.SIGHUP, *TO_END):  # the interpreter takes handlers down, but not this
            signal.signal(number, signal.SIG_IGN)
        self.events.write_counts()
        log.info("ended", broken=self.service.guard.violations())
        if self._wrong is not None:
            raise StartupError(self._wrong)

    def _end_once(self) -> None:
        """A signal to end may come again, also in the same pass: it says nothing new, and Twisted takes it
        for a fault."""
        for number in TO_END:
            signal.signal(number, lambda *_: self.reactor.callFromThread(self._terminate))

    def _terminate(self) -> None:
        if not self._terminated:
            self._terminated = True
            self.reactor.stop()

    def _end_with_keeper(self) -> None:
        """The keeper holds the socket that our clients come by: where it dies we answer and end as well."""
        import ctypes

        parent = os.getppid()
        ctypes.CDLL(None, use_errno=True).prctl(PARENT_DEATH, signal.SIGTERM, 0, 0, 0)
        if os.getppid() != parent:  # it had died already
            self.reactor.callWhenRunning(self._terminate)

    def _say_ready(self, descriptor: int) -> None:
        if not self.service.ready():
            self.reactor.callLater(READY_AGAIN_S, self._say_ready, descriptor)
            return
        os.write(descriptor, b"ready\n")

    def _listen(self, host: str, port: int) -> None:
        """Opens the port for clients, again and again for a while where the system fails for a moment."""
        try:
            self.clients.listen(host, port, self._kept.listen_fd)
        except CannotListenError as fault:
            if not self._may_listen_again(fault):
                raise
            self.reactor.callLater(LISTEN_AGAIN_S, self._listen_again, host, port)

    def _listen_again(self, host: str, port: int) -> None:
        if self.service.draining:
            return
        try:
            self._listen(host, port)
        except CannotListenError as fault:
            self._wrong = f"cannot listen: {fault}"
            self._terminate()

    def _may_listen_again(self, fault: CannotListenError) -> bool:
        if not is_transient(fault) or self.reactor.seconds() >= self._listen_until:
            return False
        log.warning("cannot listen yet", why=str(fault))
        return True

    def _open_peers(self, peers: PeerGossip) -> None:
        """While a manager of before still listens there, a kept one waits for it."""
        try:
            peers.open(self.reactor)
        except CannotListenError as fault:
            if self._kept.listen_fd is None and not self._may_listen_again(fault):
                raise
            self.reactor.callLater(LISTEN_AGAIN_S, self._open_peers, peers)

    def reload(self, path: str) -> None:
        """SIGHUP: the feed may have moved, and other settings may hold from now on. A wrong configuration
        changes nothing; settings that take a restart stay as they are."""
        try:
            told = read(path)
            self.roster.move(str(told["feed"]))
        except (StartupError, ValueError) as fault:
            log.warning("configuration not read again", why=str(fault))
            return
        profile = told["settings"]
        try:
            for part in self._parts:
                profile = part.reloaded_settings(profile)
        except Exception as fault:
            log.warning("configuration not read again", why=f"{type(fault).__name__}: {fault}")
            return
        why = self.apply_settings(profile)
        if why is not None:
            log.warning("settings stay until a restart", why=why)

    def _sweep(self) -> None:
        self.reactor.callLater(SWEEP_S, self._sweep)  # first: a fault below must not be the last sweep
        self.service.sweep()
        self.events.sweep()
        late = self.reactor.latest()
        if late > STOOD_STILL_S:
            log.warning("stood still", ms=round(late * 1000))
        # With thousands of queries open a collection costs what it is to spare them: over 100 ms under
        # overload. With few it costs little, and a long day that never stands idle needs it: what a
        # connection leaves behind are cycles.
        short = gc.get_count()[0] > LITTLE and self._memory_short()
        if gc.get_count()[0] > LITTLE and (
            self.service.queries.open_count < FEW and not self._listing() or short
        ):
            if short and self._parts:
                gc.unfreeze()  # what a large list was frozen with may have become garbage
            gc.collect()

    # What subsystems may ask of us: the seam's Host.

    @property
    def gateway(self) -> Gateway:
        return self.service.gateway

    def engine_addresses(self) -> dict[int, str]:
        return self._engines.addresses()

    def send_command(
        self, engine: int, arguments: Sequence[bytes], command_id: bytes, timeout_s: float
    ) -> Deferred[AttemptEnd]:
        return self._engines.order(engine, arguments, command_id, timeout_s)

    def submit_internal(
        self, service_class: str, statement: str, engine: int, memory: float, max_duration: int
    ) -> InternalQuery | None:
        self._owns += 1
        name = f"{stable_hash(self.name, self._owns):016x}"
        return self.service.submit_internal(name, service_class, statement, engine, memory, max_duration)

    def apply_settings(self, settings: dict[str, Any]) -> str | None:
        try:
            return settings_validation.find_error(settings) or self._switch(settings)
        except (TypeError, ValueError, KeyError, AttributeError) as fault:
            return f"{type(fault).__name__}: {fault}"

    def large_list_applied(self) -> None:
        """Ten thousand engines are half a million objects, a quarter of a second in each collection."""
        gc.freeze()

    def _switch(self, profile: dict[str, Any]) -> str | None:
        """Goes on under other settings; why it can't."""
        if profile == self.settings:
            return None
        why = settings_validation.find_restart_setting(self.settings, profile)
        for part in self._parts:
            why = why or part.settings_conflict(profile)
        if why is not None:
            return why
        self.service.apply_settings(self.seed, profile)
        self.settings = profile
        told: dict[str, Any] = {}
        for part in self._parts:
            told |= part.settings_applied(profile)
        log.info("settings switched", groups=[str(group["name"]) for group in profile["classes"]], **told)
        return None

    def _listing(self) -> bool:
        return any(part.busy for part in self._parts)

    def _memory_short(self) -> bool:
        """Whether half of the memory told is in use."""
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES > self._collect_past

    def _drain(self) -> Deferred[None]:
        """SIGTERM: what was taken is answered, and connections may come for as long as the page says."""
        log.info("draining", open=self.service.queries.open_count)
        self.service.draining = True
        self.reactor.callLater(CONNECTIONS_S, self._no_connections)
        self.reactor.callLater(REQUESTS_S, self._no_requests)
        self.clients.each(lambda client: client.stop_requests())
        for part in self._parts:
            guarded(part.draining)
        return self._drained

    def _no_connections(self) -> None:
        log.info(
            "no new connections from now on",
            clients=self.clients.descriptor_count,
            open=self.service.queries.open_count,
        )
        self.clients.stop_listening()
        self.clients.each(lambda client: client.stop_requests())

    def _no_requests(self) -> None:
        log.info(
            "no new queries from now on",
            clients=self.clients.descriptor_count,
            open=self.service.queries.open_count,
        )
        self.reactor.callLater(0, self._await_answers)
        self.clients.each(lambda client: client.end_when_answered())

    def _await_answers(self) -> None:
        if self.clients.descriptor_count:
            self.reactor.callLater(0.01, self._await_answers)
            return
        self.roster.stop()
        # Those that stand on others end first.
        ending = [guarded(part.stop) for part in reversed(self._parts)]
        self._engines.close()
        left = [one for one in ending if one is not None]
        if left:
            DeferredList(left, consumeErrors=True).addCallback(lambda _: self._drained.callback(None))
        else:
            self._drained.callback(None)
