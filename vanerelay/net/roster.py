"""The list of engines: the driver that asks the control feed for changes, again and again."""

from __future__ import annotations

from collections.abc import Callable, Generator, Mapping
from typing import Any

import structlog
from twisted.internet.defer import CancelledError, Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from vanerelay.net import feed
from vanerelay.net.buffers import Pool

# The page lets a poll wait 5 s, and counts what the feed has to tell as told after 7 s. So long a wait leaves
# time for one connection that died silently, and for the poll after it.
WAIT_MS = 7_000 - 5_000

GONE = Failure(ConnectionDone())  # type: ignore[no-untyped-call]

log = structlog.get_logger()


class FeedProtocol(Protocol):
    """One connection to the feed: a request at a time."""

    transport: Any

    def __init__(self, pool: Pool) -> None:
        self._pool, self._reader = pool, feed.ReplyReader(pool)
        self._asked: Deferred[feed.Reply | feed.Unreadable] | None = None
        self.usable = True

    def ask(self, request: bytes) -> Deferred[feed.Reply | feed.Unreadable]:
        self._reader = feed.ReplyReader(self._pool)
        self._asked = Deferred()
        self.transport.write(request)
        return self._asked

    def dataReceived(self, data: bytes) -> None:
        self._tell(self._reader.feed(data) if self._asked is not None else None)

    def connectionLost(self, reason: Failure = GONE) -> None:
        self.usable = False
        if self._asked is not None:
            self._tell(self._reader.ended())
        self._reader.drop()

    def give_up(self) -> None:
        self.usable = False
        if self.transport is not None:
            self.transport.abortConnection()

    def _tell(self, result: feed.Reply | feed.Unreadable | None) -> None:
        if result is None:
            return
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.callback(result)


class Roster:
    """Follows the feed, and hands on each change once."""

    def __init__(
        self,
        reactor: Any,
        pool: Pool,
        address: str,
        locations: Mapping[str, int],
        kinds: Mapping[str, int],
        connect_s: float,
        changed: Callable[[feed.Change], None],
        answered: Callable[[], None] | None = None,
    ) -> None:
        """`answered`: called for each answer of the feed that could be used, with news or without."""
        self._reactor, self._pool, self._connect_s, self._changed = reactor, pool, connect_s, changed
        self._answered = answered
        self._host, self._port = feed.split(address)
        self._locations, self._kinds = locations, kinds
        self._going: Deferred[None] | None = None
        self._numbering, self._stopped, self._sound = feed.Numbering(), False, True
        self._connection: FeedProtocol | None = None

    @property
    def known(self) -> bool:
        return self._numbering.held > 0

    def apply(self, data: Any) -> str | None:
        """Hands on what is new in an answer; what is wrong with it, if anything."""
        changes = feed.parse(data, self._locations, self._kinds)
        if isinstance(changes, feed.Unreadable):
            return changes.why
        new, gap = self._numbering.fresh(changes)
        for change in new:
            self._changed(change)
        return "events are missing" if gap else None

    def follow(self) -> None:
        self._going = going = self._go()
        going.addErrback(lambda fault: log.error("the feed's driver failed", fault=fault.getTraceback()))

    def move(self, address: str) -> None:
        """Asks there from now on, and at once: the numbers go on, and what the old one had under way comes
        again. Waiting for the poll that is out would take as long as it may hang."""
        host, port = feed.split(address)
        if self._stopped or (host, port) == (self._host, self._port):
            return
        log.info("the feed has moved", feed=address)
        self._host, self._port = host, port
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
        while not self._stopped:
            try:
                wrong = yield self._ask()
            except CancelledError:
                return
            except Exception as fault:  # a refused or timed-out connection, or a fault in what was handed on
                wrong = f"{type(fault).__name__}: {fault}"
            if self._stopped:
                return
            if (wrong is None) != self._sound:
                self._sound = wrong is None
                log.info("feed answers again") if self._sound else log.warning("feed fails", why=wrong)
            if wrong is not None:
                if self._connection is not None:
                    self._connection.give_up()
                try:
                    yield deferLater(self._reactor, self._connect_s, lambda: None)
                except CancelledError:
                    return

    @inlineCallbacks
    def _ask(self) -> Generator[Deferred[Any], Any, str | None]:
        if self._connection is None or not self._connection.usable:
            where = TCP4ClientEndpoint(self._reactor, self._host, self._port, timeout=self._connect_s)
            factory: Any = Factory.forProtocol(lambda: FeedProtocol(self._pool))
            self._connection = yield where.connect(factory)
        connection = self._connection
        assert connection is not None
        asked = connection.ask(feed.request(f"{self._host}:{self._port}", self._numbering.held, WAIT_MS))
        silence = self._reactor.callLater(WAIT_MS / 1000 + self._connect_s, connection.give_up)
        try:
            reply = yield asked
        finally:
            if silence.active():
                silence.cancel()
        if isinstance(reply, feed.Unreadable):
            return reply.why
        if not reply.keep:
            connection.give_up()
        if reply.status != 200:
            return f"status {reply.status}"
        wrong = self.apply(reply.body)
        if wrong is None and self._answered is not None:
            self._answered()
        return wrong
