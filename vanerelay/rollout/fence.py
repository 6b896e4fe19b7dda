"""Decides whose orders a gateway or its supervisor accepts. Pure; `agent_store` stores the fence on disk.

A fence is the fencing token of a controller. Each controller claims a higher fence than all controllers
before it, and each fence belongs to one change.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class OrderId:
    """The identity of an order.

    Attributes:
        fence: The fence of the controller that gave the order.
        change: The name of the change.
        number: The position of the order in the controller's record; 0 for a claim of the fence, which orders
            nothing.
    """

    fence: int
    change: str
    number: int = 0


class Fence:
    """The highest known fence, and the last order accepted under it.

    Attributes:
        highest: The highest known fence; 0 if none is known.
    """

    def __init__(self, text: str = "") -> None:
        """Starts from a fence as stored or as reported by other gateways; an empty text for none."""
        self.highest, self._change = 0, ""
        self._last_order = 0
        self.observe(text)

    @property
    def last_order(self) -> int:
        """The number of the last order accepted by this process under the highest fence; 0 if none was."""
        return self._last_order

    @property
    def text(self) -> str:
        """The fence as text, to be stored and gossiped; empty if none is known.

        It is gossiped so that a gateway that has lost its disk learns it from the others.
        """
        return f"{self.highest}/{self._change}" if self.highest else ""

    def observe(self, text: str) -> bool:
        """Adopts a stored or reported fence if it is higher than the known one; returns True if it was."""
        fence, _, change = text.partition("/")
        if not fence.isdecimal() or int(fence) <= self.highest:
            return False
        self.highest, self._change, self._last_order = int(fence), change, 0
        return True

    def refusal_reason(self, order: OrderId, replaced: bool = False, joined: bool = True) -> str | None:
        """Returns why an order is refused, or None if it is not.

        Args:
            order: The order to check.
            replaced: True if another process has taken over the name of this gateway.
            joined: True if another gateway has replied, there is no other gateway, or the fence is stored on
                disk. Otherwise a higher fence may exist that this gateway does not know.
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
        """Records that an order is accepted; orders with the same or a lower number are refused from now on.

        An earlier order can still arrive afterwards: while this process is frozen, orders wait in a socket.
        """
        self._last_order = max(self._last_order, order.number)


def fence_text(order: OrderId) -> str:
    """Returns the text to store before an order under a higher fence is accepted."""
    return f"{order.fence}/{order.change}"
