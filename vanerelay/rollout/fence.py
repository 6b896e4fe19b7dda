"""Whose orders a manager heeds: pure. `store.py` keeps what outlives its process."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Order:
    """`number`: of the order in the controller's record; 0 for a claim, which orders nothing."""

    fence: int
    change: str
    number: int = 0


class Fence:
    """One fence belongs to one change: another controller takes a higher one. `told` is what is kept of
    it, and what other managers are told, so that one that lost its disk learns of it from them."""

    def __init__(self, told: str = "") -> None:
        self.highest, self._change = 0, ""
        self._number = 0  # of the last order heeded under this fence, by this process
        self.learn(told)

    @property
    def heeded(self) -> int:
        """The number of the last order under the highest fence."""
        return self._number

    @property
    def told(self) -> str:
        return f"{self.highest}/{self._change}" if self.highest else ""

    def learn(self, told: str) -> bool:
        """What others, or our own folder, know of; whether it was news."""
        number, _, change = told.partition("/")
        if not number.isdecimal() or int(number) <= self.highest:
            return False
        self.highest, self._change, self._number = int(number), change, 0
        return True

    def refuses(self, order: Order, replaced: bool = False, joined: bool = True) -> str | None:
        """Why an order is not heeded; None if it is."""
        if replaced:
            return "another process goes by this name"
        if not joined:
            return "no other manager has answered yet: it is not known whose orders count"
        if order.fence < self.highest:
            return (
                f"fence {order.fence}, expected {self.highest} or higher: another controller has taken over"
            )
        if order.fence == self.highest and self._change != order.change:
            return f"fence {order.fence} is held for {self._change}"
        if order.number and order.fence == self.highest and order.number <= self._number:
            return f"order {order.number} comes late, {self._number} was heeded"
        return None

    def heed(self, order: Order) -> None:
        """Nothing that was ordered before it counts any more: it may lie in a socket for as long as we
        sleep."""
        self._number = max(self._number, order.number)

    def after(self, order: Order) -> str:
        """What is to be kept before the order is heeded."""
        return f"{order.fence}/{order.change}"
