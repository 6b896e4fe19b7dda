"""The list of engines: the driver that asks the control feed for changes, again and again."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Mapping
from dataclasses import replace
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from vanerelay.engine_list import EngineListChange
from vanerelay.net import discovery_codec
from vanerelay.net.buffers import Pool

# The page lets a poll wait 5 s, and counts what the feed has to tell as told after 7 s. So long a wait leaves
# time for one connection that died silently, for a pause, a lost connect and the poll after it.
WAIT_MS = 7_000 - 5_000
CONNECT_S = 1.0  # the longest that a connect to the feed may take, whatever is allowed for engines
BEGIN_S = 0.5  # past its wait, until an answer has to begin; the same between two of its pieces
WHOLE_S = 2.0  # from its first byte until an answer has to be whole
PAUSE_S = 0.25  # after a failure, doubled with each; by chance down to half of it
LONGEST_PAUSE_S = 1.0
SOON_S = 0.5  # an answer without news that comes earlier did not wait: the next is not asked for at once

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class FeedProtocol(Protocol):
    """One connection to the feed: a request at a time, and how long its answer may take."""

    transport: Any

    def __init__(self, reactor: Any, pool: Pool) -> None:
        self._reactor, self._pool, self._reader = reactor, pool, discovery_codec.ReplyReader(pool)
        self._asked: Deferred[discovery_codec.Reply | discovery_codec.Unreadable] | None = None
        self._silence: Any = None
        self._whole_by: float | None = None
        self.usable = True

    def ask(self, request: bytes) -> Deferred[discovery_codec.Reply | discovery_codec.Unreadable]:
        self._reader = discovery_codec.ReplyReader(self._pool)
        self._asked, self._whole_by = Deferred(), None
        self._wait(WAIT_MS / 1000 + BEGIN_S)
        self.transport.write(request)
        return self._asked

    def dataReceived(self, data: bytes) -> None:
        if self._asked is None:
            return
        now = self._reactor.seconds()
        if self._whole_by is None:
            self._whole_by = now + WHOLE_S
        self._wait(min(BEGIN_S, max(0.0, self._whole_by - now)))
        self._tell(self._reader.feed(data))

    def connectionLost(self, reason: Failure = GONE) -> None:
        self.usable = False
        if self._asked is not None:
            self._tell(self._reader.ended())
        self._reader.drop()

    def give_up(self) -> None:
        """Nothing more is awaited here; what is asked fails."""
        self.usable = False
        self._end_wait()
        if self.transport is not None:
            self.transport.abortConnection()

    def _wait(self, span_s: float) -> None:
        self._end_wait()
        self._silence = self._reactor.callLater(span_s, self.give_up)

    def _end_wait(self) -> None:
        if self._silence is not None and self._silence.active():
            self._silence.cancel()

    def _tell(self, result: discovery_codec.Reply | discovery_codec.Unreadable | None) -> None:
        if result is None:
            return
        self._end_wait()
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.callback(result)


class DiscoveryClient:
    """Follows the feed, and hands on each change once."""

    def __init__(
        self,
        reactor: Any,
        pool: Pool,
        address: str,
        locations: Mapping[str, int],
        kinds: Mapping[str, int],
        connect_s: float,
        chance: random.Random,
        changed: Callable[[EngineListChange], None],
        answered: Callable[[], None] | None = None,
    ) -> None:
        """`answered`: called for each answer of the feed that could be used, with news or without. `chance`
        spreads what many processes would ask in the same moment."""
        self._reactor, self._pool, self._changed = reactor, pool, changed
        self._connect_s, self._chance, self._answered = min(connect_s, CONNECT_S), chance, answered
        self._address = discovery_codec.split(address)
        self._former: tuple[str, int] | None = None  # asked in turn, until the address moved to has answered
        self._locations, self._kinds = locations, kinds
        self._going: Deferred[None] | None = None
        self._numbering, self._stopped = discovery_codec.Numbering(), False
        self._failures, self._sound = 0, True
        self._connection: FeedProtocol | None = None
        self._current_at = reactor.seconds()  # what the feed had to tell by then was handed on

    @property
    def known(self) -> bool:
        return self._numbering.held > 0

    def apply(self, data: Any) -> str | None:
        """Hands on what is new in an answer; what is wrong with it, if anything."""
        changes = discovery_codec.parse(data, self._locations, self._kinds)
        if isinstance(changes, discovery_codec.Unreadable):
            return changes.why
        new, gap = self._numbering.fresh(changes)
        within_s = self._reactor.seconds() - self._current_at
        faults = list[Exception]()
        for change in new:
            try:
                self._changed(change if change.complete else replace(change, within_s=within_s))
            except Exception as fault:  # the next ones count all the same: they won't come again
                faults.append(fault)
        if faults:
            raise faults[0]
        return "events are missing" if gap else None

    def follow(self) -> None:
        self._going = going = self._go()
        going.addErrback(lambda fault: log.error("the feed's driver failed", fault=fault.getTraceback()))

    def move(self, address: str) -> None:
        """Asks there from now on, and at once: the numbers go on, and what the old one had under way comes
        again. Waiting for the poll that is out would take as long as it may hang."""
        moved_to = discovery_codec.split(address)
        if self._stopped or moved_to == self._address:
            return
        log.info("the feed has moved", feed=address)
        self._former, self._address = self._address, moved_to
        self._break_off()
        self.follow()

    def stop(self) -> None:
        self._stopped = True
        self._break_off()

    def _break_off(self) -> None:
        going, self._going = self._going, None
        if going is not None:
            going.cancel()
        if self._connection is not None:
            self._connection.give_up()
            self._connection = None

    @inlineCallbacks
    def _go(self) -> Generator[Deferred[Any], Any, None]:
        address = self._address
        while not self._stopped:
            try:
                wrong = yield self._ask(address)
            except CancelledError:
                return
            except Exception as fault:  # a refused or timed-out connection, or a fault in what was handed on
                wrong = f"{type(fault).__name__}: {fault}"
            if self._stopped:
                return
            self._note(wrong, address)
            if wrong is None and address == self._address:
                continue
            if self._connection is not None:
                self._connection.give_up()
            if wrong is None:
                address = self._address  # the former one is asked in between alone
                continue
            try:
                yield deferLater(self._reactor, self._pause(), lambda: None)
            except CancelledError:
                return
            address = self._next(address)

    def _note(self, wrong: str | None, address: tuple[str, int]) -> None:
        """Counts failures; each change for the worse or the better is told once."""
        self._failures = 0 if wrong is None else self._failures + 1
        if wrong is not None and self._sound:
            self._sound = False
            log.warning("feed fails", why=wrong)
        elif wrong is None and address == self._address:
            self._former = None
            if not self._sound:
                self._sound = True
                log.info("feed answers again")

    def _pause(self) -> float:
        """How long nothing is asked after a failure: hundreds of processes must not come back in step."""
        longest = min(LONGEST_PAUSE_S, PAUSE_S * 2.0 ** min(self._failures - 1, 8))
        return longest * self._chance.uniform(0.5, 1.0)

    def _next(self, failed: tuple[str, int]) -> tuple[str, int]:
        """Where to ask after a failure: the feed may have moved to where nobody is, or not yet."""
        return self._former if self._former is not None and failed == self._address else self._address

    @inlineCallbacks
    def _ask(self, address: tuple[str, int]) -> Generator[Deferred[Any], Any, str | None]:
        host, port = address
        if self._connection is None or not self._connection.usable:
            where = TCP4ClientEndpoint(self._reactor, host, port, timeout=self._connect_s)
            factory: Any = Factory.forProtocol(lambda: FeedProtocol(self._reactor, self._pool))
            self._connection = yield where.connect(factory)
        connection = self._connection
        assert connection is not None
        held, began = self._numbering.held, self._reactor.seconds()
        reply = yield connection.ask(discovery_codec.request(f"{host}:{port}", held, WAIT_MS))
        if isinstance(reply, discovery_codec.Unreadable):
            return reply.why
        if not reply.keep:
            connection.give_up()
        if reply.status != 200:
            return f"status {reply.status}"
        wrong = self.apply(reply.body)
        if wrong is None:
            self._current_at = began
        if wrong is None and self._answered is not None:
            self._answered()
        if wrong is None and self._numbering.held == held and self._reactor.seconds() - began < SOON_S:
            yield deferLater(self._reactor, self._chance.uniform(0.5, 1.0) * SOON_S, lambda: None)
        return wrong
