"""Sends a maintenance task's commands to engines while the lease of its shard is held.

A thin driver: `maintenance_schedule` decides what is due, `fencing` what may be done.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import xxhash

from vanerelay.attempt_outcome import AttemptEnd, EndCause
from vanerelay.extension import ExtensionHost
from vanerelay.interface import SECOND, EngineStatus
from vanerelay.leases import maintenance_schedule
from vanerelay.leases.config import MaintenanceTask
from vanerelay.leases.fencing import LeasedOperation, LeaseHolder
from vanerelay.leases.maintenance_schedule import MaintenanceSchedule
from vanerelay.leases.service import Leases

POLL_S = 0.1
"""Between two looks at what is due: well under any interval that an operator would write."""

FIRST_PAGE = "0"
"""What @FROM@ stands for in the first command of a dialog."""

MAX_TOKEN_DIGITS = 20
"""An engine's reply names a token of fewer digits: all tokens of 64 bits have them."""


class MaintenanceDialog:
    """What a subsystem makes of the engines' replies. All methods do nothing here."""

    def acquired(self, holder: LeaseHolder) -> None:
        """The lease of the shard is ours."""

    def replied(self, engine: str, started_at: int, end: AttemptEnd) -> str | None:
        """An engine replied to a dialog that began at `started_at`, by the leases' clock.

        Returns what @FROM@ stands for in a further command, which is sent at once; None for none.
        """
        return None


@dataclass(frozen=True, slots=True)
class _Command:
    """One command in flight. Its dialog began at `started_at`; `sent_at` is by the histories' clock."""

    engine: str
    engine_index: int
    operation: LeasedOperation
    started_at: int
    sent_at: int


class MaintenanceRunner:
    """One shard of one maintenance task."""

    def __init__(
        self,
        host: ExtensionHost,
        leases: Leases,
        task: MaintenanceTask,
        shard: int,
        dialog: MaintenanceDialog | None = None,
        accepts: Callable[[EngineStatus], bool] = maintenance_schedule.accepts_maintenance,
    ) -> None:
        """`accepts` says which engines may be sent commands of this task."""
        self._dialog, self._accepts = dialog or MaintenanceDialog(), accepts
        self._host, self._leases, self._task, self._shard = host, leases, task, shard
        self.name = name = task.name if task.shards == 1 else f"{task.name}/{shard}"
        self._schedule = MaintenanceSchedule(task.interval, task.max_in_flight)
        self._timer: Any = None
        self.holder = leases.add_task(name, self._acquired, self._lost)

    def _acquired(self, holder: LeaseHolder) -> None:
        self._schedule.begin(self._leases.clock())
        self._dialog.acquired(holder)
        self.stop()
        self._poll()

    def _lost(self, holder: LeaseHolder) -> None:
        self.stop()

    def stop(self) -> None:
        """Begins nothing further."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _poll(self) -> None:
        self._timer = self._host.reactor.callLater(POLL_S, self._poll)
        if not self.holder.may_act(self._leases.clock()):
            return
        indexes = {
            status.entry.name: status.entry.index
            for status in self._host.gateway.engine_statuses()
            if self._accepts(status)
        }
        shards = self._task.shards
        in_shard = sorted(
            name for name in indexes if maintenance_schedule.shard_of(name, shards) == self._shard
        )
        for name in self._schedule.take_due(self._leases.clock(), in_shard):
            self._send(name, indexes[name], FIRST_PAGE, self._leases.clock())

    def _send(self, engine: str, engine_index: int, page: str, started_at: int) -> bool:
        """Sends one command where the lease still allows it: the process may have been frozen since."""
        operation = self.holder.begin(self._leases.clock(), self._task.timeout)
        if operation is None:
            return False
        self._schedule.sent(engine)
        task_digest = xxhash.xxh32_hexdigest(operation.task.encode())
        command_id = f"{task_digest}.{operation.token:x}.{operation.serial:x}"
        words = _fill_in(self._task.command, _arguments(command_id, operation, page))
        command = _Command(engine, engine_index, operation, started_at, self._leases.history.now())
        timeout_s = self._task.timeout / SECOND
        sent = self._host.send_command(engine_index, words, command_id.encode(), timeout_s)
        sent.addCallback(self._replied, command)
        return True

    def _replied(self, end: AttemptEnd, command: _Command) -> None:
        operation, started_at = command.operation, command.started_at
        self.holder.end(operation)
        page = self._dialog.replied(command.engine, started_at, end)
        if page is None or not self._send(command.engine, command.engine_index, page, started_at):
            succeeded = end.cause is EndCause.OK and page is None
            self._schedule.ended(self._leases.clock(), command.engine, succeeded)
        self._record(command, end)
        newer_token = end.fields.get("number", "")
        if end.cause is EndCause.ERROR and newer_token.isdecimal() and len(newer_token) < MAX_TOKEN_DIGITS:
            self._leases.report_newer_token(operation, int(newer_token))

    def _record(self, command: _Command, end: AttemptEnd) -> None:
        """Writes the operation to the history; checkers read these keys."""
        operation = command.operation
        self._leases.history.add(
            "deed",
            command.sent_at,
            task=operation.task,
            number=operation.token,
            serial=operation.serial,
            holder=operation.holder,
            receiver=command.engine,
            result=end.cause.name.lower(),
        )


def _arguments(command_id: str, operation: LeasedOperation, page: str) -> dict[str, str]:
    """What the placeholders of a command stand for."""
    return {
        "@ID@": command_id,
        "@TASK@": operation.task,
        "@NUMBER@": str(operation.token),
        "@SERIAL@": str(operation.serial),
        "@HOLDER@": operation.holder,
        "@FROM@": page,
    }


def _fill_in(words: tuple[str, ...], arguments: Mapping[str, str]) -> list[bytes]:
    """The words of a command, with its arguments in place of the placeholders."""
    filled = list[bytes]()
    for word in words:
        for placeholder, value in arguments.items():
            word = word.replace(placeholder, value)
        filled.append(word.encode())
    return filled
