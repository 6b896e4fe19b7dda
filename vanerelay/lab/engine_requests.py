"""What gateways ask of the engines of a run: the statement of a query, its attempt, a leased operation."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from typing import Any

from vanerelay.lab.engine_session import EngineSession
from vanerelay.lab.replication_model import ReplicaPosition

WORK_PATTERN = re.compile(rb"-- w=(\d+) m=(\d+) n=(\d+)")
TABLE_PATTERN = re.compile(rb"(INTO|FROM) sales_(\d+)\.")


@dataclass(frozen=True, slots=True)
class Statement:
    """What an engine reads from the text of a query.

    Attributes:
        work: core time in ticks.
        table: the table group, -1 for none.
        is_load: whether it writes the table group.
    """

    work: int = 100
    memory_mb: int = 1
    threads: int = 1
    table: int = -1
    is_load: bool = False

    @classmethod
    def read(cls, body: bytes) -> Statement:
        """Reads the text of a query."""
        work, table = WORK_PATTERN.search(body), TABLE_PATTERN.search(body)
        statement = cls(int(work[1]), int(work[2]), int(work[3])) if work else cls()
        if table is None:
            return statement
        return replace(statement, table=int(table[2]), is_load=table[1] == b"INTO")


@dataclass(slots=True)
class Attempt:
    """One attempt at an engine.

    Attributes:
        is_cold_read: it has to read its table group first.
        position: what a read saw of its table group when it began; None: of no replica, or not begun.
        began: by the histories' clock.
    """

    session: EngineSession
    ident: bytes
    service_class: str
    statement: Statement
    is_cold_read: bool = False
    position: ReplicaPosition | None = None
    began: int = 0

    @property
    def query(self) -> str:
        """The query's reference."""
        return self.ident.decode()


@dataclass(frozen=True, slots=True)
class Operation:
    """What a leased operation says of its lease; histories have these keys."""

    task: str
    number: int
    serial: int
    holder: str

    @classmethod
    def read(cls, fields: dict[str, str]) -> Operation:
        """Reads the fields of a request."""
        number, serial = int(fields.get("number", 0)), int(fields.get("serial", 0))
        return cls(fields.get("task", ""), number, serial, fields.get("holder", ""))

    def row(self) -> dict[str, Any]:
        """For a history."""
        return {"task": self.task, "number": self.number, "serial": self.serial, "holder": self.holder}


__all__ = ["Attempt", "Operation", "Statement"]
