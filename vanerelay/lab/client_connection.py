"""Connections of a run's clients to gateways: the users' frames out, answers in."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Any, Protocol

from vanerelay.lab.event_log import QueryResult
from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.lab.schedule import ClientRequest
from vanerelay.net.frames import MAX_OPEN_REQUESTS, FrameKind, encode_frame

FRAME_HEAD = struct.Struct(">IBI")
LENGTH_BYTES = 4
"""Of a frame's length, which it does not count itself."""
RESULTS = {0: QueryResult.COMPLETED, 1: QueryResult.REJECTED, 2: QueryResult.FAILED}
"""By the code of an answer."""


@dataclass(slots=True)
class ClientQuery:
    """One query of a request, on its way.

    Attributes:
        began: by the histories' clock.
    """

    request: ClientRequest
    reference: str
    gateway: str
    stream: int = 0
    timer: Any = None
    began: int = 0
    hint: str = ""

    def stop_timer(self) -> None:
        """Nobody waits for it any more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self.timer = None


@dataclass(frozen=True, slots=True)
class Answer:
    """A gateway's answer to a query."""

    result: QueryResult
    fields: dict[str, str]
    body: bytes

    @classmethod
    def read(cls, payload: bytes) -> Answer:
        """Reads the payload of an answer's frame."""
        fields, position = dict[str, str](), 2
        for _ in range(payload[1]):
            name_end = position + 1 + payload[position]
            length = int.from_bytes(payload[name_end : name_end + 2], "big")
            value = payload[name_end + 2 : name_end + 2 + length]
            fields[payload[position + 1 : name_end].decode()] = value.decode()
            position = name_end + 2 + length
        return cls(RESULTS.get(payload[0], QueryResult.FAILED), fields, payload[position:])


class AnswerHandler(Protocol):
    """What clients do with what comes on their connections."""

    def answered(self, query: ClientQuery, answer: Answer) -> None:
        """A query was answered."""

    def closing(self, gateway: str) -> None:
        """A gateway takes no more queries on a connection."""

    def connection_closed(self, connection: ClientConnection, queries: list[ClientQuery]) -> None:
        """A connection is over, with the queries that were open on it."""


class ClientConnection:
    """One connection of clients to one gateway."""

    def __init__(self, handler: AnswerHandler, gateway: str, connection: FaultyConnection) -> None:
        self._handler, self.gateway, self._connection = handler, gateway, connection
        self._open, self._last_stream, self._received = dict[int, ClientQuery](), 0, bytearray()
        self.is_closing = False

    @property
    def is_free(self) -> bool:
        """Whether it takes one more query."""
        return not self.is_closing and len(self._open) < MAX_OPEN_REQUESTS

    def send(self, query: ClientQuery, payload: bytes) -> None:
        """Sends a query."""
        self._last_stream += 1
        query.stream = self._last_stream
        self._open[query.stream] = query
        self._connection.send(self, encode_frame(FrameKind.REQUEST, query.stream, payload))

    def cancel(self, query: ClientQuery) -> None:
        """The client gives a query up."""
        if self._open.pop(query.stream, None) is not None:
            self._connection.send(self, encode_frame(FrameKind.CANCEL, query.stream))

    def deliver(self, data: bytes) -> None:
        """The gateway has sent (a part of) frames."""
        self._received += data
        while len(self._received) >= FRAME_HEAD.size:
            length, kind, stream = FRAME_HEAD.unpack_from(self._received)
            if len(self._received) < LENGTH_BYTES + length:
                return
            payload = bytes(self._received[FRAME_HEAD.size : LENGTH_BYTES + length])
            del self._received[: LENGTH_BYTES + length]
            self._handle(kind, stream, payload)

    def _handle(self, kind: int, stream: int, payload: bytes) -> None:
        if kind == FrameKind.GO_AWAY:
            self.is_closing = True
            self._handler.closing(self.gateway)
        elif kind == FrameKind.ANSWER and stream in self._open:
            answer = Answer.read(payload)
            self._handler.answered(self._open.pop(stream), answer)

    def closed(self, was_reset: bool) -> None:
        """The connection is over."""
        self.is_closing = True
        queries, self._open = self._open, {}
        self._handler.connection_closed(self, list(queries.values()))

    def set_flowing(self, is_flowing: bool) -> None:
        """Nothing to pause: clients are an open loop."""

    def close(self) -> None:
        """Closes the connection from the client's side."""
        self.is_closing = True
        self._connection.close(self)


__all__ = ["Answer", "ClientConnection", "ClientQuery"]
