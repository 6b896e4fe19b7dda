"""What was last good, kept on disk: accepted lists by source, with a bounded history. Called in a worker
thread.

SQLite: a transaction is whole or not there after a crash at any point, which a test causes. Each list carries
a checksum of its own, since a disk may give back other bytes than it was given."""

from __future__ import annotations

import contextlib
import os
import sqlite3
from collections.abc import Mapping
from dataclasses import dataclass

from vanerelay.membership import list_codec
from vanerelay.membership.list_codec import EngineList, Unusable

FILE = "membership.db"
APPLICATION, VERSION = 0x7672656C, 1  # "vrel": whose file it is; the form of its tables
HEADER = b"SQLite format 3\0"
MOST_BYTES = 256 * 2**20  # of lists kept for one source; the oldest go first

TABLES = """
CREATE TABLE lists (number INTEGER PRIMARY KEY AUTOINCREMENT, source TEXT NOT NULL, revision INTEGER NOT NULL,
                    at_ms INTEGER NOT NULL, why TEXT NOT NULL, engines INTEGER NOT NULL, digest TEXT NOT NULL,
                    body BLOB NOT NULL);
CREATE INDEX lists_by_source ON lists (source, number);
CREATE TABLE pins (source TEXT PRIMARY KEY, revision INTEGER NOT NULL);
"""


@dataclass(frozen=True, slots=True)
class Record:
    """One accepted list in the history. `at_ms`: Unix milliseconds."""

    number: int
    source: str
    revision: int
    at_ms: int
    why: str
    engines: int


@dataclass(frozen=True, slots=True)
class Loaded:
    record: Record
    files: dict[str, EngineList]


COLUMNS = "number, source, revision, at_ms, why, engines"


class Store:
    """An open file. Every method may say in one line why it could not be done, as Unusable."""

    def __init__(self, connection: sqlite3.Connection, path: str, keep: int) -> None:
        self._connection, self.path, self._keep = connection, path, keep

    def save(
        self,
        source: str,
        revision: int,
        at_ms: int,
        why: str,
        files: Mapping[str, EngineList],
        locations: list[str],
        kinds: list[str],
    ) -> Unusable | None:
        """Keeps a list, whole or not at all, and forgets the oldest past `keep`."""
        body = list_codec.pack(files, locations, kinds)
        engines = sum(len(one.members) for one in files.values())
        try:
            with self._connection as at:
                at.execute("BEGIN IMMEDIATE")
                at.execute(
                    "INSERT INTO lists (source, revision, at_ms, why, engines, digest, body) "
                    "VALUES (?, ?, ?, ?, ?, ?, ?)",
                    (source, revision, at_ms, why, engines, list_codec.digest(body), body),
                )
                at.execute(
                    "DELETE FROM lists WHERE source = ? AND number NOT IN (SELECT number FROM (SELECT "
                    "number, ROW_NUMBER() OVER (ORDER BY number DESC) AS place, "
                    "SUM(LENGTH(body)) OVER (ORDER BY number DESC) AS bytes FROM lists WHERE source = ?) "
                    "WHERE place = 1 OR place <= ? AND bytes <= ?) AND revision NOT IN "
                    "(SELECT revision FROM pins WHERE source = ?)",
                    (source, source, self._keep, MOST_BYTES, source),
                )
        except sqlite3.Error as fault:
            return Unusable(f"{self.path}: {fault}")
        return None

    def load(
        self, source: str, locations: Mapping[str, int], kinds: Mapping[str, int], revision: int | None = None
    ) -> Loaded | Unusable | None:
        """A source's last list, or its last of a revision. One whose bytes are not those that
        were kept is passed over for the one before it; Unusable if none is left."""
        wrong: Unusable | None = None
        try:
            rows = self._connection.execute(
                f"SELECT {COLUMNS}, digest, body FROM lists WHERE source = ? AND (? IS NULL OR revision = ?) "
                "ORDER BY number DESC",
                (source, revision, revision),
            )
            for *told, digest, body in rows:
                record = Record(*told)
                files: dict[str, EngineList] | Unusable = Unusable("its checksum is another")
                if isinstance(body, bytes) and list_codec.digest(body) == digest:
                    files = list_codec.unpack(body, locations, kinds)
                if not isinstance(files, Unusable):
                    return Loaded(record, files)
                wrong = wrong or Unusable(f"{self.path}: {source}, revision {record.revision}: {files.why}")
        except sqlite3.Error as fault:
            return Unusable(f"{self.path}: {fault}")
        return wrong

    def history(self, most: int) -> list[Record] | Unusable:
        """What was accepted, the newest first."""
        try:
            return [
                Record(*row)
                for row in self._connection.execute(
                    f"SELECT {COLUMNS} FROM lists ORDER BY number DESC LIMIT ?", (most,)
                )
            ]
        except sqlite3.Error as fault:
            return Unusable(f"{self.path}: {fault}")

    def pins(self) -> dict[str, int] | Unusable:
        try:
            return dict(self._connection.execute("SELECT source, revision FROM pins").fetchall())
        except sqlite3.Error as fault:
            return Unusable(f"{self.path}: {fault}")

    def pin(self, source: str, revision: int | None) -> Unusable | None:
        """Remembers a pin over restarts, or its end."""
        try:
            with self._connection as at:
                if revision is None:
                    at.execute("DELETE FROM pins WHERE source = ?", (source,))
                else:
                    at.execute("INSERT OR REPLACE INTO pins VALUES (?, ?)", (source, revision))
        except sqlite3.Error as fault:
            return Unusable(f"{self.path}: {fault}")
        return None

    def close(self) -> None:
        with contextlib.suppress(sqlite3.Error):
            self._connection.close()


