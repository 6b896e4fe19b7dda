"""Accepted lists by source, kept on disk with a bounded history. Called in a worker thread.

SQLite: a transaction is complete or has not happened after a crash at any point, which a test causes. Each
list has a checksum of its own, since a disk may return other bytes than it was given.
"""

from __future__ import annotations

import contextlib
import os
import sqlite3
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from vanerelay.membership import list_codec
from vanerelay.membership.errors import ListFileError, StoreError
from vanerelay.membership.list_codec import EngineList

FILE_NAME = "membership.db"
APPLICATION_ID = 0x7672656C
"""Marks the file as ours: "vrel"."""

SCHEMA_VERSION = 1
SQLITE_HEADER = b"SQLite format 3\0"
APPLICATION_ID_FIELD = slice(68, 72)
"""Where the header of an SQLite file has the application id, big-endian."""

BUSY_TIMEOUT_S = 5.0
MAX_BYTES_PER_SOURCE = 256 * 2**20
"""Bytes of the lists that are kept of one source; the oldest go first."""

TABLES = """
CREATE TABLE lists (number INTEGER PRIMARY KEY AUTOINCREMENT, source TEXT NOT NULL, revision INTEGER NOT NULL,
                    at_ms INTEGER NOT NULL, why TEXT NOT NULL, engines INTEGER NOT NULL, digest TEXT NOT NULL,
                    body BLOB NOT NULL);
CREATE INDEX lists_by_source ON lists (source, number);
CREATE TABLE pins (source TEXT PRIMARY KEY, revision INTEGER NOT NULL);
"""
HISTORY_COLUMNS = "number, source, revision, at_ms, why, engines"

INSERT_LIST = (
    "INSERT INTO lists (source, revision, at_ms, why, engines, digest, body) VALUES (?, ?, ?, ?, ?, ?, ?)"
)
DELETE_OLD_LISTS = (
    "DELETE FROM lists WHERE source = ? AND number NOT IN (SELECT number FROM (SELECT "
    "number, ROW_NUMBER() OVER (ORDER BY number DESC) AS place, "
    "SUM(LENGTH(body)) OVER (ORDER BY number DESC) AS bytes FROM lists WHERE source = ?) "
    "WHERE place = 1 OR place <= ? AND bytes <= ?) AND revision NOT IN "
    "(SELECT revision FROM pins WHERE source = ?)"
)
SELECT_LISTS = (
    f"SELECT {HISTORY_COLUMNS}, digest, body FROM lists WHERE source = ? AND (? IS NULL OR revision = ?) "
    "ORDER BY number DESC"
)
SELECT_HISTORY = f"SELECT {HISTORY_COLUMNS} FROM lists ORDER BY number DESC LIMIT ?"


@dataclass(frozen=True, slots=True)
class ListRecord:
    """One accepted list in the history. `accepted_at_ms`: Unix milliseconds."""

    number: int
    source: str
    revision: int
    accepted_at_ms: int
    reason: str
    engine_count: int


@dataclass(frozen=True, slots=True)
class StoredList:
    """An accepted list: its record and its files by path."""

    record: ListRecord
    files: dict[str, EngineList]


class Store:
    """An open database. Every method raises StoreError where it cannot do its job.

    Attributes:
        connection: The SQLite connection; fault injection sets its limits.
    """

    def __init__(self, connection: sqlite3.Connection, path: str, max_lists: int) -> None:
        self.connection, self.path, self._max_lists = connection, path, max_lists

    def save(
        self,
        source: str,
        revision: int,
        accepted_at_ms: int,
        reason: str,
        files: Mapping[str, EngineList],
        zones: list[str],
        machine_kinds: list[str],
    ) -> None:
        """Saves a list, completely or not at all, and deletes the oldest ones past the bounds."""
        body = list_codec.pack(files, zones, machine_kinds)
        engine_count = sum(len(file.engines) for file in files.values())
        row = (source, revision, accepted_at_ms, reason, engine_count, list_codec.digest(body), body)
        with self._errors(), self.connection as transaction:
            transaction.execute("BEGIN IMMEDIATE")
            transaction.execute(INSERT_LIST, row)
            transaction.execute(
                DELETE_OLD_LISTS, (source, source, self._max_lists, MAX_BYTES_PER_SOURCE, source)
            )

    def load(
        self,
        source: str,
        zones: Mapping[str, int],
        machine_kinds: Mapping[str, int],
        revision: int | None = None,
    ) -> StoredList | None:
        """A source's last list, or its last of a revision; None where there is none.

        One that is damaged is passed over for the one before it; raises StoreError if none is left.
        """
        first_problem: StoreError | None = None
        with self._errors():
            rows = self.connection.execute(SELECT_LISTS, (source, revision, revision))
            for *columns, digest, body in rows:
                record = ListRecord(*columns)
                try:
                    return StoredList(record, _unpack(body, digest, zones, machine_kinds))
                except ListFileError as error:
                    problem = f"{self.path}: {source}, revision {record.revision}: {error}"
                    first_problem = first_problem or StoreError(problem)
        if first_problem is not None:
            raise first_problem
        return None

    def history(self, limit: int) -> list[ListRecord]:
        """The accepted lists, the newest first."""
        with self._errors():
            return [ListRecord(*row) for row in self.connection.execute(SELECT_HISTORY, (limit,))]

    def pins(self) -> dict[str, int]:
        """The pinned revision of each source that has one."""
        with self._errors():
            return dict(self.connection.execute("SELECT source, revision FROM pins").fetchall())

    def pin(self, source: str, revision: int | None) -> None:
        """Remembers over restarts that a revision is pinned, or, with None, that none is."""
        with self._errors(), self.connection as transaction:
            if revision is None:
                transaction.execute("DELETE FROM pins WHERE source = ?", (source,))
            else:
                transaction.execute("INSERT OR REPLACE INTO pins VALUES (?, ?)", (source, revision))

    def close(self) -> None:
        """Closes the database."""
        with contextlib.suppress(sqlite3.Error):
            self.connection.close()

    @contextlib.contextmanager
    def _errors(self) -> Iterator[None]:
        try:
            yield
        except sqlite3.Error as error:
            raise StoreError(f"{self.path}: {error}") from error


