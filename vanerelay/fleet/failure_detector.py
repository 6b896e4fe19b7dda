"""Failure detection: which gateways of the fleet are alive.

Without I/O: the caller passes the time, the random generator and all messages.

This is SWIM (Das, Gupta, Motivala 2002) with suspicion, and with the local health awareness of Lifeguard
(Dadgar, Phillips, Currey 2018). In each probe interval a gateway probes one other member, in an order
that is shuffled again for each round. A member that does not reply is probed indirectly, through a few
helpers. A member that none of them reaches is suspected, and counts as gone only after a timeout in which it
could have refuted the suspicion. Gossip is piggybacked on these messages, so a gateway sends a bounded number
of messages whatever the size of the fleet. Times are integers in tenths of a millisecond.
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
    """State of a member.

    Of two reports with the same incarnation and sequence number, the one with the higher state counts.
    """

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3  # announced by the member itself


@dataclass(frozen=True, slots=True)
class Member:
    """A report on a member of the fleet.

    `incarnation` numbers the processes that ran under the member's name and never decreases.
    `sequence_number` is incremented only by the member itself, whenever it announces a change.
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
    orders: str = ""  # highest fencing token of rollout orders that the member knows, and their change

    def is_newer_than(self, other: Member) -> bool:
        """Returns True if this report supersedes another one on the same member."""
        return (self.incarnation, self.sequence_number, self.status) > (
            other.incarnation,
            other.sequence_number,
            other.status,
        )


@dataclass(frozen=True, slots=True)
class FailureDetectorConfig:
    """Settings of the failure detector, the `pace` block of the operators' file.

    Attributes:
        probe_interval: Time between the starts of two probes.
        probe_timeout: Time without a reply after which a probe is repeated through helpers.
        indirect_probes: Number of helpers that are asked to probe a member.
        suspicion_factor: Suspicion timeout in probe intervals, per decimal logarithm of the fleet's size.
        gossip_limit: Largest number of reports in one message, besides the one on the sender.
        max_members: Largest number of members that are tracked; reports on further ones are ignored.
        forget_after: Time after which a member that is gone or has left is removed.
    """

    probe_interval: Duration = config_field("period", default=500 * MILLISECOND)
    probe_timeout: Duration = config_field("patience", default=250 * MILLISECOND)
    indirect_probes: int = config_field("through", default=3)
    suspicion_factor: float = config_field("suspicion", default=6.0)
    gossip_limit: int = config_field("told", default=12)
    max_members: int = config_field("most", default=1000)
    forget_after: Duration = config_field("forget", default=600 * SECOND)


RETRANSMIT_FACTOR = 3.0
"""Number of times a report is sent, per decimal logarithm of the fleet's size: lambda in SWIM."""

MIN_TRANSMISSIONS = 2
"""Smallest number of times a report is sent, which applies in the smallest fleets."""

MAX_LOCAL_HEALTH = 8
"""Upper bound of Lifeguard's local health score; timeouts grow to at most nine times their length."""

STALL_PENALTY = 2
"""Increase of the local health score by a stall of this process, which counts more than a failed probe."""


@dataclass(slots=True)
class _Broadcast:
    """A report and the number of times it is still to be sent."""

    transmissions_left: int
    member: Member


