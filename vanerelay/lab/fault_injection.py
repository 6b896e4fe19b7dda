"""The faults of a scenario, done to the parties of a run at their times."""

from __future__ import annotations

import signal
from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from vanerelay.interface import SECOND, Duration
from vanerelay.lab.deployment import CLIENTS, Deployment
from vanerelay.lab.engine_server import EngineServer
from vanerelay.lab.event_log import EventKind
from vanerelay.lab.gateway_process import GatewayProcess
from vanerelay.lab.link_faults import LinkState
from vanerelay.lab.rule_checker import Interval
from vanerelay.lab.scenario_config import Fault, FaultAction, FolderFate, Program

SIGNALS = {
    FaultAction.KILL: signal.SIGKILL,
    FaultAction.FREEZE: signal.SIGSTOP,
    FaultAction.END: signal.SIGTERM,
}
LINK_CHANGES: dict[str, dict[str, Any]] = {
    FaultAction.HOLD: {"is_held": True},
    FaultAction.SWALLOW: {"is_dropping": True},
    FaultAction.REFUSE: {"is_refusing": True},
    FaultAction.RESET: {},
    FaultAction.CUT: {"is_held": True, "is_refusing": True},
}
"""Fields of `LinkState` that a fault sets; a slow link takes them from the fault."""
EXCUSED_AFTER = SECOND
"""What happens so long after a fault is still its effect."""
LINK_DELAY_ALLOWANCE = 2 * SECOND
"""More than the delay of a faulted link, for what was on its way."""
TAKEN_AFTER_SIGTERM = SECOND * 7 // 10
"""Queries that come so long after SIGTERM are still taken; the gateway ends once it has answered."""
ENDED_POLL = SECOND // 10
"""Between looks whether a process that is to start again has ended."""
MIN_DRAIN = SECOND // 10
REPLICATION_ACTIONS = (FaultAction.LAG, FaultAction.STICK, FaultAction.RESTORE, FaultAction.LEAD)


