"""Flap damping: an engine that comes back too often is held off for a while. Pure."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass

from vanerelay.config_field import config_field
from vanerelay.interface import SECOND, Duration

MAX_WATCHED_ENGINES = 20_000
"""Engines whose returns are counted; past these the one removed longest ago is forgotten."""


@dataclass(frozen=True, slots=True)
class FlapDampingConfig:
    """When an engine flaps, the `flapping` block.

    Attributes:
        max_returns: Returns within `window` that are allowed; 0: an engine is never held off.
        window: The time in which returns are counted.
        hold_off: How long after its last removal an engine that flaps is held off.
    """

    max_returns: int = config_field("returns", default=3)
    window: Duration = config_field("span", default=60 * SECOND)
    hold_off: Duration = config_field("hold", default=30 * SECOND)


class _EngineReturns:
    """How often one engine came back of late."""

    __slots__ = ("removed_at", "returned_at")

    def __init__(self) -> None:
        self.removed_at, self.returned_at = 0, deque[int]()


class FlapDamper:
    """Counts the returns of engines and says which may come back."""

    def __init__(self, config: FlapDampingConfig) -> None:
        self._config = config
        self._returns: OrderedDict[str, _EngineReturns] = OrderedDict()  # the one removed longest ago first
        self._held_off_until: dict[str, int] = {}

    def is_held_off(self, name: str) -> bool:
        """Whether an engine would be in service but for its returns."""
        return name in self._held_off_until

    def may_return(self, now: int, name: str) -> bool:
        """Counts the return of an engine, unless it has come back too often: then it is held off."""
        returns = self._returns.get(name)
        if returns is None:
            return True
        while returns.returned_at and returns.returned_at[0] <= now - self._config.window:
            returns.returned_at.popleft()
        if len(returns.returned_at) >= self._config.max_returns:
            held_off_until = returns.removed_at + self._config.hold_off
            if now < held_off_until:
                self._held_off_until[name] = held_off_until
                return False
            returns.returned_at.clear()
        returns.returned_at.append(now)
        return True

    def not_in_service(self, now: int, name: str, was_in_service: bool) -> None:
        """An engine is not to be in service, whatever its returns."""
        was_held_off = self._held_off_until.pop(name, None) is not None
        if not (was_held_off or was_in_service) or not self._config.max_returns:
            return
        returns = self._returns.setdefault(name, _EngineReturns())
        returns.removed_at = now
        self._returns.move_to_end(name)
        if len(self._returns) > MAX_WATCHED_ENGINES:
            self._returns.popitem(last=False)

    def release(self, now: int) -> list[str]:
        """Engines that are held off no longer; forgets those that have been removed long ago."""
        released = [name for name, until in self._held_off_until.items() if until <= now]
        for name in released:
            del self._held_off_until[name]
        while self._returns:
            name, returns = next(iter(self._returns.items()))
            if now - returns.removed_at < self._config.window + self._config.hold_off:
                break
            del self._returns[name]
        return released

    def deadlines(self) -> Iterable[int]:
        """When engines are held off no longer."""
        return self._held_off_until.values()
