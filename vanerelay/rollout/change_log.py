"""The controller's record of changes, a SQLite file. Each event is on disk before its action is taken.

The names of the tables and columns are those of the first release.
"""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from vanerelay.rollout.errors import ChangeLogError
from vanerelay.rollout.events import Event

__all__ = ["ChangeLog", "ChangeLogError", "Command", "RecordedChange"]

SCHEMA = """
create table if not exists change (id integer primary key, name text, plan text, fence integer, baseline
blob); create table if not exists event (id integer primary key, change integer, body blob);
create table if not exists word (id integer primary key, change integer, what text, taken integer default 0);
"""

LOCK_TIMEOUT_S = 2.0
"""The time to wait for another process that writes to the file, such as an operator's command."""

ColumnValue = str | int | bytes
"""The types of a column's value."""


class Command(StrEnum):
    """An operator's command to the running controller. The values are stored."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"


@dataclass(frozen=True, slots=True)
class RecordedChange:
    """A change in the record: its number, its name, and the last fence that its controller claimed."""

    number: int
    name: str
    fence: int


class ChangeLog:
    """The changes recorded in one file.

    Attributes:
        path: The path of the file.
        change: The number of the last change; 0 if there is none.
        name: The name of the last change; empty if there is none.
        fence: The last fence recorded for the last change; 0 if there is none.
    """

    def __init__(self, path: str, create: bool = True) -> None:
        """Opens the file; creates it if it is missing and `create` is set.

        Raises:
            ChangeLogError: The file cannot be opened, or is no record.
        """
        self.path = path
        try:
            uri = f"file:{path}?mode={'rwc' if create else 'rw'}"
            self._connection = sqlite3.connect(uri, uri=True, isolation_level=None, timeout=LOCK_TIMEOUT_S)
            self._connection.execute("pragma journal_mode = delete")
            self._connection.execute("pragma synchronous = full")
            self._connection.executescript(SCHEMA)
            query = "select id, name, fence from change order by id desc limit 1"
            row = self._connection.execute(query).fetchone()
        except sqlite3.Error as error:
            raise ChangeLogError(f"record {path}: {error}") from error
        self.change = int(row[0]) if row else 0
        self.name = str(row[1]) if row else ""
        self.fence = int(row[2]) if row else 0

    def begin(self, name: str, plan: str, fence: int) -> None:
        """Starts the record of a new change, which becomes the last one."""
        cursor = self._execute("insert into change (name, plan, fence) values (?, ?, ?)", name, plan, fence)
        self.change, self.name, self.fence = int(cursor.lastrowid or 0), name, fence

    def set_fence(self, fence: int) -> None:
        """Stores the fence of the orders from now on."""
        self._execute("update change set fence = ? where id = ?", fence, self.change)
        self.fence = fence

    def append(self, event: Event) -> None:
        """Appends an event to the last change. It is on disk when this returns."""
        body = msgspec.json.encode(event)
        self._execute("insert into event (change, body) values (?, ?)", self.change, body)

    def events(self, change: int | None = None) -> list[Event]:
        """Returns the events of a change in the order of recording; those of the last change by default."""
        query = "select body from event where change = ? order by id"
        rows = self._execute(query, change or self.change)
        return [msgspec.json.decode(row[0], type=Event) for row in rows]

    def plan(self) -> str:
        """Returns the text of the last change's plan; empty if there is none."""
        row = self._execute("select plan from change where id = ?", self.change).fetchone()
        return str(row[0]) if row is not None else ""

    def save_baseline(self, baseline: bytes) -> None:
        """Stores the encoded baseline of the canary analysis."""
        self._execute("update change set baseline = ? where id = ?", baseline, self.change)

    def baseline(self) -> bytes:
        """Returns the encoded baseline of the last change; empty if there is none."""
        row = self._execute("select baseline from change where id = ?", self.change).fetchone()
        return bytes(row[0] or b"") if row is not None else b""

    def changes(self) -> list[RecordedChange]:
        """Returns all changes in the order of recording."""
        rows = self._execute("select id, name, fence from change order by id")
        return [RecordedChange(*row) for row in rows]

    # Operators' commands to the running controller.

    def add_command(self, command: str) -> None:
        """Stores a command for the controller of the last change."""
        self._execute("insert into word (change, what) values (?, ?)", self.change, str(command))

    def take_commands(self) -> list[str]:
        """Returns the commands added since the last call, and marks them as taken."""
        query = "select id, what from word where change = ? and taken = 0 order by id"
        rows = list(self._execute(query, self.change))
        for number, _ in rows:
            self._execute("update word set taken = 1 where id = ?", number)
        return [command for _, command in rows]

    def _execute(self, statement: str, *values: ColumnValue) -> sqlite3.Cursor:
        try:
            return self._connection.execute(statement, values)
        except sqlite3.Error as error:
            raise ChangeLogError(f"record {self.path}: {error}") from error

    def close(self) -> None:
        """Closes the file."""
        self._connection.close()