def _unpack(
    body: object, digest: str, zones: Mapping[str, int], machine_kinds: Mapping[str, int]
) -> dict[str, EngineList]:
    if not isinstance(body, bytes) or list_codec.digest(body) != digest:
        raise ListFileError("its checksum is another")
    return list_codec.unpack(body, zones, machine_kinds)


def open_store(folder: str, max_lists: int) -> Store:
    """Opens or creates the database in a folder; raises StoreError.

    A file that is not ours is left alone. One of ours that is damaged is renamed, and a new one is created at
    the next start.
    """
    path = os.path.join(folder, FILE_NAME)
    try:
        os.makedirs(folder, mode=0o700, exist_ok=True)
        is_ours = _check_owner(path)
        connection = sqlite3.connect(
            path, timeout=BUSY_TIMEOUT_S, check_same_thread=False, isolation_level=None
        )
    except (OSError, sqlite3.Error) as error:
        raise StoreError(f"{path}: {error}") from error
    try:
        _prepare(connection)
    except sqlite3.NotSupportedError as error:
        connection.close()
        raise StoreError(f"{path}: {error}") from error
    except sqlite3.DatabaseError as error:
        connection.close()
        damaged = is_ours and not isinstance(error, sqlite3.OperationalError)
        outcome = _set_aside(path) if damaged else ""
        raise StoreError(f"{path}: {str(error).splitlines()[0]}{outcome}") from error
    return Store(connection, path, max_lists)


def _check_owner(path: str) -> bool:
    """Whether a file that is there is ours; raises StoreError where it is somebody else's."""
    if not os.path.exists(path) or not os.path.getsize(path):
        return False
    with open(path, "rb") as file:
        header = file.read(APPLICATION_ID_FIELD.stop)
    if not header.startswith(SQLITE_HEADER):
        raise StoreError(f"{path}: not a file of ours, expected SQLite; left alone")
    if int.from_bytes(header[APPLICATION_ID_FIELD], "big") != APPLICATION_ID:
        raise StoreError(
            f"{path}: another program's, expected application id {APPLICATION_ID:#x}; left alone"
        )
    return True


def _prepare(connection: sqlite3.Connection) -> None:
    """Creates the tables where there are none, and checks the file."""
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise sqlite3.NotSupportedError(f"form {version}, expected {SCHEMA_VERSION}; left alone")
    # A rollback journal: two files at most, and a transaction that was acknowledged is on disk.
    connection.execute("PRAGMA journal_mode=DELETE")
    connection.execute("PRAGMA synchronous=FULL")
    if version == 0:
        connection.executescript(
            f"BEGIN; PRAGMA application_id={APPLICATION_ID}; PRAGMA user_version={SCHEMA_VERSION};"
            f"{TABLES} COMMIT;"
        )
    problem = connection.execute("PRAGMA quick_check(1)").fetchone()[0]
    if problem != "ok":
        raise sqlite3.DatabaseError(problem)


def _set_aside(path: str) -> str:
    """Renames a damaged file; what became of that, for the error message."""
    try:
        os.replace(path, path + ".damaged")
    except OSError:
        return ""
    return f"; set aside as {FILE_NAME}.damaged"
