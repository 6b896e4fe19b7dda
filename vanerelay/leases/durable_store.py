"""A store that survives crashes: records under a space and a key, whole or not there, on disk before their
Deferred fires. A thin driver on SQLite; what waits while one commit runs goes with the next.

It knows nothing of leases: whatever managers promise each other can lie here."""

from __future__ import annotations

import sqlite3
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import structlog
from twisted.internet.defer import Deferred
from twisted.python.threadpool import ThreadPool

FILE = "promises.db"
SCHEMA = "create table if not exists kept (space text, key text, body blob, primary key (space, key))"
WAITING_MOST = 10_000  # records that wait for a commit; past it nothing further is kept, nor said

log = structlog.get_logger()


class StoreError(Exception):
    """It could not be kept; why, in one line."""


Rows = dict[tuple[str, str], bytes | None]


class DurableStore:
    """Raises Unkept where the folder can't be used."""

    def __init__(self, reactor: Any, folder: str) -> None:
        self._reactor, self._path = reactor, Path(folder) / FILE
        self._waiting: Rows = {}
        self._calls, self._busy = list[Deferred[None]](), False
        self._closed = False
        self.commits = 0
        try:
            self._path.parent.mkdir(parents=True, exist_ok=True)
            self._base = sqlite3.connect(self._path, isolation_level=None, check_same_thread=False)
            self._base.execute("pragma journal_mode = wal")
            self._base.execute("pragma synchronous = full")
            self._base.execute(SCHEMA)
            self._base.execute("select count(*) from kept").fetchone()
        except (OSError, sqlite3.Error) as fault:
            raise StoreError(f"{self._path}: {fault}") from None
        self._pool = ThreadPool(0, 1, "disk")
        self._pool.start()

    def load(self, space: str) -> dict[str, bytes]:
        """All of a space. Raises Unkept."""
        try:
            rows = self._base.execute("select key, body from kept where space = ?", (space,)).fetchall()
        except sqlite3.Error as fault:
            raise StoreError(f"{self._path}: {fault}") from None
        return {str(key): bytes(body) for key, body in rows}

    def word(self, name: str) -> str:
        """A word of an operator, in a file beside the records; empty where there is none."""
        try:
            return self._path.with_name(name).read_text(encoding="utf-8").strip()
        except (OSError, UnicodeDecodeError):
            return ""

    def used(self, name: str) -> None:
        """The word counts no more."""
        self._path.with_name(name).unlink(missing_ok=True)

    def put(self, space: str, records: Mapping[str, bytes | None]) -> Deferred[None]:
        """Fires once these, and all put before them, are on disk; None takes a record away. Fails with
        Unkept. Without records: once all put before are."""
        done: Deferred[None] = Deferred()
        if self._closed or len(self._waiting) + len(records) > WAITING_MOST:
            done.errback(
                StoreError(f"{self._path}: " + ("closed" if self._closed else "too much waits for it"))
            )
            return done
        self._waiting |= {(space, key): body for key, body in records.items()}
        self._calls.append(done)
        if not self._busy:
            self._commit()
        return done

    def _commit(self) -> None:
        if not self._calls:
            return
        rows, self._waiting = self._waiting, {}
        calls, self._calls = self._calls, []
        self._busy = True

        def ended(fault: StoreError | None) -> None:
            self._busy = False
            for call in calls:
                (call.callback(None) if fault is None else call.errback(fault))
            self._commit()

        if not rows:
            ended(None)
            return
        self.commits += 1
        self._pool.callInThread(self._write, rows, ended)

    def _write(self, rows: Rows, ended: Any) -> None:
        """In the thread."""
        fault = None
        try:
            self._base.execute("begin immediate")
            for (space, key), body in rows.items():
                if body is None:
                    self._base.execute("delete from kept where space = ? and key = ?", (space, key))
                else:
                    self._base.execute("insert or replace into kept values (?, ?, ?)", (space, key, body))
            self._base.execute("commit")
        except sqlite3.Error as wrong:
            fault = StoreError(f"{self._path}: {wrong}")
            try:
                if self._base.in_transaction:
                    self._base.execute("rollback")
            except sqlite3.Error as again:
                log.warning("a commit could not be taken back", why=str(again))
        self._reactor.callFromThread(ended, fault)

    def close(self) -> None:
        if not self._closed:
            self._closed = True
            self._pool.stop()
            self._base.close()
