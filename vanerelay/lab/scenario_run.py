"""One run of a scenario, from start to end: its processes, engines, discovery, clients and faults."""

from __future__ import annotations

import contextlib
import signal
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.interface import MILLISECOND, SECOND, Duration
from vanerelay.lab import rule_checker
from vanerelay.lab.client_load import ClientLoad
from vanerelay.lab.deployment import Deployment
from vanerelay.lab.event_log import Event, EventKind, Lateness
from vanerelay.lab.fault_injection import FaultInjector
from vanerelay.lab.gateway_process import PROBE_INTERVAL_S
from vanerelay.lab.scenario_config import Scenario
from vanerelay.lab.schedule import draw_requests

START_TIMEOUT_S = 60.0
"""Until all gateways must be ready."""
LOOK_INTERVAL_S = 0.05
"""Between looks at the laboratory's own lateness."""
MAX_LATENESS = 100 * MILLISECOND
"""Of the laboratory itself, past which what it sees of answers in time is in doubt."""
EXCUSED_AROUND_LATENESS: Duration = SECOND // 2
PROGRAM_TIMEOUT_S = 60.0
"""After the load, for programs that have to end."""
PROGRAM_POLL_S = 0.2
END_TIMEOUT_S = 12.0
"""For gateways to end after SIGTERM."""
END_POLL_S = 0.1
PROGRESS_INTERVAL_S = 1.0
MAX_REASON_LENGTH = 200
"""Characters of why a process has ended."""


class RunError(Exception):
    """Why a scenario could not be run, in one line."""