def open_store(folder: str, keep: int) -> Store | Unusable:
    """Opens or makes the file in a folder. One that is not ours is left alone; one of ours that is damaged is
    set aside under one other name, and a new one is begun at the next start."""
    path = os.path.join(folder, FILE)
    ours = False
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
        if os.path.exists(path) and os.path.getsize(path):
            with open(path, "rb") as file:
                head = file.read(72)
            if head[:16] != HEADER:
                return Unusable(f"{path}: not a file of ours, expected SQLite; left alone")
            ours = int.from_bytes(head[68:72], "big") == APPLICATION
            if not ours:
                return Unusable(
                    f"{path}: another program's, expected application id {APPLICATION:#x}; left alone"
                )
        connection = sqlite3.connect(path, timeout=5.0, check_same_thread=False, isolation_level=None)
    except (OSError, sqlite3.Error) as fault:
        return Unusable(f"{path}: {fault}")
    try:
        version = connection.execute("PRAGMA user_version").fetchone()[0]
        if version > VERSION:
            raise sqlite3.NotSupportedError(f"form {version}, expected {VERSION}; left alone")
        # A rollback journal: two files at most, and the last state that was told is on disk.
        connection.execute("PRAGMA journal_mode=DELETE")
        connection.execute("PRAGMA synchronous=FULL")
        if version == 0:
            connection.executescript(
                f"BEGIN; PRAGMA application_id={APPLICATION}; PRAGMA user_version={VERSION};{TABLES} COMMIT;"
            )
        wrong = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
        if wrong != "ok":
            raise sqlite3.DatabaseError(wrong)
    except sqlite3.NotSupportedError as fault:
        connection.close()
        return Unusable(f"{path}: {fault}")
    except sqlite3.DatabaseError as fault:
        connection.close()
        aside = ""
        if ours and not isinstance(fault, sqlite3.OperationalError):
            with contextlib.suppress(OSError):
                os.replace(path, path + ".damaged")
                aside = f"; set aside as {FILE}.damaged"
        return Unusable(f"{path}: {str(fault).splitlines()[0]}{aside}")
    return Store(connection, path, keep)
