"""Plays one seed: the stand-ins, the processes and the faults in one event loop."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from tests.helpers import ROOT
from tests.soak import processes, schedule
from tests.soak.checker import Checker, EngineFacts, Rules
from tests.soak.discovery import DiscoveryBehaviour, EventList
from tests.soak.engines import EngineBehaviour, EngineServer
from tests.soak.processes import Process
from tests.soak.schedule import FaultEvent, Schedule

WORK_S = 0.1
LAG_TICK_S, LAG_KEPT_S = 0.01, 2.0
MEMORY_TICK_S = 0.05
SPARE_CONNECTIONS = 8  # of the clients' share of the descriptors, which usual clients take
CROWDS = (("half_requests",), ("half_of_the_request",), ("half_requests", "--pause", "0.05"), ("half_heads",))
FULL_SPEED = (("readiness_checks",), ("readiness_checks", "--unread"), ("stray_cancels",))
MAX_LAG_S = 0.5  # past it the host was too slow to judge anything
SETTLING_S = processes.LONGEST_DEADLINE_S + 0.7  # after the last request
MAX_VIOLATIONS_SHOWN = 20  # lines of violations that are shown


@dataclass(frozen=True, slots=True)
class Verdict:
    """What came of a run."""

    seed: int
    processes: int
    violations: list[str]
    counts: dict[str, int]
    worst_lag_s: float
    peak_mb: float
    memory_mb: int

    @property
    def judged(self) -> bool:
        return self.worst_lag_s < MAX_LAG_S

    def line(self) -> str:
        word = (
            "not judged, the host was too slow"
            if not self.judged
            else "broken"
            if self.violations
            else "sound"
        )
        told = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        figures = f"lag {self.worst_lag_s:.3f} s, {self.peak_mb:.1f} of {self.memory_mb} MB"
        return f"seed {self.seed}: {word}; {self.processes} processes, {figures}; {told}"


class Run:
    """One run of one schedule."""

    def __init__(self, plan: Schedule, folder: Path) -> None:
        self._plan, self._random, self._folder = plan, random.Random(plan.seed), folder
        self._lags = deque[tuple[float, float]]()
        self._looked_at = time.monotonic()
        self._worst_lag = 0.0
        rules = Rules(
            deduplication_window_s=processes.DEDUPLICATION_WINDOW_S,
            budget_window_s=processes.BUDGET_WINDOW_S,
            free_retries=processes.FREE_RETRIES,
            budget_share=processes.BUDGET_SHARE,
            initial_share=processes.INITIAL_SHARE,
            slow_start_s=processes.SLOW_START_S,
            overload_factor=processes.OVERLOAD_FACTOR,
            overload_window_s=processes.OVERLOAD_WINDOW_S,
            mean_work_s=WORK_S,
        )
        self.checker = Checker(rules, time.monotonic, self._slack)
        self._events = EventList()
        self._engines: list[EngineServer] = []
        self._count = 0
        self._discovery_free_at = 0.0
        self._tasks = set[asyncio.Task[None]]()
        self.processes = [
            Process(
                f"n{number}",
                number,
                plan.processes,
                folder,
                self._events,
                self.checker,
                random.Random(plan.seed * 1000 + number),
                self._slack,
                plan.memory_mb,
                plan.sockets,
            )
            for number in range(plan.processes)
        ]

    def _slack(self) -> float:
        """How late this host may have been to look."""
        going_on = time.monotonic() - self._looked_at - LAG_TICK_S
        return 0.02 + max(going_on, max((lag for _, lag in self._lags), default=0.0))

    async def _measure_lag(self) -> None:
        while True:
            began = time.monotonic()
            await asyncio.sleep(LAG_TICK_S)
            now = self._looked_at = time.monotonic()
            lag = now - began - LAG_TICK_S
            self._worst_lag = max(self._worst_lag, lag)
            self._lags.append((now, lag))
            while self._lags[0][0] < now - LAG_KEPT_S:
                self._lags.popleft()

    async def _watch_memory(self) -> None:
        while True:
            await asyncio.sleep(MEMORY_TICK_S)
            for process in self.processes:
                process.check_memory()

    async def play(self) -> Verdict:
        lag = asyncio.create_task(self._measure_lag())
        memory = asyncio.create_task(self._watch_memory())
        try:
            for _ in range(self._plan.engines):
                await self._new_engine(cold=False)
            self._events.publish(*(engine.entry() for engine in self._engines), complete=True)
            await asyncio.gather(*(process.start() for process in self.processes))
            self._worst_lag = 0.0
            await self._load_and_faults()
            await asyncio.gather(*(process.end() for process in self.processes))
        finally:
            lag.cancel()
            memory.cancel()
            for task in self._tasks:
                task.cancel()
            for process in self.processes:
                process.destroy()
            for engine in self._engines:
                engine.close()
        self.checker.finish()
        for process in self.processes:
            process.read_log()
        (self._folder / "story").write_text("\n".join([*self.checker.story, *self.checker.violations]))
        return Verdict(
            self._plan.seed,
            self._plan.processes,
            self.checker.violations,
            dict(self.checker.counts),
            self._worst_lag,
            max(process.peak_mb for process in self.processes),
            self._plan.memory_mb,
        )

    async def _load_and_faults(self) -> None:
        loads = [
            asyncio.create_task(process.clients.run(self._plan.rate * self._random.uniform(0.4, 1.6)))
            for process in self.processes
        ]
        began = time.monotonic()
        for event in self._plan.events:
            await asyncio.sleep(max(0.0, began + event.at - time.monotonic()))
            self._begin(event)
            for process in self.processes:
                process.check_alive()
        await asyncio.sleep(max(0.0, began + self._plan.length - time.monotonic()))
        for process in self.processes:
            process.clients.going = False
        while any(process.busy for process in self.processes):
            await asyncio.sleep(0.05)
        await asyncio.sleep(SETTLING_S)
        for process in self.processes:
            process.check_alive()
        for task in loads:
            task.cancel()

    def _begin(self, event: FaultEvent) -> None:
        handler: Callable[[FaultEvent, random.Random], Awaitable[None]]
        handler = getattr(self, f"_{event.fault.name.lower()}")
        what = f"{event.fault.name} of {event.affected_part} for {event.duration_s:.2f} s"
        self.checker.story.append(f"{time.monotonic():9.3f} {what}")
        task = asyncio.ensure_future(handler(event, random.Random(event.seed)))
        self._tasks.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.checker.report_violation("soak", f"a fault's own code failed: {task.exception()!r}")

    def _some(self, event: FaultEvent, random_source: random.Random) -> list[Process]:
        count = max(1, round(event.affected_part * len(self.processes)))
        return random_source.sample(self.processes, count)

    def _serving(self) -> list[EngineServer]:
        return [engine for engine in self._engines if engine.phase == "SERVING"]

    async def _new_engine(self, cold: bool) -> EngineServer:
        self._count += 1
        facts = EngineFacts(processes.CORES, time.monotonic() if cold else None)
        engine = EngineServer(f"s-{self._count}", self.checker, facts, self._random.getrandbits(32), WORK_S)
        if cold:
            engine.started_unix_ms = int(time.time() * 1000)
        await engine.open()
        self._engines.append(engine)
        return engine

    def _leaves(self, engine: EngineServer, phase: str) -> None:
        engine.phase = phase
        if engine.facts.left_at is None:
            engine.facts.left_at = time.monotonic()

    # The faults.

    async def _wall_clock_step(self, event: FaultEvent, random_source: random.Random) -> None:
        for process in self._some(event, random_source):
            process.faults.step(random_source.choice(schedule.CLOCK_STEPS_S))

    async def _system_calls(self, event: FaultEvent, random_source: random.Random) -> None:
        met = self._some(event, random_source)
        kinds = ("accept", "connect", "socket", "short")
        rates = {name: random_source.choice([0.0, 0.1, 0.5]) for name in kinds}
        for process in met:
            process.faults.set(**rates)
        await asyncio.sleep(event.duration_s)
        for process in met:
            process.faults.set(**dict.fromkeys(kinds, 0.0))

    async def _engine_behaviour(self, event: FaultEvent, random_source: random.Random) -> None:
        engines = [one for one in self._serving() if one.behaviour is EngineBehaviour.HEALTHY]
        if len(engines) < 2:
            return
        engine = random_source.choice(engines)
        engine.behaviour = random_source.choice(
            [behaviour for behaviour in EngineBehaviour if behaviour is not EngineBehaviour.HEALTHY]
        )
        await asyncio.sleep(2 * event.duration_s)
        engine.behaviour = EngineBehaviour.HEALTHY

    async def _engine_crash(self, event: FaultEvent, random_source: random.Random) -> None:
        engines = self._serving()
        if len(engines) < 3:
            return
        engine = random_source.choice(engines)
        engine.phase = "DELETED"  # nobody is told yet
        engine.close()
        await asyncio.sleep(random_source.uniform(0.0, 2.0))
        self._leaves(engine, "DELETED")
        fresh = await self._new_engine(cold=True)
        self._events.publish(engine.entry(), fresh.entry())

    async def _engine_drain(self, event: FaultEvent, random_source: random.Random) -> None:
        engines = self._serving()
        leaving = random_source.sample(engines, max(0, min(len(engines) - 2, random_source.randint(1, 3))))
        for engine in leaving:
            self._leaves(engine, "DRAINING")
        if not leaving:
            return
        self._events.publish(*(engine.entry() for engine in leaving))
        await asyncio.sleep(event.duration_s)
        fresh = [await self._new_engine(cold=True) for _ in leaving]
        self._events.publish(*(engine.entry() for engine in fresh))
        await asyncio.sleep(event.duration_s)
        for engine in leaving:
            self._leaves(engine, "DELETED")
        self._events.publish(*(engine.entry() for engine in leaving))

    async def _engine_reset(self, event: FaultEvent, random_source: random.Random) -> None:
        random_source.choice(self._engines).reset_all()

    async def _discovery_behaviour(self, event: FaultEvent, random_source: random.Random) -> None:
        """One at a time and no longer than it takes to hear in time: longer, nobody could know."""
        if time.monotonic() < self._discovery_free_at:
            return
        self._discovery_free_at = time.monotonic() + event.duration_s + 5.0
        met = self._some(event, random_source)
        behaviour = random_source.choice(
            [behaviour for behaviour in DiscoveryBehaviour if behaviour is not DiscoveryBehaviour.HEALTHY]
        )
        for process in met:
            process.discovery.set(behaviour)
        await asyncio.sleep(event.duration_s)
        for process in met:
            process.discovery.set(DiscoveryBehaviour.HEALTHY)

    async def _reconfigure(self, event: FaultEvent, random_source: random.Random) -> None:
        for process in self._some(event, random_source):
            for _ in range(random_source.randint(1, 4)):
                if not process.busy:
                    await process.move_discovery(random_source.random() < 0.3)
                    await asyncio.sleep(random_source.uniform(0.0, 0.3))

    async def _restart(self, event: FaultEvent, random_source: random.Random) -> None:
        waits = [
            process.restart(random_source.random() < 0.5) for process in self._some(event, random_source)
        ]
        await asyncio.gather(*waits)

    async def _kill(self, event: FaultEvent, random_source: random.Random) -> None:
        await asyncio.gather(*(process.kill() for process in self._some(event, random_source)))

    async def _pause(self, event: FaultEvent, random_source: random.Random) -> None:
        span = random_source.uniform(0.02, self._plan.max_pause_s)
        await asyncio.gather(*(process.pause(span) for process in self._some(event, random_source)))

    async def _crowd(self, event: FaultEvent, random_source: random.Random) -> None:
        process = random_source.choice(self.processes)
        share = process.sockets // 3
        within, past = share - SPARE_CONNECTIONS, process.sockets // 2
        count = random_source.choice([within, past])
        await process.clients.fill_connections(count, exceeds_share=count > share)
        await asyncio.sleep(event.duration_s)
        process.clients.close_idle_connections()

    async def _kill_series(self, event: FaultEvent, random_source: random.Random) -> None:
        await random_source.choice(self.processes).kill(random_source.choice([2, 3]))

    async def _abuse(self, event: FaultEvent, random_source: random.Random) -> None:
        """Abusive clients of one process, within the share of the descriptors that clients may hold."""
        process = random_source.choice(self.processes)
        kind = random_source.choice(CROWDS + FULL_SPEED)
        connections = process.sockets // 3 - SPARE_CONNECTIONS if kind in CROWDS else 1
        host, _, port = process.listen.rpartition(":")
        program = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "tests.abusive_clients", kind[0], host, port, *kind[1:]),
            *("--connections", str(connections), "--seconds", str(event.duration_s)),
            *("--seed", str(event.seed)),
            cwd=ROOT,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            await program.wait()
        finally:
            if program.returncode is None:
                program.kill()

    async def _garbage(self, event: FaultEvent, random_source: random.Random) -> None:
        await asyncio.gather(
            *(process.clients.send_garbage() for process in self._some(event, random_source))
        )

    async def _disconnect(self, event: FaultEvent, random_source: random.Random) -> None:
        for process in self._some(event, random_source):
            process.clients.disconnect_all()

    async def _pipeline(self, event: FaultEvent, random_source: random.Random) -> None:
        await asyncio.gather(*(process.clients.pipeline() for process in self._some(event, random_source)))


def play(
    seed: int, length: float, folder: Path, size: int | None = None, max_pause_s: float = schedule.MAX_PAUSE_S
) -> Verdict:
    return asyncio.run(Run(schedule.draw(seed, length, size, max_pause_s), folder).play())
