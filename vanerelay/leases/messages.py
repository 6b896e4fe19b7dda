"""What managers say to each other of leases, as bytes and back. Pure."""

from __future__ import annotations

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.leases.voter import Ballot, Grant, Reply, VoterAnswer, VoterRecord

__all__ = [
    "AT_ONCE",
    "MAX_MESSAGE_BYTES",
    "Answer",
    "Ask",
    "Replied",
    "Row",
    "Told",
    "View",
    "encode",
    "decode",
]

AT_ONCE = 200  # tasks asked for in one message: its answer stays under what a message may be


class Ask(msgspec.Struct, frozen=True, omit_defaults=True):
    """To a voter, for several tasks at once. `version`: of the voters that the asker counts by; `memory`: all
    that it remembers, of tasks after `after`."""

    version: int = 1
    prepares: list[tuple[str, Ballot]] = []
    accepts: list[tuple[str, Grant]] = []
    memory: bool = False
    after: str = ""


class Replied(msgspec.Struct, frozen=True, array_like=True):
    said: VoterAnswer
    grant: Grant
    left: int
    promised: Ballot

    def reply(self) -> Reply:
        return Reply(self.said, self.grant, self.left, self.promised)


class Told(msgspec.Struct, frozen=True, array_like=True):
    """One task of a voter's memory."""

    task: str
    promised: Ballot
    grant: Grant

    def slot(self) -> VoterRecord:
        return VoterRecord(self.promised, self.grant)


class Answer(msgspec.Struct, frozen=True, omit_defaults=True):
    """In the order of what was asked. `memory`: how it stands with the voter; `more`: where its memory goes
    on."""

    memory: str = "knows"
    era: int = 0
    version: int = 0
    prepares: list[Replied] = []
    accepts: list[Replied] = []
    slots: list[Told] = []
    more: bool = False


class Row(msgspec.Struct, frozen=True, omit_defaults=True):
    """One task as a manager knows it; times in milliseconds."""

    task: str
    holds: bool = False
    number: int = 0
    left_ms: int = 0
    deeds: int = 0
    place: int = -1


class View(msgspec.Struct, frozen=True, omit_defaults=True):
    """How a manager stands with leases, for people. `memory` is empty where it does not vote."""

    name: str
    voters: list[str] = []
    before: list[str] = []
    version: int = 1
    memory: str = ""
    era: int = 0
    rows: list[Row] = []
    sent: int = 0
    why: str = ""


def replied(reply: Reply) -> Replied:
    return Replied(reply.said, reply.grant, reply.left, reply.promised)
