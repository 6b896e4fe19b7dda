"""What one gateway knows of replicas: fetches the shards' updates and gives them on. A thin driver."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import structlog
from twisted.internet.base import DelayedCall

from vanerelay.fleet.failure_detector import MemberState
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.freshness import dissemination, messages
from vanerelay.freshness.config import FreshnessConfig
from vanerelay.freshness.record_service import RecordService
from vanerelay.freshness.replication_positions import ReplicationPositions
from vanerelay.freshness.shard_updates import ShardState
from vanerelay.interface import SECOND
from vanerelay.leases.assignment import Candidate, ranked
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.service import Leases

STALE_AFTER_POLLS = 20
"""Poll intervals without a newer report after which a shard's positions are logged as stale."""

TIMEOUT_INTERVALS = 3
"""Update intervals that a gateway has to answer with an update."""

log = structlog.get_logger()


class FreshnessService:
    """The positions of all replicas, as this gateway knows them.

    Attributes:
        positions: Which replica holds what, up to when.
        records: Sessions and ends of loads.
        shards: The shards' states.
        leases_of_shards: The shards' leases, in the same order.
        on_update: Called once positions may have changed.
    """

    def __init__(self, reactor: Any, fleet: FleetService, leases: Leases, config: FreshnessConfig) -> None:
        self._reactor = reactor
        self._fleet = fleet
        self.config = config
        self.name = fleet.name
        self.clock = leases.clock
        self._max_drift = leases.config.terms.clock_drift
        self.positions = ReplicationPositions()
        self.shards = [ShardState(self.positions) for _ in range(config.watch.shards)]
        self.leases_of_shards = list[LeaseHolder]()
        self.records = RecordService(fleet, self.clock, config.sessions)
        self.on_update: Callable[[], None] = lambda: None
        self._started_at = self.clock()
        self._failures = [0] * config.watch.shards  # requests in a row that brought nothing
        # Our requests in which an update should have come: a source that brings none for so long is passed
        # over.
        self._requests_per_poll = config.watch.poll_interval // config.watch.update_interval + 2
        self._stale = set[int]()  # shards whose positions are stale, as was logged
        self._orders = list[list[str]]()  # live gateways by rendezvous hashing, for each shard
        self._live = list[str]()
        self._timer: DelayedCall | None = None
        fleet.rpc.handlers |= {messages.SHARD_UPDATE_KIND: self._update_requested}

    def start(self) -> None:
        """Begins to fetch updates."""
        self._fetch_updates()

    def stop(self) -> None:
        """Fetches no more updates."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @property
    def knows_all_shards(self) -> bool:
        """Whether an update of every shard has come."""
        return all(shard.token for shard in self.shards)

    def notify(self) -> None:
        """Positions may have changed."""
        self.on_update()

    def engines_gone(self, engines: Iterable[str]) -> None:
        """Engines are no longer listed; of those that we watch all others learn by our updates."""
        now = self.clock()
        for shard, lease in zip(self.shards, self.leases_of_shards, strict=True):
            for engine in engines:
                if lease.may_act(now) and engine in shard.polled_at:
                    shard.engine_gone(engine, now)

    # Updates.

    def _fetch_updates(self) -> None:
        interval_s = self.config.watch.update_interval / SECOND
        self._timer = self._reactor.callLater(interval_s, self._fetch_updates)
        self._rank_gateways()
        now = self.clock()
        for number, lease in enumerate(self.leases_of_shards):
            if not lease.may_act(now):
                self._fetch(number)
            self._log_staleness(number, now)

    def _rank_gateways(self) -> None:
        live = sorted(
            member.name
            for member in self._fleet.detector.members.values()
            if member.status is MemberState.ALIVE or member.name == self.name
        )
        if live != self._live:
            self._live = live
            candidates = [Candidate(name) for name in live]
            self._orders = [ranked(lease.task, candidates) for lease in self.leases_of_shards]

    def _log_staleness(self, number: int, now: int) -> None:
        """Logs once that nobody watches a shard, or that its updates do not come, and once that they do."""
        age = now - max(self.shards[number].polled_at.values(), default=self._started_at)
        is_stale = age > STALE_AFTER_POLLS * self.config.watch.poll_interval
        if is_stale == (number in self._stale):
            return
        self._stale ^= {number}
        age_s = round(age / SECOND, 1)
        if is_stale:
            log.warning("replication positions are stale", shard=number, age_s=age_s)
        else:
            log.info("replication positions are updated again", shard=number, age_s=age_s)

    def _fetch(self, number: int) -> None:
        shard = self.shards[number]
        passed_over = self._failures[number] // self._requests_per_poll
        source = dissemination.update_source(self.name, self._orders[number], shard.holder, passed_over)
        if source is None:
            return
        requested_at = self.clock()
        request = messages.shard_update_request(number, shard.next_request(requested_at))
        timeout_s = TIMEOUT_INTERVALS * self.config.watch.update_interval / SECOND
        sent = self._fleet.call(source, messages.SHARD_UPDATE_KIND, messages.encode(request), timeout_s)
        sent.addCallback(self._update_received, number, requested_at)
        sent.addErrback(self._update_failed, number)

    def _update_received(self, body: bytes, number: int, requested_at: int) -> None:
        message = messages.decode(body, messages.ShardUpdateMessage)
        update = messages.shard_update(message) if message is not None else None
        # A source that goes on to know no more than we is as good as none: another is asked then.
        if update is not None and self.shards[number].apply(requested_at, update, self._max_drift):
            self._failures[number] = 0
            self.notify()
        else:
            self._failures[number] += 1

    def _update_failed(self, _: object, number: int) -> None:
        self._failures[number] += self._requests_per_poll

    def _update_requested(self, body: bytes) -> bytes:
        message = messages.decode(body, messages.ShardUpdateRequest)
        if message is None:
            raise RequestRefusedError("unreadable")
        if not 0 <= message.shard < len(self.shards):
            raise RequestRefusedError("no such shard")
        request = messages.update_request(message)
        update = self.shards[message.shard].update_for(self.clock(), request)
        reply = messages.encode(messages.shard_update_message(update))
        if len(reply) > messages.MAX_MESSAGE_BYTES:
            raise RequestRefusedError("the shard is too large, expected more shards")
        return reply