class FailureDetector:
    """One gateway's view of the fleet.

    The driver probes `next_probe_target` once per interval and reports the outcome with `probe_succeeded` or
    `probe_failed`. It sends the result of `gossip` with each message, and passes received reports to
    `receive_gossip`.
    """

    def __init__(self, own: Member, config: FailureDetectorConfig, random_generator: random.Random) -> None:
        self.config, self._random = config, random_generator
        self._own = own
        self.members = {own.name: own}
        self._probe_order = list[str]()  # names; the next one to probe is the last
        self._broadcasts = dict[str, _Broadcast]()
        self._suspected_at = dict[str, int]()
        self._gone_at = dict[str, int]()
        self._joined, self.replaced = False, False  # replaced: another process has this name
        self._local_health = 0  # Lifeguard's local health score: 0 is healthy
        self._changes = list[Member]()
        self._broadcast(own)

    @property
    def own(self) -> Member:
        """This gateway as a member, as it announces itself."""
        return self._own

    @property
    def has_joined(self) -> bool:
        """True if another member has acknowledged the present incarnation of this gateway."""
        return self._joined

    def announce(self, **changed: str) -> None:
        """Announces changed fields of this gateway, such as its state, program or settings."""
        sequence_number = self._own.sequence_number + 1
        self._update(replace(self._own, sequence_number=sequence_number, **changed))  # type: ignore[arg-type]

    def leave(self) -> None:
        """Announces that this gateway leaves the fleet."""
        sequence_number = self._own.sequence_number + 1
        self._update(replace(self._own, sequence_number=sequence_number, status=MemberState.LEFT))

    def add_seed(self, name: str, address: str, domain: str = "") -> None:
        """Adds a member that the operators' file lists.

        Its state is not known yet: it is probed, and counts as gone until a report says that it is alive.
        """
        if name not in self.members:
            self.members[name] = Member(name, 0, 0, MemberState.GONE, domain, address)

    def take_changes(self) -> list[Member]:
        """Returns the changed members since the last call, in the order of the changes."""
        changes, self._changes = self._changes, []
        return changes

    # Probes of other members.

    def next_probe_target(self, now: int) -> Member | None:
        """Returns the member to probe in this interval; None where there is no other member.

        Each member is probed once, in shuffled order, before any is probed again. Members that are gone are
        probed as well, so that the two halves of a partitioned fleet find each other again.
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
        """Returns the members to ask for a probe of `target`, which did not reply to this gateway."""
        alive = sorted(
            name
            for name, member in self.members.items()
            if member.status is MemberState.ALIVE and name not in (target, self._own.name)
        )
        count = min(self.config.indirect_probes, len(alive))
        return [self.members[name] for name in self._random.sample(alive, count)]

    def probe_timeout(self) -> int:
        """Returns the time to wait for a reply, which grows while the local health is poor."""
        return self.config.probe_timeout * (1 + self._local_health)

    def suspicion_timeout(self) -> int:
        """Returns the time that a suspect has to refute the suspicion."""
        size_factor = max(1.0, math.log10(max(1, len(self.members))))
        timeout = int(self.config.suspicion_factor * size_factor * self.config.probe_interval)
        return timeout * (1 + self._local_health)

    def probe_succeeded(self) -> None:
        """Improves the local health after a reply.

        The state of the probed member stays: a suspect refutes the suspicion itself, with a later sequence
        number.
        """
        self._local_health = max(0, self._local_health - 1)

    def probe_failed(self, name: str, now: int) -> None:
        """Suspects a member that neither this gateway nor its helpers reached."""
        self._degrade(1)
        member = self.members.get(name)
        if member is not None and member.status is MemberState.ALIVE:
            self._update(replace(member, status=MemberState.SUSPECT))
            self._suspected_at[name] = now

    def process_stalled(self) -> None:
        """Degrades the local health after a stall of this process, as late replies may be its own fault."""
        self._degrade(STALL_PENALTY)

    # Gossip with other members.

    def gossip(self) -> list[Member]:
        """Returns the reports to send next: on this gateway, then those with most transmissions left."""
        pending = sorted(
            self._broadcasts.values(), key=lambda entry: (-entry.transmissions_left, entry.member.name)
        )
        chosen = pending[: self.config.gossip_limit]
        for broadcast in chosen:
            broadcast.transmissions_left -= 1
            if broadcast.transmissions_left <= 0:
                del self._broadcasts[broadcast.member.name]
        others = [entry.member for entry in chosen if entry.member.name != self._own.name]
        return [self._own, *others]

    def gossip_reply(self, sender: Member) -> list[Member]:
        """Returns the reports for a reply: gossip, and the known report on the sender if it is newer."""
        known = self.members.get(sender.name)
        return [*self.gossip(), *([known] if known is not None and known.is_newer_than(sender) else [])]

    def full_state(self) -> list[Member]:
        """Returns all members with a report, for a member that joins; omits seeds without one."""
        return [member for member in self.members.values() if member.incarnation]

    def receive_gossip(self, reports: Iterable[Member], now: int) -> None:
        """Merges reports that another member has sent."""
        for member in reports:
            if member.name == self._own.name:
                self._handle_report_on_self(member)
            elif self._supersedes(member):
                self._update(member)
                self._record_state_time(member, now)

    def acknowledged(self, incarnation: int) -> None:
        """Records that another member replied to this incarnation and reported no later one."""
        self._joined = self._joined or incarnation == self._own.incarnation

    def _supersedes(self, member: Member) -> bool:
        known = self.members.get(member.name)
        if known is None:
            return len(self.members) < self.config.max_members
        return member.is_newer_than(known)

    def _record_state_time(self, member: Member, now: int) -> None:
        if member.status is MemberState.SUSPECT:
            self._suspected_at.setdefault(member.name, now)
        else:
            self._suspected_at.pop(member.name, None)
        if member.status in (MemberState.GONE, MemberState.LEFT):
            self._gone_at[member.name] = now
        else:
            self._gone_at.pop(member.name, None)

    def _handle_report_on_self(self, member: Member) -> None:
        """Handles a report on this gateway.

        A later incarnation that is reported before this gateway has joined stems from before the loss of its
        disk, or from a clock that was ahead: the incarnation is raised past it. After the gateway has joined,
        a later incarnation is that of a successor, and this process is marked as replaced. A report that this
        gateway is suspect or gone is refuted with a later sequence number.
        """
        own = self._own
        if member.incarnation > own.incarnation and self._joined:
            self.replaced = True
        elif member.incarnation > own.incarnation:
            self._update(replace(own, incarnation=member.incarnation + 1, sequence_number=0))
        elif member.is_newer_than(own) and own.status is not MemberState.LEFT:
            self._degrade(1)
            self._update(replace(own, sequence_number=member.sequence_number + 1))

    def _degrade(self, penalty: int) -> None:
        self._local_health = min(MAX_LOCAL_HEALTH, self._local_health + penalty)

    def _expire(self, now: int) -> None:
        """Declares suspects gone after the suspicion timeout, and removes members `forget_after` later."""
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
    """Liveness of a member in the view of one gateway. The values are printed by `vanerelay fleet show`."""

    ALIVE = "alive"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ViewDifference:
    """A member that some gateways see as alive and others as gone, with the names of both groups."""

    name: str
    viewers: tuple[tuple[Liveness, tuple[str, ...]], ...]


def view_differences(views: Mapping[str, Iterable[Member]]) -> list[ViewDifference]:
    """Returns the members that some gateways see as alive and others as gone; `views` by gateway name."""
    opinions = dict[str, dict[Liveness, list[str]]]()
    for viewer in sorted(views):
        for member in views[viewer]:
            alive = member.status in (MemberState.ALIVE, MemberState.SUSPECT)
            liveness = Liveness.ALIVE if alive else Liveness.GONE
            opinions.setdefault(member.name, {}).setdefault(liveness, []).append(viewer)
    return [
        ViewDifference(
            name, tuple((liveness, tuple(names)) for liveness, names in sorted(by_liveness.items()))
        )
        for name, by_liveness in sorted(opinions.items())
        if len(by_liveness) > 1
    ]


def next_incarnation(stored: int, wall_clock_ms: int) -> int:
    """Returns the incarnation of a process that starts.

    It is greater than the stored one and at least the wall clock, so that it also grows without a disk. If
    the clock was ahead before, the other members report the greater incarnation, and the detector raises its
    own past it.
    """
    return max(stored + 1, wall_clock_ms)
