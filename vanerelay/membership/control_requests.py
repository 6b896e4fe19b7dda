"""Answers the operators' requests to a running instance."""

from __future__ import annotations

from collections.abc import Callable, Generator, Iterator, Mapping
from typing import Any

from twisted.internet.defer import Deferred, inlineCallbacks

from vanerelay.clock import Clock
from vanerelay.engine_list import ListedEngine
from vanerelay.interface import SECOND
from vanerelay.membership import list_codec
from vanerelay.membership.control_protocol import Operation, Request
from vanerelay.membership.control_socket import Reply, RequestHandler, Row
from vanerelay.membership.errors import RequestError, StoreError
from vanerelay.membership.files import WatchedFiles
from vanerelay.membership.list_acceptance import Acceptance
from vanerelay.membership.list_archive import ListArchive
from vanerelay.membership.list_codec import EngineList
from vanerelay.membership.merged_view import MergedView, ViewEntry
from vanerelay.membership.sources import Source
from vanerelay.membership.store import ListRecord

TICKS_PER_MILLISECOND = 10

FilesHandler = Callable[[WatchedFiles, Request], "Reply | Deferred[Reply]"]


class ControlRequests:
    """The operations of the control socket. The keys of rows and heads are printed and stay as they are."""

    def __init__(
        self,
        clock: Clock,
        view: MergedView,
        files: Mapping[str, WatchedFiles],
        archive: ListArchive,
        zones: list[str],
        machine_kinds: list[str],
    ) -> None:
        self._clock, self._view, self._files, self._archive = clock, view, files, archive
        self._zones, self._machine_kinds = zones, machine_kinds
        self._handlers: dict[Operation, RequestHandler] = {
            Operation.SHOW: self._show,
            Operation.CHANGES: self._changes,
            Operation.HISTORY: self._history,
            Operation.PROXIES: self._no_proxies,
        }
        self._files_handlers: dict[Operation, FilesHandler] = {
            Operation.LIST: self._list,
            Operation.PIN: self._pin,
            Operation.UNPIN: self._unpin,
            Operation.CONFIRM: self._confirm,
        }

    def set_handler(self, operation: Operation, handler: RequestHandler) -> None:
        """Has another subsystem answer an operation."""
        self._handlers[operation] = handler

    def handle(self, request: Request) -> Reply | Deferred[Reply]:
        """Answers a request; raises, or fails with, a MembershipError."""
        handler = self._handlers.get(request.operation)
        if handler is not None:
            return handler(request)
        return self._files_handlers[request.operation](self._requested_files(request), request)

    def _requested_files(self, request: Request) -> WatchedFiles:
        """The source that a request names, or the only one."""
        name = request.source or next(iter(self._files), "")
        ambiguous = not request.source and len(self._files) > 1
        if name not in self._files or ambiguous:
            known = ", ".join(self._files) or "none"
            raise RequestError(f"source {request.source!r}, expected one of {known}")
        return self._files[name]

    # Reports.

    def _show(self, request: Request) -> Reply:
        if request.engine:
            return Reply(iter([self._explanation_row(request.engine)]))
        entries = list(self._view.entries.values())[: request.limit]
        return Reply(
            (self._entry_row(entry) for entry in entries),
            engines=len(self._view.entries),
            sources=[self._source_row(source) for source in self._view.sources],
            store=self._archive.problem,
        )

    def _changes(self, request: Request) -> Reply:
        latest = list(self._view.history)[-request.limit :]
        return Reply(self._entry_row(entry) for entry in latest)

    def _no_proxies(self, _: Request) -> Reply:
        raise RequestError("no control service, expected an xds block in the options")

    @inlineCallbacks
    def _history(self, request: Request) -> Generator[Deferred[Any], Any, Reply]:
        records: list[ListRecord] = yield self._archive.history(request.limit)
        return Reply(_record_rows(records))

    @inlineCallbacks
    def _list(self, files: WatchedFiles, request: Request) -> Generator[Deferred[Any], Any, Reply]:
        """An accepted list as it was written: the present one, or an earlier one."""
        lists: Mapping[str, EngineList]
        if request.revision is None:
            lists, revision = dict(files.acceptance.files), files.acceptance.revision
        else:
            stored = yield self._archive.load(files.name, request.revision)
            lists, revision = stored.files, request.revision
        engines = [engine for one in lists.values() for engine in one.engines.values()]
        return Reply((self._engine_row(engine) for engine in engines), revision=revision)

    # Orders.

    @inlineCallbacks
    def _pin(self, files: WatchedFiles, request: Request) -> Generator[Deferred[Any], Any, Reply]:
        if request.revision is None:
            raise RequestError("no revision, expected one out of the history")
        stored = yield self._archive.load(files.name, request.revision)
        yield files.pin(request.revision, stored.files)
        yield self._remember_pin(files.name, request.revision)
        return Reply(source=files.name, pinned=request.revision)

    @inlineCallbacks
    def _unpin(self, files: WatchedFiles, _: Request) -> Generator[Deferred[Any], Any, Reply]:
        yield files.unpin()
        yield self._remember_pin(files.name, None)
        return Reply(source=files.name, pinned=None)

    @inlineCallbacks
    def _remember_pin(self, source: str, revision: int | None) -> Generator[Deferred[Any], Any, None]:
        try:
            yield self._archive.remember_pin(source, revision)
        except StoreError as error:
            raise RequestError(f"in force, but not remembered over a restart: {error}") from error

    @inlineCallbacks
    def _confirm(self, files: WatchedFiles, _: Request) -> Generator[Deferred[Any], Any, Reply]:
        result = yield files.confirm()
        if result.acceptance is not Acceptance.ACCEPTED:
            raise RequestError(f"{files.name}: {result.reason}")
        return Reply(source=files.name, revision=result.revision)

    # Rows.

    def _engine_row(self, engine: ListedEngine) -> dict[str, object]:
        return list_codec.to_row(engine, self._zones, self._machine_kinds)

    def _entry_row(self, entry: ViewEntry) -> Row:
        return {
            **self._engine_row(entry.engine),
            "source": entry.reason.source,
            "revision": entry.reason.revision,
            "why": entry.reason.text,
            "at_ms": entry.changed_at // TICKS_PER_MILLISECOND,
        }

    def _explanation_row(self, name: str) -> Row:
        explanation = self._view.explain(name)
        engine = explanation.engine
        return {
            "id": name,
            "engine": None if engine is None else self._engine_row(engine),
            "source": explanation.reason.source,
            "revision": explanation.reason.revision,
            "why": explanation.reason.text,
            "says": explanation.by_source,
        }

    def _source_row(self, source: Source) -> Row:
        row: Row = {
            "source": source.config.name,
            "precedence": source.config.precedence,
            "revision": source.revision,
            "engines": len(source.engines),
            "taken_off": len(source.removals),
            "told": source.has_reported,
            "stale": source.is_stale,
            "heard_s": self._seconds_since(source.heard_at),
        }
        files = self._files.get(source.config.name)
        return row if files is None else row | self._files_columns(files)

    def _files_columns(self, files: WatchedFiles) -> Row:
        pending = files.acceptance.pending
        return {
            "trouble": files.acceptance.problems,
            "pinned": files.acceptance.pinned_revision,
            "held_s": None if pending is None else self._seconds_since(pending.since),
            "held_lost": None if pending is None else pending.lost_engines,
            "counts": {acceptance.value: count for acceptance, count in files.counts.items()},
        }

    def _seconds_since(self, moment: int) -> float:
        return round((self._clock.now() - moment) / SECOND, 1)


def _record_rows(records: list[ListRecord]) -> Iterator[Row]:
    for record in records:
        yield {
            "number": record.number,
            "source": record.source,
            "revision": record.revision,
            "at_ms": record.accepted_at_ms,
            "why": record.reason,
            "engines": record.engine_count,
        }
