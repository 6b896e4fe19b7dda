"""One gateway's place in its fleet: the driver of `failure_detector` over `rpc`."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from typing import Any

import structlog
from twisted.internet.defer import Deferred, DeferredList, succeed

from vanerelay.clock import Clock
from vanerelay.fleet import messages
from vanerelay.fleet.config import FleetConfig
from vanerelay.fleet.failure_detector import FailureDetector, Member, MemberState, next_incarnation
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.fleet.store import IncarnationStore
from vanerelay.interface import MILLISECOND, SECOND

SERVING_STATE = "serving"
DRAINING_STATE = "draining"

STALL_THRESHOLD = 100 * MILLISECOND
"""How late our own turn may come before late replies are laid on ourselves."""

DIRECT_ANNOUNCEMENTS = 3
"""Members that are told directly that we join or leave; the others hear of it by gossip."""

INDIRECT_TIMEOUT_FACTOR = 2
"""Probe timeouts that an indirect probe may take: it is two probes, one after the other."""

log = structlog.get_logger()


class FleetService:
    """The gateways that know each other, as this one sees them.

    Attributes:
        rpc: The RPC node; other subsystems add handlers of their own kinds of request to it.
        detector: The failure detector, which knows the members.
        member_listeners: Called with each member that changes.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        config: FleetConfig,
        name: str,
        program: str,
        settings: str,
        seed: int,
    ) -> None:
        self._reactor, self._clock, self.config, self.name = reactor, clock, config, name
        self._random = random.Random(f"{seed}/fleet")
        self.rpc = RpcNode(reactor)
        self._incarnations = IncarnationStore(config.folder)
        own = Member(
            name=name,
            incarnation=self._new_incarnation(),
            domain=config.domain,
            address=config.listen,
            program=program,
            settings=settings,
        )
        self.detector = FailureDetector(own, config.failure_detector, self._random)
        self._seed_addresses = {one.name: one.address for one in config.seeds}
        for one in config.seeds:
            self.detector.add_seed(one.name, one.address, one.domain)
        self.member_listeners = list[Callable[[Member], None]]()
        self._requests_sent = self._requests_answered = 0
        self._timer: Any = None
        self._next_turn_at, self._stopped, self._silent = 0, False, False
        self.rpc.handlers |= {
            messages.PING_KIND: self._handle_ping,
            messages.INDIRECT_PING_KIND: self._handle_indirect_ping,
            messages.VIEW_KIND: self._handle_view,
        }

    def start(self) -> None:
        """Listens as soon as it can, and begins to probe after that.

        While a predecessor still listens under our name, the fleet hears of that one alone.
        """
        self.rpc.listen(self.config.listen, self._begin)

    def _begin(self) -> None:
        self._next_turn_at = self._clock.now()
        self._turn()
        seeds = self.config.seeds
        for one in self._random.sample(seeds, min(DIRECT_ANNOUNCEMENTS, len(seeds))):
            self._ping(self._address_of(one.name, one.address), join=True)

    def announce(self, **changed: str) -> None:
        """Announces our state, settings, program or orders, if they have changed."""
        own = self.detector.own
        if any(getattr(own, name) != value for name, value in changed.items()):
            self.detector.announce(**changed)
            self._notify_changes()

    def hand_over(self) -> None:
        """Falls silent: our successor under the same name takes our place."""
        self._silent = True
        self.rpc.stop()

    def leave(self) -> Deferred[Any]:
        """Announces that we leave. Fires once a few members have replied, or could not be reached."""
        if self._silent:
            return succeed(None)
        self.detector.leave()
        others = [
            member
            for member in self.detector.members.values()
            if member.status is MemberState.ALIVE and member.name != self.name
        ]
        chosen = self._random.sample(others, min(DIRECT_ANNOUNCEMENTS, len(others)))
        return DeferredList([self._ping(self._address_of(one.name, one.address)) for one in chosen])

    def stop(self) -> None:
        """Ends all probes and connections."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.rpc.stop()

    def address(self, name: str) -> str | None:
        """Where a member is reached: as the operators say, else as it says itself."""
        if name in self._seed_addresses:
            return self._seed_addresses[name]
        member = self.detector.members.get(name)
        return member.address or None if member is not None else None

    def call(self, name: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request of another subsystem to a member by name.

        Fails with an RpcError; with RequestRefusedError where no address of that name is known.
        """
        address = self.address(name)
        if address is None:
            failed: Deferred[bytes] = Deferred()
            failed.errback(RequestRefusedError(f"no address of {name} is known"))
            return failed
        return self.rpc.call(address, kind, body, timeout_s)

    # Probes, one in each interval.

    def _turn(self) -> None:
        if self._stopped:
            return
        now, interval = self._clock.now(), self.config.failure_detector.probe_interval
        if now - self._next_turn_at > STALL_THRESHOLD:
            self.detector.process_stalled()
        self._next_turn_at = now + interval
        self._timer = self._reactor.callLater(interval / SECOND, self._turn)
        if self._silent:
            return
        target = self.detector.next_probe_target(now)
        if target is not None:
            self._probe(target)
        self._notify_changes()

    def _probe(self, target: Member) -> None:
        is_gone = target.status is MemberState.GONE
        probing = self._ping(self._address_of(target.name, target.address), join=is_gone)
        if not is_gone:
            probing.addCallback(self._probed, target)

    def _probed(self, reached: bool, target: Member) -> None:
        if reached or self._stopped:
            return
        helpers = self.detector.indirect_probe_helpers(target.name)
        request = messages.IndirectPing(self.config.fleet_name, target.name, target.address)
        replies = [
            self._request(
                self._address_of(helper.name, helper.address),
                messages.INDIRECT_PING_KIND,
                messages.encode(request),
                INDIRECT_TIMEOUT_FACTOR,
            )
            for helper in helpers
        ]
        DeferredList(replies).addCallback(self._probed_indirectly, target)

    def _probed_indirectly(self, results: list[tuple[bool, Any]], target: Member) -> None:
        replies = [
            messages.decode(body, messages.PingReply) for good, body in results if good and body is not None
        ]
        if not any(reply is not None and reply.reached for reply in replies):
            self.detector.probe_failed(target.name, self._clock.now())
            self._notify_changes()

    def _ping(self, address: str, join: bool = False) -> Deferred[bool]:
        """Sends a probe; fires with whether it was answered."""
        own = self.detector.own
        reports = self.detector.full_state()[: messages.MAX_ROWS] if join else self.detector.gossip()
        ping = messages.Ping(self.config.fleet_name, messages.to_row(own), messages.to_rows(reports), join)

        def replied(body: bytes | None) -> bool:
            reply = messages.decode(body, messages.PingReply) if body is not None else None
            if reply is None:
                return False
            self._receive_gossip(reply.gossip)
            self.detector.acknowledged(own.incarnation)
            self.detector.probe_succeeded()
            return True

        return self._request(address, messages.PING_KIND, messages.encode(ping)).addCallback(replied)

    def _request(
        self, address: str, kind: str, body: bytes, timeout_factor: int = 1
    ) -> Deferred[bytes | None]:
        """Sends a request of the detector; fires with None where no reply came."""
        self._requests_sent += 1
        timeout_s = self.detector.probe_timeout() * timeout_factor / SECOND
        reply: Deferred[Any] = self.rpc.call(address, kind, body, timeout_s)
        return reply.addErrback(lambda _: None)

    # Requests of others.

    def _handle_ping(self, body: bytes) -> bytes:
        ping = messages.decode(body, messages.Ping)
        if ping is None or ping.fleet != self.config.fleet_name or self._silent:
            raise RequestRefusedError("not of this fleet" if ping is not None else "unreadable")
        self._requests_answered += 1
        sender = messages.to_member(ping.own)
        self._receive_gossip([ping.own, *ping.gossip])
        if sender is None:
            return messages.encode(messages.PingReply())
        full_state = self.detector.full_state()[: messages.MAX_ROWS] if ping.join else []
        reports = [*full_state, *self.detector.gossip_reply(sender)]
        return messages.encode(messages.PingReply(messages.to_rows(reports)))

    def _handle_indirect_ping(self, body: bytes) -> Deferred[bytes]:
        request = messages.decode(body, messages.IndirectPing)
        if request is None or request.fleet != self.config.fleet_name or self._silent:
            raise RequestRefusedError("not of this fleet")
        self._requests_answered += 1
        probing = self._ping(self._address_of(request.target, request.address))
        return probing.addCallback(lambda reached: messages.encode(messages.PingReply([], reached)))

    def _handle_view(self, body: bytes) -> bytes:
        rows = messages.to_rows(list(self.detector.members.values()))[: messages.MAX_ROWS]
        view = messages.View(
            name=self.name,
            fleet=self.config.fleet_name,
            rows=rows,
            replaced=self.detector.replaced,
            requests_sent=self._requests_sent,
            requests_answered=self._requests_answered,
        )
        return messages.encode(view)

    def _receive_gossip(self, rows: list[messages.Row]) -> None:
        incarnation_before = self.detector.own.incarnation
        self.detector.receive_gossip(messages.to_members(rows), self._clock.now())
        if self.detector.own.incarnation != incarnation_before:
            self._incarnations.save(self.detector.own.incarnation)
        if self.detector.replaced and not self._silent:
            self._silent = True
            log.warning("another process has joined under our name, falling silent", name=self.name)
        self._notify_changes()

    def _notify_changes(self) -> None:
        for member in self.detector.take_changes():
            if member.name != self.name:
                _log_change(member)
            for listener in self.member_listeners:
                listener(member)

    def _address_of(self, name: str, announced: str) -> str:
        return self._seed_addresses.get(name, announced)

    def _new_incarnation(self) -> int:
        number = next_incarnation(self._incarnations.load(), int(time.time() * 1000))
        self._incarnations.save(number)
        return number


def _log_change(member: Member) -> None:
    log.info(
        "member changed",
        member=member.name,
        standing=member.status.name.lower(),
        state=member.state,
        program=member.program,
        settings=member.settings,
        incarnation=member.incarnation,
    )
