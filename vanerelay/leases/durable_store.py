"""A store that survives crashes: records under a space and a key, on disk before their Deferred fires.

A thin driver of SQLite with one thread; records that arrive during a commit are written by the next one. It
is independent of leases. The file, the table and its columns keep their names from the first release.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.python.threadpool import ThreadPool

from vanerelay.leases.errors import StoreError

__all__ = ["DurableStore", "StoreError"]

FILE_NAME = "promises.db"
SCHEMA = "create table if not exists kept (space text, key text, body blob, primary key (space, key))"
MAX_PENDING_RECORDS = 10_000
"""Limit of records that wait for a commit. Further records are refused, as the disk can't keep up."""

log = structlog.get_logger()

PendingRecords = dict[tuple[str, str], bytes | None]
"""Records to write, by space and key; None deletes a record."""


class DurableStore:
    """The store in one folder."""

    def __init__(self, reactor: Any, folder: str) -> None:
        """Opens or creates the store.

        Raises:
            StoreError: the folder can't be used.
        """
        self._reactor, self._path = reactor, Path(folder) / FILE_NAME
        self._pending: PendingRecords = {}
        self._waiting = list[Deferred[None]]()
        self._is_committing = self._is_closed = False
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._connection = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
            self._connection.execute("pragma journal_mode = wal")
            self._connection.execute("pragma synchronous = full")
            self._connection.execute(SCHEMA)
            self._connection.execute("select count(*) from kept").fetchone()
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{self._path}: {error}") from error
        self._pool = ThreadPool(0, 1, "disk")
        self._pool.start()

    def load(self, space: str) -> dict[str, bytes]:
        """Returns all records of a space, by key.

        Raises:
            StoreError: the records can't be read.
        """
        query = "select key, body from kept where space = ?"
        try:
            rows = self._connection.execute(query, (space,)).fetchall()
        except sqlite3.Error as error:
            raise StoreError(f"{self._path}: {error}") from error
        return {str(key): bytes(body) for key, body in rows}

    def read_operator_file(self, name: str) -> str:
        """Returns the text of an operator's file in the store's folder; empty where there is none."""
        try:
            return self._path.with_name(name).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            return ""

    def remove_operator_file(self, name: str) -> None:
        """Removes an operator's file after its content was applied."""
        self._path.with_name(name).unlink(missing_ok=True)

    def put(self, space: str, records: Mapping[str, bytes | None]) -> Deferred[None]:
        """Writes records by key; None deletes a record.

        Returns:
            A Deferred that fires once these records and all that were put before are on disk, and fails with
            StoreError if they can't be written. With no records it waits for those that were put before.
        """
        done: Deferred[None] = Deferred()
        if self._is_closed or len(self._pending) + len(records) > MAX_PENDING_RECORDS:
            reason = "closed" if self._is_closed else "too much waits for it"
            done.errback(StoreError(f"{self._path}: {reason}"))
            return done
        self._pending |= {(space, key): body for key, body in records.items()}
        self._waiting.append(done)
        if not self._is_committing:
            self._commit()
        return done

    def _commit(self) -> None:
        if not self._waiting:
            return
        records, self._pending = self._pending, {}
        waiting, self._waiting = self._waiting, []
        self._is_committing = True

        def committed(error: StoreError | None) -> None:
            self._is_committing = False
            for done in waiting:
                if error is None:
                    done.callback(None)
                else:
                    done.errback(error)
            self._commit()

        if not records:
            committed(None)
            return
        self._pool.callInThread(self._write, records, committed)

    def _write(self, records: PendingRecords, committed: Callable[[StoreError | None], None]) -> None:
        """Commits the records; runs in the pool's thread."""
        failure = None
        try:
            self._connection.execute("begin immediate")
            for (space, key), body in records.items():
                self._write_record(space, key, body)
            self._connection.execute("commit")
        except sqlite3.Error as error:
            failure = StoreError(f"{self._path}: {error}")
            self._roll_back()
        self._reactor.callFromThread(committed, failure)

    def _write_record(self, space: str, key: str, body: bytes | None) -> None:
        if body is None:
            self._connection.execute("delete from kept where space = ? and key = ?", (space, key))
        else:
            self._connection.execute("insert or replace into kept values (?, ?, ?)", (space, key, body))

    def _roll_back(self) -> None:
        try:
            if self._connection.in_transaction:
                self._connection.execute("rollback")
        except sqlite3.Error as error:
            log.warning("cannot roll back a failed commit to the store", error=str(error))

    def close(self) -> None:
        """Stops the thread and closes the file. May be called more than once."""
        if not self._is_closed:
            self._is_closed = True
            self._pool.stop()
            self._connection.close()
