"""Messages about leases between gateways, as bytes and back. Pure.

Names on the wire are those of the first release: a field that has another name in Python says so. Messages
that are arrays on the wire must keep the order of their fields.
"""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.leases.voter import Ballot, Grant, Reply, VoterAnswer, VoterMemory, VoterRecord

__all__ = [
    "RELEASED_KIND",
    "STATUS_KIND",
    "VOTE_KIND",
    "MAX_MESSAGE_BYTES",
    "MAX_TASKS_PER_MESSAGE",
    "LeasesStatus",
    "RecordMessage",
    "ReplyMessage",
    "TaskStatus",
    "VoteRequest",
    "VoteResponse",
    "decode",
    "encode",
]

VOTE_KIND = "lease"
"""A `VoteRequest` to a voter, answered by a `VoteResponse`."""
RELEASED_KIND = "lease-free"
"""A notice to the task's preferred gateway that its lease was given back: the task's name."""
STATUS_KIND = "leases"
"""An empty request, answered by a `LeasesStatus`."""

MAX_TASKS_PER_MESSAGE = 200
"""Tasks in one request: the response stays under `MAX_MESSAGE_BYTES`."""


class VoteRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """To a voter, for several tasks at once.

    `version` is that of the voters by which the sender counts. With `read_records` the voter returns all that
    it remembers, of the tasks after `after`.
    """

    version: int = 1
    prepares: list[tuple[str, Ballot]] = []
    accepts: list[tuple[str, Grant]] = []
    read_records: bool = msgspec.field(default=False, name="memory")
    after: str = ""


class ReplyMessage(msgspec.Struct, frozen=True, array_like=True):
    """A voter's reply for one task."""

    answer: VoterAnswer
    grant: Grant
    remaining: int
    promised: Ballot

    @classmethod
    def of(cls, reply: Reply) -> ReplyMessage:
        """The message that carries a reply."""
        return cls(reply.answer, reply.grant, reply.remaining, reply.promised)

    def reply(self) -> Reply:
        """The reply that it carries."""
        return Reply(self.answer, self.grant, self.remaining, self.promised)


class RecordMessage(msgspec.Struct, frozen=True, array_like=True):
    """What a voter remembers of one task. Stored in this form as well."""

    task: str
    promised: Ballot
    grant: Grant

    @classmethod
    def of(cls, task: str, record: VoterRecord) -> RecordMessage:
        """The message that carries a voter's record of a task."""
        return cls(task, record.promised, record.grant)

    def record(self) -> VoterRecord:
        """The record that it carries."""
        return VoterRecord(self.promised, self.grant)


class VoteResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A voter's replies, in the order of the request.

    `memory` is the value of its `VoterMemory`; with `more`, its records go on after the last of `records`.
    """

    memory: str = VoterMemory.READY.value
    era: int = 0
    version: int = 0
    prepares: list[ReplyMessage] = []
    accepts: list[ReplyMessage] = []
    records: list[RecordMessage] = msgspec.field(default_factory=list, name="slots")
    more: bool = False


class TaskStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task as a gateway sees it.

    `operations` are in flight; `rank` is the gateway's place among those that watch the task, -1 for none.
    """

    task: str
    holds: bool = False
    token: int = msgspec.field(default=0, name="number")
    remaining_ms: int = msgspec.field(default=0, name="left_ms")
    operations: int = msgspec.field(default=0, name="deeds")
    rank: int = msgspec.field(default=-1, name="place")


class LeasesStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a gateway stands with leases, for operators.

    `memory` is empty where the gateway does not vote; `reason` says why it does not vote although it should.
    """

    name: str
    voters: list[str] = []
    previous_voters: list[str] = msgspec.field(default_factory=list, name="before")
    version: int = 1
    memory: str = ""
    era: int = 0
    tasks: list[TaskStatus] = msgspec.field(default_factory=list, name="rows")
    requests_sent: int = msgspec.field(default=0, name="sent")
    reason: str = msgspec.field(default="", name="why")
