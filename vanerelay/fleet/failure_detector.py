"""Failure detection: which gateways of the fleet are alive. Pure: told the time, given its random source.

This is SWIM (Das, Gupta, Motivala 2002) with suspicion, and with the local health awareness of Lifeguard
(Dadgar, Phillips, Currey 2018). In each probe interval a gateway probes one other, in an order that is
shuffled anew each round. One that does not reply is probed indirectly, through a few helpers. One that
nobody reaches is suspected, and counts as gone only after a timeout in which it could have refuted the
suspicion. Gossip is piggybacked on these messages, so a gateway sends a bounded number of messages whatever
the size of the fleet. Times are whole tenths of a millisecond.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum, StrEnum

from vanerelay.config_field import config_field
from vanerelay.interface import MILLISECOND, SECOND, Duration


class MemberState(IntEnum):
    """Whether a member is alive. Of two reports on one version of a member, the higher state counts."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # announced by the member itself


@dataclass(frozen=True, slots=True)
class Member:
    """What is known of a gateway.

    `incarnation` is that of its process and never goes back. `sequence_number` is incremented by the member
    itself whenever it announces something new of itself, and by nobody else.
    """

    name: str
    incarnation: int
    sequence_number: int = 0
    status: MemberState = MemberState.ALIVE
    domain: str = ""
    address: str = ""
    program: str = ""
    settings: str = ""
    state: str = "starting"
    orders: str = ""  # the highest fencing token of rollout orders that it knows, and for which change

    def newer(self, other: Member) -> bool:
        """Whether this report supersedes another one on the same member."""
        return (self.incarnation, self.sequence_number, self.status) > (
            other.incarnation,
            other.sequence_number,
            other.status,
        )


@dataclass(frozen=True, slots=True)
class FailureDetectorConfig:
    """Tuned values of the detector, the `pace` block of the operators' file.

    Attributes:
        probe_interval: Time between two probes.
        probe_timeout: Time after which an unanswered probe is repeated through helpers.
        indirect_probes: How many helpers are asked.
        suspicion_factor: Probe intervals until a suspect is gone, times the logarithm of the fleet's size.
        gossip_limit: Members of which one message carries reports.
        max_members: Members that are known at all.
        forget_after: Time after which a member that is gone is forgotten.
    """

    probe_interval: Duration = config_field("period", default=500 * MILLISECOND)
    probe_timeout: Duration = config_field("patience", default=250 * MILLISECOND)
    indirect_probes: int = config_field("through", default=3)
    suspicion_factor: float = config_field("suspicion", default=6.0)
    gossip_limit: int = config_field("told", default=12)
    max_members: int = config_field("most", default=1000)
    forget_after: Duration = config_field("forget", default=600 * SECOND)


RETRANSMIT_FACTOR = 3.0
"""Times that a report is gossiped, per decimal logarithm of the fleet's size: SWIM's lambda."""

MIN_TRANSMISSIONS = 2
"""Times that a report is gossiped at least, in the smallest fleet."""

MAX_LOCAL_HEALTH = 8
"""Bound of Lifeguard's local health multiplier: a gateway never waits more than nine times as long."""

STALL_PENALTY = 2
"""What a stall of our own process adds to the multiplier: more than one failed probe does."""


@dataclass(slots=True)
class _Broadcast:
    """A report that is still to be gossiped a number of times."""

    transmissions_left: int
    member: Member