class ScenarioRun:
    """One run of a scenario.

    Attributes:
        latenesses: of the laboratory itself.
    """

    def __init__(
        self,
        reactor: Any,
        scenario: Scenario,
        seed: int,
        folder: Path,
        progress: Callable[[str], None] = lambda _: None,
    ) -> None:
        """`folder`: for configurations and logs of the processes; `progress` gets a line a second."""
        self._reactor, self.scenario, self._progress = reactor, scenario, progress
        self._deployment = Deployment(reactor, scenario, seed, folder, self)
        self._context, self._gateways = self._deployment.context, self._deployment.gateways
        self._faults = FaultInjector(self._deployment)
        self._load = ClientLoad(
            self._context,
            scenario.clients,
            draw_requests(scenario, seed),
            list(self._gateways),
            lambda name: self._gateways[name].address,
            self._deployment.gateway_label,
            seed,
            scenario.service_classes,
        )
        self.latenesses = list[Lateness]()
        self._done = Deferred[None]()
        self._program_polls_left = int(PROGRAM_TIMEOUT_S / PROGRAM_POLL_S)
        self._timeout: Any = None
        self._last_look_s = 0.0

    @property
    def events(self) -> list[Event]:
        """All that was seen."""
        return self._context.event_log.events

    # What gateways' processes are given, and what they report.

    def configuration(self, name: str, for_start: bool) -> dict[str, Any]:
        """As `GatewayHost.configuration`."""
        if for_start:
            self._deployment.files.start_lists[name] = self._deployment.discovery.start_list(name)
        return self._deployment.files.configuration(name)

    def operator_file(self, name: str) -> str:
        """As `GatewayHost.operator_file`."""
        return self._deployment.files.operator_file(name)

    def supervisor_file(self, name: str) -> str:
        """As `GatewayHost.supervisor_file`."""
        return self._deployment.files.supervisor_file(name)

    def gateway_ready(self, name: str) -> None:
        """As `GatewayHost.gateway_ready`."""
        self._load.ready.add(name)

    def supervised_process_died(self, name: str, release: str, reason: str) -> None:
        """As `GatewayHost.supervised_process_died`.

        Of a release that is bad on purpose it is no finding.
        """
        releases = self._deployment.releases
        is_bad_on_purpose = release in releases and bool(releases[release].shim)
        detail = "" if is_bad_on_purpose else reason[:MAX_REASON_LENGTH]
        self._context.log(EventKind.DIED, gateway=name, detail=detail)
        if is_bad_on_purpose:
            now = self._context.since_load_start()
            self._faults.struck[name].append(rule_checker.Interval(now - SECOND, now + SECOND))

    # The start.

    def run(self) -> Deferred[None]:
        """Fires once all is over; fails with RunError."""
        for name in self._gateways:
            self._deployment.files.write_first_files(name)
        for gateway in self._gateways.values():
            gateway.start()
        self._timeout = self._reactor.callLater(START_TIMEOUT_S, self._start_timed_out)
        self._last_look_s = self._reactor.seconds()
        self._look()
        self._await_start()
        return self._done

    def _await_start(self) -> None:
        if self._done.called:
            return
        dead = next((event.gateway for event in self.events if event.kind is EventKind.DIED), None)
        if dead is not None:
            self._fail(f"{dead} did not start: {self._last_log_line(dead)}")
        elif all(gateway.is_ready for gateway in self._gateways.values()):
            self._timeout.cancel()
            self._begin()
        else:
            self._reactor.callLater(PROBE_INTERVAL_S, self._await_start)

    def _last_log_line(self, name: str) -> str:
        lines = list[str]()
        with contextlib.suppress(OSError):
            lines = self._gateways[name].log.read_text(errors="replace").splitlines()
        return lines[-1] if lines else "nothing logged"

    def _start_timed_out(self) -> None:
        slow = next(name for name, gateway in self._gateways.items() if not gateway.is_ready)
        self._fail(f"{slow} is not ready after {START_TIMEOUT_S:.0f} s: {self._last_log_line(slow)}")

    def _fail(self, reason: str) -> None:
        if not self._done.called:
            self.kill()
            self._done.errback(RunError(reason))

    # The load.

    def _begin(self) -> None:
        """All gateways are ready: the load, the faults and the programs begin."""
        now = self._context.now()
        shift = now - self._context.load_start
        for event in self.events:  # the start counts as before the load
            event.at -= shift
        self._context.load_start = self._context.now()
        self.latenesses.clear()
        self._load.begin()
        self._faults.begin()
        for program in self.scenario.programs:
            start = self._deployment.start_program
            self._context.call_later(program.starts_at, start, program, program.arguments)
        self._context.call_later(self.scenario.length, self._load_ended)
        self._report_progress()

    def _report_progress(self) -> None:
        if self._done.called:
            return
        now_s = self._context.since_load_start() / SECOND
        ready = sum(gateway.is_ready for gateway in self._gateways.values())
        self._progress(
            f"{now_s:5.1f} s  managers {ready}/{len(self._gateways)}  open {self._load.open_requests}"
        )
        self._reactor.callLater(PROGRESS_INTERVAL_S, self._report_progress)

    def _look(self) -> None:
        """At the laboratory's own lateness, and at the gateways that the front does not use now."""
        now_s = self._reactor.seconds()
        late_by = int((now_s - self._last_look_s - LOOK_INTERVAL_S) * SECOND)
        if late_by > MAX_LATENESS:
            self.latenesses.append(Lateness(self._context.since_load_start(), late_by))
        self._last_look_s = now_s
        for name, gateway in self._gateways.items():
            if name not in self._load.ready:
                gateway.probe()
        if not self._done.called:
            self._reactor.callLater(LOOK_INTERVAL_S, self._look)

    # The end.

    def _load_ended(self) -> None:
        """No more requests come; what is open may end."""
        if self._load.open_requests:
            self._timeout = self._context.call_later(self.scenario.grace, self._end)
            self._await_answers()
        else:
            self._end()

    def _await_answers(self) -> None:
        if not self._timeout.active():
            return
        if self._load.open_requests:
            self._reactor.callLater(END_POLL_S, self._await_answers)
        else:
            self._timeout.cancel()
            self._end()

    def _end(self) -> None:
        """Waits for programs that have to end by themselves, then ends all others."""
        programs = self._deployment.programs
        is_waiting = any(one.has_to_end and programs[one.name].pid for one in self.scenario.programs)
        if is_waiting and self._program_polls_left > 0:
            self._program_polls_left -= 1
            self._reactor.callLater(PROGRAM_POLL_S, self._end)
            return
        for program in programs.values():
            program.signal(signal.SIGCONT)
            program.signal(signal.SIGTERM)
        self._load.close()
        for gateway in self._gateways.values():
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGTERM)
        self._timeout = self._reactor.callLater(END_TIMEOUT_S, self._end_timed_out)
        self._await_end()

    def _await_end(self) -> None:
        if any(process.pid is not None for process in self._deployment.processes):
            self._reactor.callLater(END_POLL_S, self._await_end)
            return
        if self._timeout.active():
            self._timeout.cancel()
        self._deployment.network.stop()
        if not self._done.called:
            self._done.callback(None)

    def _end_timed_out(self) -> None:
        for name, gateway in self._gateways.items():
            if gateway.pid is not None:
                detail = f"not ended {END_TIMEOUT_S:.0f} s after SIGTERM"
                self._context.log(EventKind.DIED, gateway=name, detail=detail)
        self.kill()

    def kill(self) -> None:
        """Kills all processes."""
        self._deployment.signal_all(signal.SIGKILL)

    # The verdict.

    @property
    def peak_load(self) -> float:
        """The most that an engine in its slow start was sent, in parts of what it bears."""
        engines = self._deployment.engines.values()
        return max((engine.model.peak_load for engine in engines), default=0.0)

    def findings(self) -> list[rule_checker.Finding]:
        """What broke a rule, and programs that ended otherwise than they had to."""
        return [*self._program_findings(), *rule_checker.check(self.events, self._check_context())]

    def _program_findings(self) -> list[rule_checker.Finding]:
        findings = list[rule_checker.Finding]()
        for program in self.scenario.programs:
            exit_code = self._deployment.programs[program.name].exit_code
            if program.has_to_end and exit_code != program.expected_exit_code:
                text = f"ended with {exit_code}, expected {program.expected_exit_code}"
                rule, at = rule_checker.Rule.CRASH, self.scenario.length
                findings.append(rule_checker.Finding(rule, at, "", program.name, text))
        return findings

    def _check_context(self) -> rule_checker.CheckContext:
        struck = {name: list(intervals) for name, intervals in self._faults.struck.items()}
        for lateness in self.latenesses:
            since = lateness.at - lateness.late_by - EXCUSED_AROUND_LATENESS
            excused = rule_checker.Interval(since, lateness.at + EXCUSED_AROUND_LATENESS)
            for name in self._gateways:
                struck.setdefault(name, []).append(excused)
        return rule_checker.CheckContext(
            {service_class.name: service_class for service_class in self.scenario.service_classes},
            self.scenario.retry_budget,
            {name: engine.zone for name, engine in self._deployment.engines.items()},
            struck,
            self._faults.link_delays,
        )


__all__ = ["RunError", "ScenarioRun"]
