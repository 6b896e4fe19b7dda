"""Membership of this gateway in its fleet: runs `failure_detector` with the clock and `rpc`."""

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
"""Delay of the probe timer past which late replies are attributed to a stall of this process."""

DIRECT_ANNOUNCEMENTS = 3
"""Number of members notified directly of a join or leave; gossip reaches the others."""

INDIRECT_TIMEOUT_FACTOR = 2
"""Timeout of an indirect probe in probe timeouts: it is two probes in sequence."""

log = structlog.get_logger()


class FleetService:
    """Membership of this gateway in its fleet.

    Attributes:
        rpc: RPC with other gateways; other subsystems add handlers for their kinds of request.
        config: The settings of the `fleet` block.
        name: Name of this gateway.
        detector: The failure detector, which tracks the members.
        member_listeners: Functions that are called with each changed member.
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
        self._seed_addresses = {seed_member.name: seed_member.address for seed_member in config.seeds}
        for seed_member in config.seeds:
            self.detector.add_seed(seed_member.name, seed_member.address, seed_member.domain)
        self.member_listeners = list[Callable[[Member], None]]()
        self._requests_sent = self._requests_answered = 0
        self._timer: Any = None
        self._next_probe_at, self._stopped, self._silent = 0, False, False
        self.rpc.handlers |= {
            messages.PING_KIND: self._handle_ping,
            messages.INDIRECT_PING_KIND: self._handle_indirect_ping,
            messages.VIEW_KIND: self._handle_view,
        }

    def start(self) -> None:
        """Listens as soon as the address is free, and starts probing after that.

        While a predecessor of the same name still listens, the fleet communicates with that process only.
        """
        self.rpc.listen(self.config.listen, self._start_probing)

    def _start_probing(self) -> None:
        self._next_probe_at = self._clock.now()
        self._probe_next()
        seeds = self.config.seeds
        for seed_member in self._random.sample(seeds, min(DIRECT_ANNOUNCEMENTS, len(seeds))):
            self._ping(self._address_of(seed_member.name, seed_member.address), join=True)

    def announce(self, **changed: str) -> None:
        """Announces fields of this gateway (state, settings, program, orders) if any has changed."""
        own = self.detector.own
        if any(getattr(own, name) != value for name, value in changed.items()):
            self.detector.announce(**changed)
            self._notify_changes()

    def hand_over(self) -> None:
        """Stops all messages, as a successor of the same name takes over."""
        self._silent = True
        self.rpc.stop()

    def leave(self) -> Deferred[Any]:
        """Announces that this gateway leaves the fleet.

        The result fires once each of the members that are notified directly has replied or failed to.
        """
        if self._silent:
            return succeed(None)
        self.detector.leave()
        others = [
            member
            for member in self.detector.members.values()
            if member.status is MemberState.ALIVE and member.name != self.name
        ]
        chosen = self._random.sample(others, min(DIRECT_ANNOUNCEMENTS, len(others)))
        return DeferredList([self._ping(self._address_of(other.name, other.address)) for other in chosen])

    def stop(self) -> None:
        """Stops probing and closes all connections."""
        self._stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.rpc.stop()

    def address(self, name: str) -> str | None:
        """Returns the address of a member: the one in the operators' file, else the one it announces."""
        if name in self._seed_addresses:
            return self._seed_addresses[name]
        member = self.detector.members.get(name)
        return member.address or None if member is not None else None

    def call(self, name: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request of another subsystem to the member of the given name.

        The result fails with an RpcError: a RequestRefusedError if the address of the member is not known.
        """
        address = self.address(name)
        if address is None:
            failed: Deferred[bytes] = Deferred()
            failed.errback(RequestRefusedError(f"no address of {name} is known"))
            return failed
        return self.rpc.call(address, kind, body, timeout_s)

    # Probes of other members, one in each probe interval.

    def _probe_next(self) -> None:
        if self._stopped:
            return
        now, interval = self._clock.now(), self.config.failure_detector.probe_interval
        if now - self._next_probe_at > STALL_THRESHOLD:
            self.detector.process_stalled()
        self._next_probe_at = now + interval
        self._timer = self._reactor.callLater(interval / SECOND, self._probe_next)
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
            probing.addCallback(self._handle_probe_result, target)

    def _handle_probe_result(self, reached: bool, target: Member) -> None:
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
        DeferredList(replies).addCallback(self._handle_indirect_results, target)

    def _handle_indirect_results(self, results: list[tuple[bool, Any]], target: Member) -> None:
        replies = [
            messages.decode(body, messages.PingReply)
            for succeeded, body in results
            if succeeded and body is not None
        ]
        if not any(reply is not None and reply.reached for reply in replies):
            self.detector.probe_failed(target.name, self._clock.now())
            self._notify_changes()

    def _ping(self, address: str, join: bool = False) -> Deferred[bool]:
        """Sends a probe; the result fires with True if a reply came."""
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
        """Sends a request of the detector; the result fires with the reply's body, or None on failure."""
        self._requests_sent += 1
        timeout_s = self.detector.probe_timeout() * timeout_factor / SECOND
        reply: Deferred[Any] = self.rpc.call(address, kind, body, timeout_s)
        return reply.addErrback(lambda _: None)

    # Requests of other gateways.

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

    def _receive_gossip(self, rows: list[messages.MemberRow]) -> None:
        incarnation_before = self.detector.own.incarnation
        self.detector.receive_gossip(messages.to_members(rows), self._clock.now())
        if self.detector.own.incarnation != incarnation_before:
            self._incarnations.save(self.detector.own.incarnation)
        if self.detector.replaced and not self._silent:
            self._silent = True
            log.warning(
                "another process has joined under this name, sending no further fleet messages",
                name=self.name,
            )
        self._notify_changes()

    def _notify_changes(self) -> None:
        for member in self.detector.take_changes():
            if member.name != self.name:
                _log_change(member)
            for listener in self.member_listeners:
                listener(member)

    def _address_of(self, name: str, announced_address: str) -> str:
        return self._seed_addresses.get(name, announced_address)

    def _new_incarnation(self) -> int:
        number = next_incarnation(self._incarnations.load(), int(time.time() * 1000))
        self._incarnations.save(number)
        return number


def _log_change(member: Member) -> None:
    log.info(
        "fleet member changed",
        member=member.name,
        standing=member.status.name.lower(),
        state=member.state,
        program=member.program,
        settings=member.settings,
        incarnation=member.incarnation,
    )
