"""The controller's record: a SQLite file in which each event is whole or not there, and on disk before the
deed."""

from __future__ import annotations

import sqlite3
from typing import Any

import msgspec

from vanerelay.rollout.stage_machine import Event

SCHEMA = """
create table if not exists change (id integer primary key, name text, plan text, fence integer, baseline
blob); create table if not exists event (id integer primary key, change integer, body blob);
create table if not exists word (id integer primary key, change integer, what text, taken integer default 0);
"""
WORDS = ("pause", "resume", "back")


class ChangeLogError(Exception):
    """The record could not be read or written; why, in one line."""


class ChangeLog:
    """All changes that this file knows; the last one is at hand. Raises Unkept."""

    def __init__(self, path: str, make: bool = True) -> None:
        self.path = path
        try:
            where = f"file:{path}?mode={'rwc' if make else 'rw'}"
            self._base = sqlite3.connect(where, uri=True, isolation_level=None, timeout=2.0)
            self._base.execute("pragma journal_mode = delete")
            self._base.execute("pragma synchronous = full")
            self._base.executescript(SCHEMA)
            row = self._base.execute("select id, name, fence from change order by id desc limit 1").fetchone()
        except sqlite3.Error as fault:
            raise ChangeLogError(f"record {path}: {fault}") from None
        self.change, self.name, self.fence = int(row[0]) if row else 0, str(row[1]) if row else "", 0
        self.fence = int(row[2]) if row else 0

    def begin(self, name: str, plan: str, fence: int) -> None:
        """Another change."""
        cursor = self._do("insert into change (name, plan, fence) values (?, ?, ?)", name, plan, fence)
        self.change, self.name, self.fence = int(cursor.lastrowid or 0), name, fence

    def claim(self, fence: int) -> None:
        self._do("update change set fence = ? where id = ?", fence, self.change)
        self.fence = fence

    def add(self, event: Event) -> None:
        """On disk once this returns."""
        self._do("insert into event (change, body) values (?, ?)", self.change, msgspec.json.encode(event))

    def events(self, change: int | None = None) -> list[Event]:
        rows = self._do("select body from event where change = ? order by id", change or self.change)
        return [msgspec.json.decode(row[0], type=Event) for row in rows]

    def plan(self) -> str:
        row = self._do("select plan from change where id = ?", self.change).fetchone()
        return str(row[0]) if row is not None else ""

    def keep_baseline(self, told: bytes) -> None:
        self._do("update change set baseline = ? where id = ?", told, self.change)

    def baseline(self) -> bytes:
        row = self._do("select baseline from change where id = ?", self.change).fetchone()
        return bytes(row[0] or b"") if row is not None else b""

    def changes(self) -> list[tuple[int, str, int]]:
        return list(self._do("select id, name, fence from change order by id"))

    # Words of operators to the controller that runs.

    def say(self, what: str) -> None:
        self._do("insert into word (change, what) values (?, ?)", self.change, what)

    def said(self) -> list[str]:
        """What was said since this was asked last."""
        rows = list(
            self._do("select id, what from word where change = ? and taken = 0 order by id", self.change)
        )
        for number, _ in rows:
            self._do("update word set taken = 1 where id = ?", number)
        return [what for _, what in rows]

    def _do(self, text: str, *values: Any) -> sqlite3.Cursor:
        try:
            return self._base.execute(text, values)
        except sqlite3.Error as fault:
            raise ChangeLogError(f"record {self.path}: {fault}") from None

    def close(self) -> None:
        self._base.close()