class FailureDetector:
    """One gateway's view of the fleet.

    The driver probes `next_probe_target` once per interval and reports the outcome with `probe_succeeded` or
    `probe_failed`; it sends `gossip` with each message and passes on what it receives to `receive_gossip`.
    """

    def __init__(self, own: Member, config: FailureDetectorConfig, random_source: random.Random) -> None:
        self.config, self._random = config, random_source
        self._own = own
        self.members = {own.name: own}
        self._probe_order = list[str]()  # the next one last
        self._broadcasts = dict[str, _Broadcast]()
        self._suspected_at = dict[str, int]()
        self._gone_at = dict[str, int]()
        self._joined, self.replaced = False, False  # replaced: another process goes by our name
        self._local_health = 0  # Lifeguard's multiplier: 0 is healthy
        self._changes = list[Member]()
        self._broadcast(own)

    @property
    def own(self) -> Member:
        """Ourselves, as we announce ourselves."""
        return self._own

    @property
    def has_joined(self) -> bool:
        """Whether another member has acknowledged our present incarnation."""
        return self._joined

    def announce(self, **changed: str) -> None:
        """Announces something new of ourselves: our state, release or settings."""
        sequence_number = self._own.sequence_number + 1
        self._update(replace(self._own, sequence_number=sequence_number, **changed))  # type: ignore[arg-type]

    def leave(self) -> None:
        """Announces that we leave the fleet."""
        sequence_number = self._own.sequence_number + 1
        self._update(replace(self._own, sequence_number=sequence_number, status=MemberState.LEFT))

    def add_seed(self, name: str, address: str, domain: str = "") -> None:
        """Adds a member that the operators name.

        Nothing is known of it: it is probed, and does not count as alive before it replies.
        """
        if name not in self.members:
            self.members[name] = Member(name, 0, 0, MemberState.GONE, domain, address)

    def take_changes(self) -> list[Member]:
        """Members that have changed since the last call, in order."""
        changes, self._changes = self._changes, []
        return changes

    # Probes.

    def next_probe_target(self, now: int) -> Member | None:
        """Whom to probe in this interval.

        Everybody once, in shuffled order, before anybody again. Members that are gone are probed as well, so
        that two halves of a partitioned fleet find each other again.
        """
        self._expire(now)
        others = self.members.keys() - {self._own.name}
        if not others:
            return None
        self._probe_order = [name for name in self._probe_order if name in others]
        if not self._probe_order:
            self._probe_order = sorted(
                name for name in others if self.members[name].status is not MemberState.LEFT
            )
            self._random.shuffle(self._probe_order)
        return self.members[self._probe_order.pop()] if self._probe_order else None

    def indirect_probe_helpers(self, target: str) -> list[Member]:
        """Who is asked to probe a member that did not reply to us."""
        alive = sorted(
            name
            for name, member in self.members.items()
            if member.status is MemberState.ALIVE and name not in (target, self._own.name)
        )
        count = min(self.config.indirect_probes, len(alive))
        return [self.members[name] for name in self._random.sample(alive, count)]

    def probe_timeout(self) -> int:
        """How long to wait for a reply: longer while our own health is poor."""
        return self.config.probe_timeout * (1 + self._local_health)

    def suspicion_timeout(self) -> int:
        """How long a suspect has to refute the suspicion."""
        size_factor = max(1.0, math.log10(max(1, len(self.members))))
        timeout = int(self.config.suspicion_factor * size_factor * self.config.probe_interval)
        return timeout * (1 + self._local_health)

    def probe_succeeded(self) -> None:
        """Some member replied. A suspect refutes its suspicion itself, under a later sequence number."""
        self._local_health = max(0, self._local_health - 1)

    def probe_failed(self, name: str, now: int) -> None:
        """Neither we nor the helpers reached a member."""
        self._degrade(1)
        member = self.members.get(name)
        if member is not None and member.status is MemberState.ALIVE:
            self._update(replace(member, status=MemberState.SUSPECT))
            self._suspected_at[name] = now

    def process_stalled(self) -> None:
        """Our own process stood still: nobody else is to blame for replies that were late."""
        self._degrade(STALL_PENALTY)

    # Gossip.

    def gossip(self) -> list[Member]:
        """The reports to send with the next message: ourselves, then those that were sent least often."""
        pending = sorted(
            self._broadcasts.values(), key=lambda one: (-one.transmissions_left, one.member.name)
        )
        chosen = pending[: self.config.gossip_limit]
        for broadcast in chosen:
            broadcast.transmissions_left -= 1
            if broadcast.transmissions_left <= 0:
                del self._broadcasts[broadcast.member.name]
        others = [one.member for one in chosen if one.member.name != self._own.name]
        return [self._own, *others]

    def gossip_reply(self, sender: Member) -> list[Member]:
        """The reports to reply with: gossip, and what we know of the sender where that is newer."""
        known = self.members.get(sender.name)
        return [*self.gossip(), *([known] if known is not None and known.newer(sender) else [])]

    def full_state(self) -> list[Member]:
        """All members of which anything is known, for one that joins."""
        return [member for member in self.members.values() if member.incarnation]

    def receive_gossip(self, reports: Iterable[Member], now: int) -> None:
        """Merges the reports of another member."""
        for member in reports:
            if member.name == self._own.name:
                self._receive_own(member)
            elif self._supersedes(member):
                self._update(member)
                self._note_state_times(member, now)

    def acknowledged(self, incarnation: int) -> None:
        """Another member has replied to this incarnation of ours, and knew of no later one."""
        self._joined = self._joined or incarnation == self._own.incarnation

    def _supersedes(self, member: Member) -> bool:
        known = self.members.get(member.name)
        if known is None:
            return len(self.members) < self.config.max_members
        return member.newer(known)

    def _note_state_times(self, member: Member, now: int) -> None:
        if member.status is MemberState.SUSPECT:
            self._suspected_at.setdefault(member.name, now)
        else:
            self._suspected_at.pop(member.name, None)
        if member.status in (MemberState.GONE, MemberState.LEFT):
            self._gone_at[member.name] = now
        else:
            self._gone_at.pop(member.name, None)

    def _receive_own(self, member: Member) -> None:
        """Handles a report on ourselves.

        A later incarnation than ours, before we have joined, is one from before a lost disk or from a clock
        that was ahead: we go past it. After that it is our successor, and we fall silent. That we are suspect
        or gone is refuted under a later sequence number.
        """
        own = self._own
        if member.incarnation > own.incarnation and self._joined:
            self.replaced = True
        elif member.incarnation > own.incarnation:
            self._update(replace(own, incarnation=member.incarnation + 1, sequence_number=0))
        elif member.newer(own) and own.status is not MemberState.LEFT:
            self._degrade(1)
            self._update(replace(own, sequence_number=member.sequence_number + 1))

    def _degrade(self, penalty: int) -> None:
        self._local_health = min(MAX_LOCAL_HEALTH, self._local_health + penalty)

    def _expire(self, now: int) -> None:
        """Declares suspects gone whose timeout is over, and forgets members that are long gone."""
        for name, since in list(self._suspected_at.items()):
            if now - since >= self.suspicion_timeout():
                del self._suspected_at[name]
                self._gone_at[name] = now
                self._update(replace(self.members[name], status=MemberState.GONE))
        for name, since in list(self._gone_at.items()):
            if now - since >= self.config.forget_after:
                del self._gone_at[name]
                self.members.pop(name, None)
                self._broadcasts.pop(name, None)

    def _update(self, member: Member) -> None:
        known = self.members.get(member.name)
        self.members[member.name] = member
        if member.name == self._own.name:
            self._own = member
        if known is None or known != member:
            self._changes.append(member)
        self._broadcast(member)

    def _broadcast(self, member: Member) -> None:
        scaled = math.ceil(RETRANSMIT_FACTOR * math.log10(len(self.members) + 1))
        self._broadcasts[member.name] = _Broadcast(max(MIN_TRANSMISSIONS, scaled), member)


