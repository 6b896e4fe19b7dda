"""What a keeper does with its manager: which release runs, what follows it, when it goes back. Pure: told
the time, and of its children what happens to them; it acts through `Hands`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from vanerelay.interface import SECOND, Duration

SOON, LATEST = SECOND // 5, 5 * SECOND  # until one that ended by itself is started again, doubled each time
FALLS = 2  # ends within the probation that send a release back


@dataclass(frozen=True, slots=True)
class Patience:
    """`ready`: for a successor to take batches; `probation`: after it took over, within which two ends by
    itself bring the release before back; `end`: for one to end after SIGTERM, then it is killed."""

    ready: Duration = 30 * SECOND
    probation: Duration = 60 * SECOND
    end: Duration = 60 * SECOND


@dataclass(slots=True, eq=False)
class Child:
    """One process. `ready` once it takes batches; `ending` since when it was told to end."""

    release: str
    started: int
    ready: bool = False
    ending: int = -1
    took_over: int = -1


class Hands(Protocol):
    """What a keeper can do to the world."""

    def start(self, child: Child) -> None: ...

    def end(self, child: Child) -> None: ...

    def kill(self, child: Child) -> None: ...

    def keep(self, release: str) -> None:
        """The release that is to run after a restart of the keeper itself."""


class SupervisorState:
    """`answer` of an order is called once: with why it failed, or None once the successor has taken over."""

    def __init__(self, hands: Hands, patience: Patience, releases: frozenset[str], first: str) -> None:
        self._hands, self.patience, self._releases = hands, patience, releases
        self.current, self.before = first, ""
        self.serving: Child | None = None
        self.successor: Child | None = None
        self._leaving = list[Child]()
        self._answer: Callable[[str | None], None] | None = None
        self._again_at, self._wait, self._falls = -1, SOON, 0
        self.fell = dict[str, str]()  # releases that went back, and why
        self.stopped = False

    def begin(self, now: int) -> None:
        self._start(now)

    def _start(self, now: int) -> None:
        self._again_at = -1
        self.serving = Child(self.current, now, took_over=now)
        self._hands.start(self.serving)

    # Orders.

    def order(self, now: int, release: str, answer: Callable[[str | None], None]) -> None:
        """Another release, or the same afresh, beside the one that runs until it is ready."""
        if release not in self._releases:
            answer(f"no release {release}, expected one of {', '.join(sorted(self._releases))}")
        elif self.successor is not None or self.stopped:
            answer("another successor is on its way" if not self.stopped else "the keeper ends")
        elif release in self.fell and release != self.current:
            answer(self.fell[release])
        else:
            self._answer = answer
            self.successor = Child(release, now)
            self._hands.start(self.successor)

    def forgive(self) -> None:
        """Another change: what fell before may be tried again."""
        self.fell.clear()

    # What happens to children.

    def ready(self, now: int, child: Child) -> None:
        child.ready = True
        if child is not self.successor:
            return
        self.successor = None
        old, self.serving = self.serving, child
        child.took_over = now
        if child.release != self.current:
            self.before, self.current = self.current, child.release
        self._falls, self._wait, self._again_at = 0, SOON, -1
        self._hands.keep(self.current)
        if old is not None:
            self._end(now, old)
        self._tell(None)

    def ended(self, now: int, child: Child, how: str) -> None:
        if child in self._leaving:
            self._leaving.remove(child)
        elif child is self.successor:
            self.successor = None
            self._tell(f"{child.release} ended before it was ready: {how}")
        elif child is self.serving and not self.stopped:
            self.serving = None
            self._fallen(now, child, how)

    def _fallen(self, now: int, child: Child, how: str) -> None:
        """It ended by itself: once is chance, twice soon after it took over is the release's doing."""
        if self.before and now - child.took_over < self.patience.probation:
            self._falls += 1
        else:
            self._falls = 0
        if self._falls >= FALLS:
            self.fell[child.release] = (
                f"{child.release} ended by itself {self._falls} times soon after it took over: {how}"
            )
            self.current, self.before, self._falls = self.before, "", 0
            self._hands.keep(self.current)
            self._start(now)
            return
        if now - child.started > 30 * SECOND:
            self._wait = SOON
        self._again_at = now + self._wait
        self._wait = min(LATEST, 2 * self._wait)

    def look(self, now: int) -> None:
        """In turn: whoever takes too long."""
        if self._again_at >= 0 and now >= self._again_at and not self.stopped:
            self._start(now)
        successor = self.successor
        if successor is not None and now - successor.started > self.patience.ready:
            self.successor = None
            self._leaving.append(successor)
            self._hands.kill(successor)
            self._tell(f"{successor.release} was not ready within {self.patience.ready / SECOND:.0f} s")
        for child in self._leaving:
            if 0 <= child.ending and now - child.ending > self.patience.end:
                child.ending = now
                self._hands.kill(child)

    def stop(self, now: int) -> None:
        """The keeper ends, and its children with it."""
        self.stopped = True
        if self.successor is not None:
            self._leaving.append(self.successor)
            self._hands.kill(self.successor)
            self.successor = None
            self._tell("the keeper ends")
        if self.serving is not None:
            self._end(now, self.serving)
            self.serving = None

    @property
    def done(self) -> bool:
        return self.stopped and not self._leaving

    def _end(self, now: int, child: Child) -> None:
        child.ending = now
        self._leaving.append(child)
        self._hands.end(child)

    def _tell(self, why: str | None) -> None:
        answer, self._answer = self._answer, None
        if answer is not None:
            answer(why)
