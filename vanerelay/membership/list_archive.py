"""The store of accepted lists, used off the event loop, one job at a time."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredLock, fail
from twisted.internet.threads import deferToThread
from twisted.python.failure import Failure

from vanerelay.membership.errors import RequestError, StoreError
from vanerelay.membership.list_codec import EngineList
from vanerelay.membership.store import ListRecord, Store, StoredList

NO_STORE = "no lists are kept, expected a store block in the options"

log = structlog.get_logger()


class ListArchive:
    """Saves accepted lists and answers for them; without a store it saves nothing.

    Attributes:
        problem: Why the last list could not be saved; empty if it was.
    """

    def __init__(
        self, store: Store | None, zones: Mapping[str, int], machine_kinds: Mapping[str, int]
    ) -> None:
        self._store, self._zones, self._machine_kinds = store, zones, machine_kinds
        self._lock = DeferredLock()
        self.problem = ""

    def save(self, source: str, revision: int, reason: str, files: Mapping[str, EngineList]) -> None:
        """Saves a list that was accepted now. A failure is logged; the list is in force all the same."""
        store = self._store
        if store is None:
            return
        accepted_at_ms = int(time.time() * 1000)
        names = list(self._zones), list(self._machine_kinds)
        saving: Deferred[Any] = self._lock.run(
            lambda: deferToThread(store.save, source, revision, accepted_at_ms, reason, files, *names)
        )
        saving.addCallbacks(lambda _: self._note_outcome(""), self._save_failed)
        saving.addErrback(lambda failure: log.error("saving a list failed", error=failure.getTraceback()))

    def history(self, limit: int) -> Deferred[list[ListRecord]]:
        """The accepted lists, the newest first. Fails with a MembershipError."""
        store = self._store
        if store is None:
            return fail(RequestError(NO_STORE))
        return self._lock.run(deferToThread, store.history, limit)

    def load(self, source: str, revision: int) -> Deferred[StoredList]:
        """The last list of a source under a revision. Fails with a MembershipError."""
        store = self._store
        if store is None:
            return fail(RequestError(NO_STORE))

        def check(found: StoredList | None) -> StoredList:
            if found is None:
                raise RequestError(f"revision {revision} of {source} is not kept")
            return found

        loading: Deferred[StoredList | None] = self._lock.run(
            deferToThread, store.load, source, self._zones, self._machine_kinds, revision
        )
        return loading.addCallback(check)

    def remember_pin(self, source: str, revision: int | None) -> Deferred[None]:
        """Remembers over restarts what is pinned. Fails with a StoreError."""
        store = self._store
        if store is None:
            done: Deferred[None] = Deferred()
            done.callback(None)
            return done
        return self._lock.run(deferToThread, store.pin, source, revision)

    def close(self) -> None:
        """Closes the store."""
        if self._store is not None:
            self._store.close()

    def _save_failed(self, failure: Failure) -> None:
        failure.trap(StoreError)  # type: ignore[no-untyped-call]
        self._note_outcome(str(failure.value))

    def _note_outcome(self, problem: str) -> None:
        """Logs a problem once, and its end."""
        if problem != self.problem:
            if problem:
                log.warning("list not saved, it is in force all the same", why=problem)
            else:
                log.info("lists are saved again")
        self.problem = problem
