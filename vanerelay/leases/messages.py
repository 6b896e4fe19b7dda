"""Messages about leases between gateways, and their encoding. Pure.

Names on the wire are those of the first release; a field whose Python name differs gives the wire name with
`name=`. Messages that are arrays on the wire must keep the order of their fields.
"""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.leases.voter import Ballot, Grant, Reply, VoterAnswer, VoterRecord, VoterStatus

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
"""Message kind of a `VoteRequest` to a voter, answered by a `VoteResponse`."""
RELEASED_KIND = "lease-free"
"""Message kind of a notice, to a task's preferred gateway, that the lease was released: the task's name."""
STATUS_KIND = "leases"
"""Message kind of an empty request that is answered by a `LeasesStatus`."""

MAX_TASKS_PER_MESSAGE = 200
"""Limit of tasks in one request, so that the response stays under `MAX_MESSAGE_BYTES`."""


class VoteRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request to a voter, for several tasks at once.

    `version` is the version of the voters that the sender is configured with. With `read_records` the voter
    returns its records of tasks whose names sort after `after`.
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
        """Returns the message for a reply."""
        return cls(reply.answer, reply.grant, reply.remaining, reply.promised)

    def reply(self) -> Reply:
        """Returns the reply in this message."""
        return Reply(self.answer, self.grant, self.remaining, self.promised)


class RecordMessage(msgspec.Struct, frozen=True, array_like=True):
    """A voter's record of one task. The voter's store has records in this form as well."""

    task: str
    promised: Ballot
    grant: Grant

    @classmethod
    def of(cls, task: str, record: VoterRecord) -> RecordMessage:
        """Returns the message for a voter's record of a task."""
        return cls(task, record.promised, record.grant)

    def record(self) -> VoterRecord:
        """Returns the record in this message."""
        return VoterRecord(self.promised, self.grant)


class VoteResponse(msgspec.Struct, frozen=True, omit_defaults=True):
    """A voter's replies, in the order of the request.

    `memory` is the value of its `VoterStatus`; with `more`, there are further records after the last of
    `records`.
    """

    memory: str = VoterStatus.READY.value
    era: int = 0
    version: int = 0
    prepares: list[ReplyMessage] = []
    accepts: list[ReplyMessage] = []
    records: list[RecordMessage] = msgspec.field(default_factory=list, name="slots")
    more: bool = False


class TaskStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Status of one task at a gateway.

    `operations` is the number in flight; `rank` is the gateway's rank among those that watch the task, -1
    where it does not watch it.
    """

    task: str
    holds: bool = False
    token: int = msgspec.field(default=0, name="number")
    remaining_ms: int = msgspec.field(default=0, name="left_ms")
    operations: int = msgspec.field(default=0, name="deeds")
    rank: int = msgspec.field(default=-1, name="place")


class LeasesStatus(msgspec.Struct, frozen=True, omit_defaults=True):
    """Status of leases at a gateway, for operators.

    `memory` is the value of its voter's `VoterStatus`, empty where it is no voter; `reason` says why a voter
    does not vote at present.
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
