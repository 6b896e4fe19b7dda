"""What a gateway orders on the simulator's wire, with the wire's names."""

from __future__ import annotations

import base64
from typing import Any

from vanerelay.settings import MICROSECONDS_PER_TICK

Order = dict[str, Any]


class OrderEncoder:
    """Encodes the orders of one gateway. Times are given in ticks and go out in microseconds."""

    def __init__(self, gateway: int) -> None:
        self._gateway = gateway

    def _order(self, verb: str, **fields: Any) -> Order:
        return {"verb": verb, "manager": self._gateway, **fields}

    def send_attempt(self, query: str, engine: str, timeout: int) -> Order:
        """Sends a query to an engine."""
        return self._order("deliver", requestId=query, capUs=timeout * MICROSECONDS_PER_TICK, engine=engine)

    def grant_memory(self, query: str, memory: float, priority: int) -> Order:
        """Sets grant and priority of the attempt that is sent next."""
        return self._order("equip", requestId=query, workspaceMb=memory, lane=priority)

    def reject(self, query: str, retry_after: int) -> Order:
        """Rejects a query; 0: without a time to retry after."""
        if retry_after > 0:
            return self._order("bounce", requestId=query, waitUs=retry_after * MICROSECONDS_PER_TICK)
        return self._order("bounce", requestId=query)

    def fail(self, query: str) -> Order:
        """Answers that a query failed."""
        return self._order("finishError", requestId=query)

    def cancel_attempt(self, query: str, number: int) -> Order:
        """Cancels an attempt."""
        return self._order("revoke", requestId=query, seqNo=number)

    def send_to_peers(self, peer: int | None, data: bytes) -> Order:
        """Sends a datagram to a gateway, or to all."""
        recipient: int | str = "*" if peer is None else peer
        return self._order("broadcastTo", recipient=recipient, data=base64.b64encode(data).decode())

    def probe_engine(self, engine: str) -> Order:
        """Asks an engine for its load."""
        return self._order("inspect", engine=engine)

    def subscribe_to_engine_list(self) -> Order:
        """Asks for the engine list."""
        return self._order("subscribe", enable=True)

    def set_timer(self, delay: int, key: int) -> Order:
        """Asks to be called back."""
        return self._order("setTimer", waitUs=max(0, delay) * MICROSECONDS_PER_TICK, keyBack=key)

    def log(self, text: str) -> Order:
        """Writes a line to the log."""
        return self._order("log", message=text)

    def fatal(self, cause: str) -> Order:
        """Says that the gateway met a fault; it ends the run."""
        return self._order("fatal", message=cause)
