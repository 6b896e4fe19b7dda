"""One connection of a gateway to an engine of a run: RESP arrays of bulk strings in, replies out."""

from __future__ import annotations

from typing import Protocol

from vanerelay.lab.faulty_connection import FaultyConnection
from vanerelay.net.resp_codec import command

LINE_END = b"\r\n"


class ArrayReader:
    """Reads RESP arrays of bulk strings, as gateways send them."""

    def __init__(self) -> None:
        self._received = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]] | None:
        """The arrays that are complete now; None where the data is no array."""
        self._received += data
        arrays = list[list[bytes]]()
        while True:
            array = self._next_array()
            if array is None:
                return None
            if not array:
                return arrays
            arrays.append(array)

    def _next_array(self) -> list[bytes] | None:
        """One array; empty where it is not complete yet; None where it is none."""
        end = self._received.find(LINE_END)
        if end < 0:
            return []
        if self._received[:1] != b"*":
            return None
        parts, position = list[bytes](), end + 2
        for _ in range(int(self._received[1:end])):
            end = self._received.find(LINE_END, position)
            if end < 0:
                return []
            size = int(self._received[position + 1 : end])
            if len(self._received) < end + 4 + size:
                return []
            parts.append(bytes(self._received[end + 2 : end + 2 + size]))
            position = end + 4 + size
        del self._received[:position]
        return parts


class RequestHandler(Protocol):
    """What an engine does with the requests of its sessions."""

    def serve(self, session: EngineSession, attempt: bytes, fields: dict[str, str], body: bytes) -> None:
        """Runs a query."""

    def cancel(self, session: EngineSession, attempt: bytes) -> None:
        """Cancels an attempt."""

    def operate(
        self, session: EngineSession, request: bytes, fields: dict[str, str], first_table: int | None = None
    ) -> None:
        """A leased operation; `first_table`: it asks for replication positions from there on."""

    def session_closed(self, session: EngineSession) -> None:
        """A session has ended."""


class EngineSession:
    """One connection of one gateway.

    Attributes:
        number: of all sessions of the engine.
    """

    def __init__(self, handler: RequestHandler, connection: FaultyConnection, number: int) -> None:
        self._handler, self._connection, self.number = handler, connection, number
        self.gateway = connection.client
        self._reader = ArrayReader()

    def key(self, attempt: bytes) -> str:
        """An attempt's key at the engine."""
        return f"{self.number}/{attempt.decode()}"

    def deliver(self, data: bytes) -> None:
        """The gateway has sent (a part of) requests."""
        requests = self._reader.feed(data)
        if requests is None:
            self._connection.reset()
            return
        for request in requests:
            self._handle(request)

    def _handle(self, request: list[bytes]) -> None:
        match request:
            case [b"serve", attempt, fields, body, *_]:
                self._handler.serve(self, attempt, read_fields(fields), body)
            case [b"cancel", attempt, *_]:
                self._handler.cancel(self, attempt)
            case [b"order", number, fields, *_]:
                self._handler.operate(self, number, read_fields(fields))
            case [b"copies", number, fields, first_table, *_] if first_table.isdigit():
                self._handler.operate(self, number, read_fields(fields), int(first_table))
            case [b"health", number, *_]:
                self.reply(number, b"UP", b"-")

    def closed(self, was_reset: bool) -> None:
        """The connection is over."""
        self._handler.session_closed(self)

    def set_flowing(self, is_flowing: bool) -> None:
        """Nothing to pause: replies are short, and made only as attempts end."""

    def reply(self, request: bytes, word: bytes, fields: bytes, body: bytes = b"") -> None:
        """Sends a reply."""
        self._connection.send(self, command(request, word, fields, body))


def read_fields(text: bytes) -> dict[str, str]:
    """The fields `name=value,name=value` of a request."""
    return dict(pair.split("=", 1) for pair in text.decode().split(",") if "=" in pair)


__all__ = ["ArrayReader", "EngineSession"]
