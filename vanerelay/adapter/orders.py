"""Encodes the orders of a gateway for the simulator, under the names of the simulator's protocol."""

from __future__ import annotations

import base64
from typing import Any

from vanerelay.settings import MICROSECONDS_PER_TICK

Order = dict[str, Any]


class OrderEncoder:
    """Encodes the orders of one gateway. Times are passed in ticks and encoded in microseconds."""

    def __init__(self, gateway: int) -> None:
        self._gateway = gateway

    def _order(self, verb: str, **fields: Any) -> Order:
        return {"verb": verb, "manager": self._gateway, **fields}

    def send_attempt(self, query: str, engine: str, timeout: int) -> Order:
        """Returns the order to send a query to an engine."""
        return self._order("deliver", requestId=query, capUs=timeout * MICROSECONDS_PER_TICK, engine=engine)

    def grant_memory(self, query: str, memory: float, priority: int) -> Order:
        """Returns the order to set the memory grant, in MB, and the priority of a query's next attempt."""
        return self._order("equip", requestId=query, workspaceMb=memory, lane=priority)

    def reject(self, query: str, retry_after: int) -> Order:
        """Returns the order to reject a query. If `retry_after` is 0, no retry time is stated."""
        if retry_after > 0:
            return self._order("bounce", requestId=query, waitUs=retry_after * MICROSECONDS_PER_TICK)
        return self._order("bounce", requestId=query)

    def fail(self, query: str) -> Order:
        """Returns the order to answer that a query failed."""
        return self._order("finishError", requestId=query)

    def cancel_attempt(self, query: str, number: int) -> Order:
        """Returns the order to cancel an attempt."""
        return self._order("revoke", requestId=query, seqNo=number)

    def send_to_peers(self, peer: int | None, data: bytes) -> Order:
        """Returns the order to send a datagram to a gateway, or to all others if `peer` is None."""
        recipient: int | str = "*" if peer is None else peer
        return self._order("broadcastTo", recipient=recipient, data=base64.b64encode(data).decode())

    def probe_engine(self, engine: str) -> Order:
        """Returns the order to probe an engine for its load."""
        return self._order("inspect", engine=engine)

    def subscribe_to_engine_list(self) -> Order:
        """Returns the order to request the engine list."""
        return self._order("subscribe", enable=True)

    def set_timer(self, delay: int, key: int) -> Order:
        """Returns the order to fire a timer with this key after a delay."""
        return self._order("setTimer", waitUs=max(0, delay) * MICROSECONDS_PER_TICK, keyBack=key)

    def log(self, text: str) -> Order:
        """Returns the order to write a line to the log."""
        return self._order("log", message=text)

    def fatal(self, cause: str) -> Order:
        """Returns the order that reports an internal error of the gateway and ends the run."""
        return self._order("fatal", message=cause)
