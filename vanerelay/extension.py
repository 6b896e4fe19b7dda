"""How a subsystem joins the served program: what it may see, when it is asked, what it may answer. Types.

`net/` knows this page and no subsystem; a subsystem knows this page and nothing of `net/service.py` or
`net/program.py`. Which subsystems there are stands in `joining.py`, above both."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from vanerelay.interface import Outcome
    from vanerelay.net.attempt_outcome import End
    from vanerelay.net.clock import Clock
    from vanerelay.net.discovery_codec import Change
    from vanerelay.policy.gateway import Gateway

Listed = Callable[["Change"], None]
Answered = Callable[[], None]


class BadStart(Exception):
    """Why the program cannot start, in one line."""


class Host(Protocol):
    """The served program, as a subsystem sees it. `kept`: whether a keeper holds the clients' socket."""

    @property
    def reactor(self) -> Any: ...
    @property
    def clock(self) -> Clock: ...
    @property
    def name(self) -> str: ...
    @property
    def seed(self) -> int: ...
    @property
    def kept(self) -> bool: ...
    @property
    def profile(self) -> dict[str, Any]:
        """The settings in force."""

    @property
    def limits(self) -> Mapping[str, Any]:
        """What the platform gives us, as it names it."""

    @property
    def places(self) -> Mapping[str, int]:
        """Locations by name; `kinds` likewise."""

    @property
    def kinds(self) -> Mapping[str, int]: ...
    @property
    def gateway(self) -> Gateway:
        """The module, for those that hand its decisions on."""

    def addresses(self) -> dict[int, str]:
        """Where each engine is listed, by the module's index."""

    def settle(self, settings: dict[str, Any]) -> str | None:
        """Goes on under other settings of the fleet's; why it can't."""

    def order(self, engine: int, words: Sequence[bytes], ident: bytes, patience_s: float) -> Deferred[End]:
        """A command to an engine that is no batch. The Deferred never fails."""

    def large(self) -> None:
        """A change of many engines is in force."""

    def own(self, group: str, statement: str, engine: int, memory: float, lasts: int) -> Own | None:
        """A batch of ours at one engine, decided on as any; None where it can't be taken now."""


@dataclass(frozen=True, slots=True)
class Want:
    """A batch as it comes. `goal`: how long its service group's response goal is; `left`: until its time
    limit. Both in the module's unit."""

    ref: str
    group: str
    statement: str
    goal: int
    left: int


@dataclass(frozen=True, slots=True)
class Ran:
    """A batch that an engine has answered: the table group that it is known by, 0 for none, and whether it
    wrote; `work` as the engine told it, in the module's unit; `own`: one of ours, for nobody's client."""

    tables: int
    writes: bool
    engine: int
    work: int
    own: bool


class Own(Protocol):
    """A batch of ours, for nobody's client. `done` fires with the frames' code, and never fails."""

    @property
    def done(self) -> Deferred[int]: ...

    def withdraw(self) -> None:
        """Nobody waits for it any more."""


class Lead(Protocol):
    """A batch that a subsystem leads, and that the module does not have before it was told among which
    engines."""

    def among(self, engines: frozenset[int] | None) -> None:
        """These may serve it from now on, for each further dispatch as well; None: all."""

    def refuse(self, wait: int) -> None:
        """Nobody may serve it: pushed back at once, with a time to return. Nothing where it is taken."""


class Guide:
    """How a subsystem leads one batch: each call as it happens, all of them empty here."""

    def begin(self, lead: Lead) -> None:
        """The batch is held. `lead` is told at once or later."""
        lead.among(None)

    def sent(self, engine: int) -> None:
        """A dispatch goes out."""

    def accepts(self, engine: int, told: Mapping[str, str]) -> bool:
        """Whether an answer that came may be handed on; else it counts as spoilt, and another may follow."""
        return True

    def missed(self, engine: int, outcome: Outcome) -> None:
        """A dispatch ended without an answer."""

    def fields(self) -> dict[str, str]:
        """Words for the answer that was accepted."""
        return {}

    def over(self) -> None:
        """The batch has its final answer, or nobody waits for it."""


class Part:
    """One subsystem in the program: each call in the order of this page, all of them empty here."""

    busy = False  # whether something is under way that a long pass would disturb

    def settings(self, profile: dict[str, Any]) -> dict[str, Any]:
        """The settings to start with, in place of those configured."""
        return profile

    def again(self, profile: dict[str, Any]) -> dict[str, Any]:
        """The same where the configuration is read once more."""
        return profile

    def between(self, listed: Listed, answered: Answered | None) -> tuple[Listed, Answered | None]:
        """What is told of the control feed's changes, and of whether it answers, in place of these."""
        return listed, answered

    def open(self) -> None:
        """The list of the start is in force. Raises BadStart."""

    def begin(self) -> None:
        """All parts are open. Raises BadStart."""

    def running(self) -> None:
        """The loop is about to run."""

    def listed(self, change: Change) -> None:
        """A change of the list is in force."""

    def guide(self, want: Want) -> Guide | str | None:
        """Who leads a batch; None: nobody, words for its client where it can't be served as it asks."""
        return None

    def ran(self, ran: Ran) -> None:
        """An engine has answered a batch, and its answer was handed on."""

    def answered(self, group: str, utility: float, code: int, tenths: int, dispatches: int) -> None:
        """What became of a batch: the part of its utility that its answer earned, the frames' code, how long
        it took, how many dispatches it had."""

    def refuses(self, profile: dict[str, Any]) -> str | None:
        """Why these settings can't take the place of those in force."""
        return None

    def switched(self, profile: dict[str, Any]) -> dict[str, Any]:
        """These settings are in force; words for the log."""
        return {}

    def draining(self) -> None:
        """Nothing new is to be begun."""

    def stop(self) -> Deferred[Any] | None:
        """All batches are answered; fires once it has ended, None where it has."""
        return None


def tells(part: Part, name: str) -> bool:
    """Whether a part wants to be told of something, so that nothing is worked out for nobody."""
    return getattr(type(part), name) is not getattr(Part, name)
