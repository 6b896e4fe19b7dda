"""Whose orders a gateway, or its supervisor, accepts. Pure; `agent_store` keeps what outlives the process.

A fence is the fencing token of a controller: each controller takes a higher one than all before it, and one
fence belongs to one change.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderId:
    """What tells an order from others.

    `number` is its place in the controller's record; 0 for a claim of the fence, which orders nothing.
    """

    fence: int
    change: str
    number: int = 0


class Fence:
    """The highest fence that was seen, and the last order under it."""

    def __init__(self, text: str = "") -> None:
        """`text` as stored, or as other gateways report it."""
        self.highest, self._change = 0, ""
        self._last_order = 0
        self.learn(text)

    @property
    def last_order(self) -> int:
        """The number of the last order that this process accepted under the highest fence."""
        return self._last_order

    @property
    def text(self) -> str:
        """What is stored, and gossiped so that a gateway which lost its disk learns of it from others."""
        return f"{self.highest}/{self._change}" if self.highest else ""

    def learn(self, text: str) -> bool:
        """Takes what others, or our own store, know; whether it was new."""
        fence, _, change = text.partition("/")
        if not fence.isdecimal() or int(fence) <= self.highest:
            return False
        self.highest, self._change, self._last_order = int(fence), change, 0
        return True

    def refusal(self, order: OrderId, replaced: bool = False, joined: bool = True) -> str | None:
        """Why an order is refused; None where it is not.

        `replaced`: another process has this gateway's name. `joined`: other gateways have replied, or the
        fence was read from disk.
        """
        if replaced:
            return "another process goes by this name"
        if not joined:
            return "no other manager has answered yet: it is not known whose orders count"
        if order.fence < self.highest:
            return (
                f"fence {order.fence}, expected {self.highest} or higher: another controller has taken over"
            )
        if order.fence > self.highest:
            return None
        if self._change != order.change:
            return f"fence {order.fence} is held for {self._change}"
        if order.number and order.number <= self._last_order:
            return f"order {order.number} comes late, {self._last_order} was heeded"
        return None

    def accept(self, order: OrderId) -> None:
        """Accepts an order.

        None that was given before it counts any more: such an order may lie in a socket for as long as this
        process is frozen.
        """
        self._last_order = max(self._last_order, order.number)


def fence_text(order: OrderId) -> str:
    """What is to be stored before an order under a higher fence is accepted."""
    return f"{order.fence}/{order.change}"
