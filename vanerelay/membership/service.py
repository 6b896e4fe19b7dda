"""Joins sources, view, store and console, between the reactor and the one way in for lists. Thin.

The view's portions go to `listed` one a pass of the loop; everything slow is done in worker threads."""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Generator, Iterator, Mapping
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredLock, inlineCallbacks
from twisted.internet.threads import deferToThread

from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange, ListedEngine
from vanerelay.interface import SECOND, EngineState
from vanerelay.membership import control_socket, list_codec
from vanerelay.membership.config import MembershipConfig
from vanerelay.membership.control_protocol import Request, Wrong
from vanerelay.membership.control_socket import Answer
from vanerelay.membership.file_stability import TURNS_S
from vanerelay.membership.files import WatchedFiles
from vanerelay.membership.list_acceptance import Delta, Kind
from vanerelay.membership.list_codec import EngineList, Unusable
from vanerelay.membership.merged_view import Shown, View
from vanerelay.membership.store import Loaded, Store, open_store

log = structlog.get_logger()


class Membership:
    """The list of engines out of all its sources. `listed` is handed each portion as a change."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        parts: MembershipConfig,
        locations: Mapping[str, int],
        kinds: Mapping[str, int],
        listed: Callable[[EngineListChange], None],
        large: Callable[[], None],
    ) -> None:
        """`large`: called once a change that took more than one portion is in force."""
        self._reactor, self._clock, self._parts, self._listed = reactor, clock, parts, listed
        self._large, self._in_a_row = large, 0  # portions since the view stood still
        self._locations, self._kinds = locations, kinds
        self._names = list(locations), list(kinds)
        standings = [parts.feed, *(one.standing for one in parts.watched)]
        self.view = View(clock.now(), standings, parts.flapping)
        self._feed: dict[str, ListedEngine] = {}
        self._portions, self._going, self._timer = 0, False, None  # type: int, bool, Any
        self._store: Store | None = None
        self._storing = DeferredLock()
        self._store_says = ""
        self._desk: Any = None
        self.more: dict[str, Callable[[Request], Answer]] = {}  # what other subsystems answer, by op
        self.files = {one.standing.name: self._watched(one) for one in parts.watched}
        if parts.kept is not None:
            self._restore(open_store(parts.kept.folder, parts.kept.keep))

    def _watched(self, one: Any) -> WatchedFiles:
        name = one.standing.name
        return WatchedFiles(
            self._reactor,
            self._clock,
            name,
            one.paths,
            one.checks,
            one.stillness,
            self._locations,
            self._kinds,
            lambda delta, why: self._told(name, delta, why),
            lambda: self._alive(name),
        )

    def _restore(self, opened: Store | Unusable) -> None:
        """What was last good, before anything is served: it stands until the files tell."""
        pins: dict[str, int] | Unusable = {}
        if isinstance(opened, Unusable):
            log.warning("lists are not kept", why=opened.why)
            return
        self._store, pins = opened, opened.pins()
        for name, files in self.files.items():
            found = opened.load(name, self._locations, self._kinds)
            if isinstance(found, Unusable):
                log.warning("kept list not used", why=found.why)
            if isinstance(found, Loaded):
                delta = files.lists.restore(found.files, found.record.revision)
                self._tell(name, delta)
                age = max(0, int(time.time()) - found.record.at_ms // 1000)
                log.info(
                    "kept list in force until the files tell",
                    source=name,
                    revision=found.record.revision,
                    age_s=age,
                )
            pinned = pins.get(name) if isinstance(pins, dict) else None
            if pinned is not None:
                held = opened.load(name, self._locations, self._kinds, pinned)
                if isinstance(held, Loaded):
                    self._tell(name, files.lists.pin(pinned, held.files))
                else:
                    log.warning("pinned list not used", source=name, revision=pinned)

    def start(self) -> str | None:
        """Begins to watch and to listen; why the console cannot, if so."""
        wrong = None
        if self._parts.console:
            listening = control_socket.listen(self._reactor, self._parts.console, self._answers)
            if isinstance(listening, str):
                wrong = listening
            else:
                self._desk = listening
        sys.setswitchinterval(TURNS_S)
        for files in self.files.values():
            files.start()
        self._go()
        return wrong

    @property
    def busy(self) -> bool:
        """Whether a change is on its way into force."""
        return self._going

    def stop(self) -> None:
        for files in self.files.values():
            files.stop()
        if self._desk is not None:
            self._desk.stopListening()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._store is not None:
            self._store.close()

    # What sources bring.

    def fed(self, change: EngineListChange) -> None:
        """A change out of the control feed."""
        feed, names = dict() if change.complete else self._feed.copy(), dict[str, None]()
        withdrawn = set(self._feed) - {m.name for m in change.engines} if change.complete else set()
        for member in change.engines:
            known = self._feed.get(member.name)
            if member.state is EngineState.GONE:
                feed.pop(member.name, None)
                withdrawn.add(member.name)
            else:
                feed[member.name] = member
                withdrawn.discard(member.name)
                if known != member:
                    names[member.name] = None
        self._feed = feed
        self.view.tell(
            "feed", self._clock.now(), change.number, feed, [n for n in names if n in feed], withdrawn
        )
        self._go()

    def feed_answers(self) -> None:
        """The feed has answered, with news or without."""
        self._alive("feed")

    def _alive(self, name: str) -> None:
        self.view.heard(name, self._clock.now())
        self._go()

    def _told(self, name: str, delta: Delta, why: str) -> None:
        self._tell(name, delta)
        lists = self.files[name].lists
        if lists.pinned is None:
            self._save(name, lists.revision, why, dict(lists.files))
        self._go()

    def _tell(self, name: str, delta: Delta) -> None:
        lists = self.files[name].lists
        revision = lists.revision if lists.pinned is None else lists.pinned
        self.view.tell(name, self._clock.now(), revision, lists.in_force, delta.changed, delta.withdrawn)

    # What goes out.

    def _go(self) -> None:
        if not self._going:
            self._step()

    def _step(self) -> None:
        """One portion; the next after the loop has looked at its sockets."""
        now = self._clock.now()
        self.view.look(now)
        portion, shown = self.view.step(now), self.view.open(now)
        self._going = shown and self.view.pending()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        due = self.view.due()
        if self._going:  # before anything that may fail
            self._timer = self._reactor.callLater(0, self._step)
        elif due is not None:
            self._timer = self._reactor.callLater(max(10, due - now) / SECOND, self._step)
        if portion or shown and not self._portions:
            self._portions += 1
            self._listed(EngineListChange(self._portions, False, [one.member for one in portion]))
        self._in_a_row += 1 if portion else 0
        if not self._going:
            if self._in_a_row > 1:
                self._large()
            self._in_a_row = 0

    # What is kept.

    def _save(self, name: str, revision: int, why: str, files: dict[str, EngineList]) -> None:
        store = self._store
        if store is None:
            return
        at_ms = int(time.time() * 1000)
        going: Deferred[Unusable | None] = self._storing.run(
            lambda: deferToThread(store.save, name, revision, at_ms, why, files, *self._names)
        )
        going.addCallback(self._kept)
        going.addErrback(lambda fault: log.error("keeping a list failed", fault=fault.getTraceback()))

    def _kept(self, wrong: Unusable | None) -> None:
        """Once per state."""
        why = "" if wrong is None else wrong.why
        if why != self._store_says:
            log.warning("list not kept, it is in force all the same", why=why) if why else log.info(
                "kept again"
            )
        self._store_says = why

    # What operators ask.

    def _answers(self, asked: Request) -> Any:
        if asked.op == "show":
            return self._show(asked)
        if asked.op in self.more:
            return self.more[asked.op](asked)
        if asked.op == "proxies":
            return Wrong("no control service, expected an xds block in the options")
        if asked.op == "changes":
            latest = list(self.view.history)[-asked.most :]
            return Answer(self._row(shown) for shown in latest)
        name = asked.source or next(iter(self.files), "")
        if asked.op == "history":
            return self._history(asked)
        if name not in self.files or not asked.source and len(self.files) > 1:
            return Wrong(f"source {asked.source!r}, expected one of {', '.join(self.files) or 'none'}")
        return getattr(self, f"_{asked.op}")(name, asked)

    def _row(self, shown: Shown) -> dict[str, Any]:
        reason = shown.reason
        return {
            **list_codec.told(shown.member, *self._names),
            "source": reason.source,
            "revision": reason.revision,
            "why": reason.why,
            "at_ms": shown.at // 10,
        }

    def _show(self, asked: Request) -> Answer:
        if asked.name:
            member, reason, words = self.view.explain(self._clock.now(), asked.name)
            shown = None if member is None else list_codec.told(member, *self._names)
            return Answer(
                iter(
                    [
                        {
                            "id": asked.name,
                            "engine": shown,
                            "source": reason.source,
                            "revision": reason.revision,
                            "why": reason.why,
                            "says": words,
                        }
                    ]
                )
            )
        rows = (self._row(shown) for shown in list(self.view.shown.values())[: asked.most])
        return Answer(rows, engines=len(self.view.shown), sources=self._sources(), store=self._store_says)

    def _sources(self) -> list[dict[str, Any]]:
        now, told = self._clock.now(), []
        for source in self.view.sources.values():
            files = self.files.get(source.standing.name)
            row: dict[str, Any] = {
                "source": source.standing.name,
                "precedence": source.standing.precedence,
                "revision": source.revision,
                "engines": len(source.members),
                "taken_off": len(source.gone),
                "told": source.told,
                "stale": source.stale,
                "heard_s": round((now - source.heard_at) / SECOND, 1),
            }
            if files is not None:
                held = files.lists.held()
                row |= {
                    "trouble": files.lists.trouble,
                    "pinned": files.lists.pinned,
                    "held_s": None if held is None else round((now - held[0]) / SECOND, 1),
                    "held_lost": None if held is None else held[1],
                    "counts": {kind.value: count for kind, count in files.counts.items()},
                }
            told.append(row)
        return told

    @inlineCallbacks
    def _history(self, asked: Request) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        if self._store is None:
            return Wrong("no lists are kept, expected a store block in the options")
        found = yield self._storing.run(deferToThread, self._store.history, asked.most)
        if isinstance(found, Unusable):
            return Wrong(found.why)
        return Answer(_history_rows(found))

    @inlineCallbacks
    def _list(self, name: str, asked: Request) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        """An accepted list as it was told: the one in force, or an earlier one."""
        if asked.revision is None:
            files = dict(self.files[name].lists.files)
        else:
            found = yield self._load(name, asked.revision)
            if isinstance(found, Wrong):
                return found
            files = found.files
        members = [member for one in files.values() for member in one.members.values()]
        revision = self.files[name].lists.revision if asked.revision is None else asked.revision
        return Answer((list_codec.told(member, *self._names) for member in members), revision=revision)

    @inlineCallbacks
    def _load(self, name: str, revision: int) -> Generator[Deferred[Any], Any, Loaded | Wrong]:
        if self._store is None:
            return Wrong("no lists are kept, expected a store block in the options")
        found = yield self._storing.run(
            deferToThread, self._store.load, name, self._locations, self._kinds, revision
        )
        if isinstance(found, Unusable):
            return Wrong(found.why)
        return Wrong(f"revision {revision} of {name} is not kept") if found is None else found

    @inlineCallbacks
    def _pin(self, name: str, asked: Request) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        if asked.revision is None:
            return Wrong("no revision, expected one out of the history")
        found = yield self._load(name, asked.revision)
        if isinstance(found, Wrong):
            return found
        yield self.files[name].pin(asked.revision, found.files)
        answer: Answer | Wrong = yield self._remember(name, asked.revision)
        return answer

    @inlineCallbacks
    def _unpin(self, name: str, asked: Request) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        yield self.files[name].unpin()
        answer: Answer | Wrong = yield self._remember(name, None)
        return answer

    @inlineCallbacks
    def _remember(self, name: str, revision: int | None) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        assert self._store is not None or revision is None
        wrong = None
        if self._store is not None:
            wrong = yield self._storing.run(deferToThread, self._store.pin, name, revision)
        if wrong is not None:
            return Wrong(f"in force, but not remembered over a restart: {wrong.why}")
        return Answer(source=name, pinned=revision)

    @inlineCallbacks
    def _confirm(self, name: str, asked: Request) -> Generator[Deferred[Any], Any, Answer | Wrong]:
        verdict = yield self.files[name].confirm()
        if verdict.kind is not Kind.ACCEPTED:
            return Wrong(f"{name}: {verdict.why}")
        return Answer(source=name, revision=verdict.revision)


def _history_rows(found: list[Any]) -> Iterator[dict[str, Any]]:
    for one in found:
        yield {
            "number": one.number,
            "source": one.source,
            "revision": one.revision,
            "at_ms": one.at_ms,
            "why": one.why,
            "engines": one.engines,
        }