class FaultInjector:
    """Does the faults of a scenario to the parties of a run.

    Attributes:
        struck: by gateway: when faults excuse it.
        link_delays: by engine: how late its links let things come.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment, self._scenario = deployment, deployment.scenario
        self._network, self._context = deployment.network, deployment.context
        self.struck = defaultdict[str, list[Interval]](list)
        self.link_delays = defaultdict[str, Duration](int)

    def begin(self) -> None:
        """The load begins: all faults come at their times from now on."""
        for fault in self._scenario.all_faults():
            self._context.call_later(fault.at, self._begin, fault)

    def _begin(self, fault: Fault) -> None:
        self._context.log(EventKind.FAULT, detail=f"{fault.name} begins")
        self._apply(fault, True)
        if fault.duration and fault.action != FaultAction.LOAD:
            self._context.call_later(fault.duration, self._end, fault)

    def _end(self, fault: Fault) -> None:
        self._context.log(EventKind.FAULT, detail=f"{fault.name} ends")
        self._apply(fault, False)

    def _apply(self, fault: Fault, is_on: bool) -> None:
        deployment = self._deployment
        for link in fault.links:
            self._apply_to_link(fault, link, is_on)
        for name in self._matching(fault.gateways, deployment.gateways):
            if is_on:
                self._strike_gateway(fault, deployment.gateways[name])
            else:
                self._heal_gateway(fault, deployment.gateways[name])
        for name in self._matching(fault.programs, deployment.programs):
            if is_on:
                deployment.programs[name].signal(SIGNALS[FaultAction(fault.action)])
            else:
                self._heal_program(fault, name)
        for name in self._matching(fault.engines, deployment.engines):
            self._apply_to_engine(fault, deployment.engines[name], is_on)

    def _matching(self, patterns: str, among: Iterable[str]) -> list[str]:
        names = set(among)
        return [
            name
            for pattern in patterns.split()
            for name in sorted(self._deployment.parties.matching(pattern))
            if name in names
        ]

    # Links.

    def _apply_to_link(self, fault: Fault, link: str, is_on: bool) -> None:
        changes = _link_changes(fault)
        if not is_on:
            healthy = LinkState()
            changes = {name: getattr(healthy, name) for name in changes}
        for sender, receiver in self._deployment.parties.directions(link):
            self._network.set_link(sender, receiver, **changes)
            if is_on and fault.action in (FaultAction.RESET, FaultAction.REFUSE):
                self._network.reset(sender, receiver)
            if is_on:
                self._excuse_link(fault, sender, receiver)
                self._excuse_link(fault, receiver, sender)

    def _excuse_link(self, fault: Fault, gateway: str, party: str) -> None:
        """What a faulted link between a gateway and clients, or an engine, excuses."""
        deployment = self._deployment
        if gateway not in deployment.gateways:
            return
        duration = fault.duration or self._scenario.length
        if party == CLIENTS:
            now = self._context.since_load_start()
            self.struck[gateway].append(Interval(now, now + duration + fault.delay + EXCUSED_AFTER))
        elif party in deployment.engines:
            is_held = fault.action in (FaultAction.HOLD, FaultAction.CUT)
            delay = fault.delay + fault.jitter + (duration if is_held else 0) + LINK_DELAY_ALLOWANCE
            self.link_delays[party] = max(self.link_delays[party], delay)

    # Gateways and programs.

    def _strike_gateway(self, fault: Fault, gateway: GatewayProcess) -> None:
        now = self._context.since_load_start()
        until = now + (fault.duration or self._scenario.length) + EXCUSED_AFTER
        self._context.log(EventKind.STRUCK, gateway=gateway.name, detail=fault.action)
        if fault.action == FaultAction.SETTINGS:
            overrides = self._deployment.files.overrides
            overrides[gateway.name] = (*overrides.get(gateway.name, ()), *fault.settings)
            gateway.write_configuration()
            gateway.signal(signal.SIGHUP)
            return
        excused = {
            FaultAction.KILL: Interval(now, now + EXCUSED_AFTER),
            FaultAction.FREEZE: Interval(now, until),
            FaultAction.END: Interval(now + TAKEN_AFTER_SIGTERM, until),
        }
        action = FaultAction(fault.action)
        self.struck[gateway.name].append(excused[action])
        gateway.signal(SIGNALS[action])

    def _heal_gateway(self, fault: Fault, gateway: GatewayProcess) -> None:
        if fault.action == FaultAction.FREEZE:
            gateway.signal(signal.SIGCONT)
        elif fault.action in (FaultAction.KILL, FaultAction.END):
            self._restart_gateway(fault, gateway)

    def _restart_gateway(self, fault: Fault, gateway: GatewayProcess) -> None:
        if gateway.pid is not None:  # not ended yet: it starts again once it has
            self._context.call_later(ENDED_POLL, self._restart_gateway, fault, gateway)
            return
        files = self._deployment.files
        if fault.folder != FolderFate.KEPT:
            gateway.clear_folder()
        if fault.folder == FolderFate.FOUNDED:
            if fault.name not in files.foundings:
                files.foundings.append(fault.name)
            files.write_first_files(gateway.name)
        if fault.release:
            self._deployment.set_release(gateway, self._deployment.releases[fault.release])
        gateway.start()

    def _heal_program(self, fault: Fault, name: str) -> None:
        process = self._deployment.programs[name]
        if fault.action == FaultAction.FREEZE:
            process.signal(signal.SIGCONT)
        elif process.pid is not None:
            self._context.call_later(ENDED_POLL, self._heal_program, fault, name)
        else:
            program = self._program(name)
            self._deployment.start_program(program, program.restart_arguments or program.arguments)

    def _program(self, name: str) -> Program:
        return next(program for program in self._scenario.programs if program.name == name)

    # Engines.

    def _apply_to_engine(self, fault: Fault, engine: EngineServer, is_on: bool) -> None:
        model, action = engine.model, fault.action
        model.advance(self._context.now())
        if action == FaultAction.CRASH and is_on:
            engine.crash(fault.duration)
        elif action == FaultAction.VANISH:
            self._vanish(engine, is_on)
        elif action == FaultAction.STALL:
            model.is_stalled = is_on
        elif action == FaultAction.PACE:
            model.speed = 1.0 / fault.factor if is_on else 1.0
        elif action == FaultAction.ERRORS:
            model.error_rate = fault.factor if is_on else 0.0
        elif action in REPLICATION_ACTIONS and self._context.replication.has(engine.name):
            self._apply_to_replication(fault, engine, is_on)
        elif action in (FaultAction.DRAIN, FaultAction.REPLACE) and is_on:
            self._drain(fault, engine)
        engine.update()

    def _vanish(self, engine: EngineServer, is_on: bool) -> None:
        for gateway in self._deployment.gateways:
            self._network.set_link(gateway, engine.name, is_dropping=is_on)
            self._network.set_link(engine.name, gateway, is_dropping=is_on)
        if not is_on:
            # What ran there is lost; it returns in its slow start, and old connections are reset.
            engine.crash(1)

    def _drain(self, fault: Fault, engine: EngineServer) -> None:
        engine.drain(max(fault.duration, MIN_DRAIN))
        if fault.action == FaultAction.REPLACE:
            deployment = self._deployment
            name = f"e{len(deployment.engines) + 1}"
            successor = deployment.add_engine(name, engine.group.kind, engine.zone, fresh=True)
            deployment.discovery.publish(successor.entry)

    def _apply_to_replication(self, fault: Fault, engine: EngineServer, is_on: bool) -> None:
        replication, now = self._context.replication, self._context.now()
        name, lag, action = engine.name, engine.group.replication_lag, fault.action
        if action == FaultAction.LEAD and is_on:
            replication.promote(now, name, lag)
            return
        if name not in replication.replicas:
            return
        if action == FaultAction.LAG:
            replication.set_lag(now, name, fault.delay if is_on else lag)
        elif action == FaultAction.STICK:
            replication.set_stuck(now, name, is_on)
        elif action == FaultAction.RESTORE and is_on:
            replication.go_back(now, name, int(fault.factor))
        elif action == FaultAction.RESTORE:
            replication.replicas[name].lag = lag
            replication.set_stuck(now, name, False)


def _link_changes(fault: Fault) -> dict[str, Any]:
    if fault.action == FaultAction.SLOW:
        return {
            "delay": fault.delay,
            "jitter": fault.jitter,
            "bytes_per_s": fault.bytes_per_s,
            "loss": fault.loss,
        }
    return LINK_CHANGES[fault.action]


__all__ = ["FaultInjector"]