class Liveness(StrEnum):
    """Whether one viewer takes a member for alive, in the words that commands print."""

    ALIVE = "alive"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ViewDifference:
    """A member on which views differ: for each opinion, the gateways that hold it."""

    name: str
    viewers: tuple[tuple[Liveness, tuple[str, ...]], ...]


def view_differences(views: Mapping[str, Iterable[Member]]) -> list[ViewDifference]:
    """Members that some viewers take for alive and others for gone; `views` by the name of the viewer."""
    opinions = dict[str, dict[Liveness, list[str]]]()
    for viewer in sorted(views):
        for member in views[viewer]:
            alive = member.status in (MemberState.ALIVE, MemberState.SUSPECT)
            liveness = Liveness.ALIVE if alive else Liveness.GONE
            opinions.setdefault(member.name, {}).setdefault(liveness, []).append(viewer)
    return [
        ViewDifference(name, tuple((liveness, tuple(who)) for liveness, who in sorted(by_liveness.items())))
        for name, by_liveness in sorted(opinions.items())
        if len(by_liveness) > 1
    ]


def next_incarnation(stored: int, wall_clock_ms: int) -> int:
    """The incarnation of a process that starts.

    It is past the stored one, and about the time, so that it grows without a disk as well. Where the clock
    was ahead before, other members know, and the detector goes past what they report.
    """
    return max(stored + 1, wall_clock_ms)
