"""Sends a maintenance task's commands to engines while the lease of its shard is held.

A thin driver: `maintenance_schedule` decides which engines are due, `fencing` which operations may begin.
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
"""Interval of checks for due engines: well under any command interval that an operator would set."""

FIRST_PAGE = "0"
"""Value of @FROM@ in the first command of a dialog."""

MAX_TOKEN_DIGITS = 20
"""Limit of digits in a token of an engine's reply; signed 64-bit tokens have fewer than 20 digits."""


class MaintenanceDialog:
    """Hooks for a subsystem that handles engines' replies to commands. The base class does nothing."""

    def acquired(self, holder: LeaseHolder) -> None:
        """Called when this gateway acquires the lease of the shard."""

    def replied(self, engine: str, started_at: int, end: AttemptEnd) -> str | None:
        """Handles an engine's reply in a dialog that began at `started_at`, by the clock of leases.

        Returns the value of @FROM@ in a further command, which is sent at once; None ends the dialog.
        """
        return None


@dataclass(frozen=True, slots=True)
class _Command:
    """One command in flight.

    Attributes:
        engine: the engine's name.
        engine_index: the engine's index in the gateway.
        operation: the operation under the lease.
        started_at: when the dialog began, by the clock of leases.
        sent_at: when the command was sent, by the clock of the history.
    """

    engine: str
    engine_index: int
    operation: LeasedOperation
    started_at: int
    sent_at: int


class MaintenanceRunner:
    """Runs one shard of a maintenance task."""

    def __init__(
        self,
        host: ExtensionHost,
        leases: Leases,
        task: MaintenanceTask,
        shard: int,
        dialog: MaintenanceDialog | None = None,
        accepts: Callable[[EngineStatus], bool] = maintenance_schedule.accepts_maintenance,
    ) -> None:
        """`accepts` returns True for engines that commands of this task may be sent to."""
        self._dialog, self._accepts = dialog or MaintenanceDialog(), accepts
        self._host, self._leases, self._task, self._shard = host, leases, task, shard
        self.name = name = task.name if task.shards == 1 else f"{task.name}/{shard}"
        self._schedule = MaintenanceSchedule(task.interval, task.max_in_flight)
        self._timer: Any = None
        self.holder = leases.add_task(name, self._acquired, self._lost)

    def _acquired(self, holder: LeaseHolder) -> None:
        self._schedule.reset(self._leases.clock())
        self._dialog.acquired(holder)
        self.stop()
        self._poll()

    def _lost(self, holder: LeaseHolder) -> None:
        self.stop()

    def stop(self) -> None:
        """Sends no further commands."""
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
        """Sends one command and returns True, if the lease still allows it.

        The lease is checked again here, as the process may have been frozen since the last check.
        """
        operation = self.holder.begin(self._leases.clock(), self._task.timeout)
        if operation is None:
            return False
        self._schedule.mark_sent(engine)
        task_digest = xxhash.xxh32_hexdigest(operation.task.encode())
        command_id = f"{task_digest}.{operation.token:x}.{operation.serial:x}"
        arguments = _fill_placeholders(self._task.command, _placeholder_values(command_id, operation, page))
        command = _Command(engine, engine_index, operation, started_at, self._leases.history.now())
        timeout_s = self._task.timeout / SECOND
        reply = self._host.send_command(engine_index, arguments, command_id.encode(), timeout_s)
        reply.addCallback(self._replied, command)
        return True

    def _replied(self, end: AttemptEnd, command: _Command) -> None:
        operation, started_at = command.operation, command.started_at
        self.holder.end(operation)
        page = self._dialog.replied(command.engine, started_at, end)
        if page is None or not self._send(command.engine, command.engine_index, page, started_at):
            succeeded = end.cause is EndCause.OK and page is None
            self._schedule.mark_ended(self._leases.clock(), command.engine, succeeded)
        self._record(command, end)
        newer_token = end.fields.get("number", "")
        if end.cause is EndCause.ERROR and newer_token.isdecimal() and len(newer_token) < MAX_TOKEN_DIGITS:
            self._leases.report_newer_token(operation, int(newer_token))

    def _record(self, command: _Command, end: AttemptEnd) -> None:
        """Writes the operation to the history; checkers of histories match these keys."""
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


def _placeholder_values(command_id: str, operation: LeasedOperation, page: str) -> dict[str, str]:
    """Returns the values of a command's placeholders."""
    return {
        "@ID@": command_id,
        "@TASK@": operation.task,
        "@NUMBER@": str(operation.token),
        "@SERIAL@": str(operation.serial),
        "@HOLDER@": operation.holder,
        "@FROM@": page,
    }


def _fill_placeholders(command: tuple[str, ...], values: Mapping[str, str]) -> list[bytes]:
    """Returns a command's arguments with values in place of the placeholders."""
    filled = list[bytes]()
    for argument in command:
        for placeholder, value in values.items():
            argument = argument.replace(placeholder, value)
        filled.append(argument.encode())
    return filled
