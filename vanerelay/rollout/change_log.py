"""The controller's record of changes: a SQLite file in which each event is on disk before its action.

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
"""For another process that writes to the file, such as an operator's command."""

ColumnValue = str | int | bytes
"""What a column may hold."""


class Command(StrEnum):
    """An operator's command to the controller that runs. The values are stored."""

    PAUSE = "pause"
    RESUME = "resume"
    ROLL_BACK = "back"


@dataclass(frozen=True, slots=True)
class RecordedChange:
    """A change in the record: its number, its name, and the last fence under which it was driven."""

    number: int
    name: str
    fence: int


class ChangeLog:
    """All changes of one file.

    Attributes:
        path: the file.
        change, name, fence: the last change's number, name and fence; 0 and empty where there is none.
    """

    def __init__(self, path: str, create: bool = True) -> None:
        """Opens the file, and creates it where there is none, if that is asked for.

        Raises:
            ChangeLogError: it can't be read.
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
        """Begins another change."""
        cursor = self._execute("insert into change (name, plan, fence) values (?, ?, ?)", name, plan, fence)
        self.change, self.name, self.fence = int(cursor.lastrowid or 0), name, fence

    def set_fence(self, fence: int) -> None:
        """Stores the fence under which the change is driven from now on."""
        self._execute("update change set fence = ? where id = ?", fence, self.change)
        self.fence = fence

    def append(self, event: Event) -> None:
        """Appends an event; it is on disk once this returns."""
        body = msgspec.json.encode(event)
        self._execute("insert into event (change, body) values (?, ?)", self.change, body)

    def events(self, change: int | None = None) -> list[Event]:
        """The events of a change, the first first; of the last change where none is named."""
        query = "select body from event where change = ? order by id"
        rows = self._execute(query, change or self.change)
        return [msgspec.json.decode(row[0], type=Event) for row in rows]

    def plan(self) -> str:
        """The text of the plan."""
        row = self._execute("select plan from change where id = ?", self.change).fetchone()
        return str(row[0]) if row is not None else ""

    def save_baseline(self, baseline: bytes) -> None:
        """Stores what the canary analysis saw before the change."""
        self._execute("update change set baseline = ? where id = ?", baseline, self.change)

    def baseline(self) -> bytes:
        """The stored baseline; empty where there is none."""
        row = self._execute("select baseline from change where id = ?", self.change).fetchone()
        return bytes(row[0] or b"") if row is not None else b""

    def changes(self) -> list[RecordedChange]:
        """All changes, the first first."""
        rows = self._execute("select id, name, fence from change order by id")
        return [RecordedChange(*row) for row in rows]

    # Commands of operators to the controller that runs.

    def add_command(self, command: str) -> None:
        """Leaves a command for the controller."""
        self._execute("insert into word (change, what) values (?, ?)", self.change, str(command))

    def take_commands(self) -> list[str]:
        """The commands that were left since this was called last."""
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
