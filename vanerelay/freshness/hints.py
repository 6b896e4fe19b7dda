"""Reads a query's freshness hint out of a comment of its statement. Pure.

    /*+ vanerelay stale<=5s behind<=3 after=LOAD-REF at>=2:117 pin=closing-17 for=30s else=wait */

A comment that begins so and cannot be read is an error, never passed over. The inside is parsed by lark;
a small pattern finds where comments begin and end, so that one within a string is none.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import VisitError

from vanerelay.freshness.replication_positions import Position
from vanerelay.interface import SECOND, Duration

HINT_START = "/*+"
HINT_NAME = "vanerelay"

MAX_HINT_CHARACTERS = 256
"""The longest hint: all of its items once, with the longest names."""

MAX_CACHED_HINTS = 1000
"""Parsed hints that are cached: applications write the same ones again."""

_UNITS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
_STRINGS_AND_COMMENTS = re.compile(
    r"""'[^']*+(?:''[^']*+)*+(?:'|\Z)|"[^"]*+(?:""[^"]*+)*+(?:"|\Z)|--[^\n]*+"""
    r"""|/\*((?:[^*]++|\*(?!/))*+)(\*/|\Z)""",
    re.DOTALL,
)


class Fallback(Enum):
    """What is done where no replica is known to be fresh enough; the values are the hint's words."""

    WAIT = "wait"
    """Wait within the latency objective, then as REJECT."""
    SOURCE = "source"
    """Read from the source; the answer says how old it may be."""
    FRESHEST = "freshest"
    """Read from the freshest replica; the answer says how old it may be."""
    REJECT = "refuse"
    """Reject at once, with a time to retry after."""


@dataclass(frozen=True, slots=True)
class Hint:
    """What a read demands.

    Attributes:
        max_staleness: The read holds all loads that had ended so long before it was received.
        max_loads_behind: Except for the last few of them.
        after_load: It holds the load with this reference.
        min_position: It holds this position.
        session: A session that never goes back.
        session_lifetime: How long the session is remembered after its last read.
    """

    max_staleness: Duration | None = None
    max_loads_behind: int = 0
    after_load: str = ""
    min_position: Position | None = None
    session: str = ""
    session_lifetime: Duration = 30 * SECOND
    fallback: Fallback = Fallback.WAIT


class HintError(Exception):
    """What is wrong with a hint, in one line."""


_GRAMMAR = r"""
start: item+
item: "stale" "<=" TIME -> stale
    | "behind" "<=" COUNT -> behind
    | "after" "=" NAME -> after
    | "at" ">=" POINT -> at
    | "pin" "=" NAME -> pin
    | "for" "=" TIME -> lasts
    | "else" "=" CHOICE -> otherwise
TIME: /[0-9]{1,6}(\.[0-9]{1,3})?(ms|s|m|h)(?![^\s])/
COUNT: /[0-9]{1,6}(?![^\s])/
POINT: /[0-9]{1,15}:[0-9]{1,15}(?![^\s])/
NAME: /[A-Za-z0-9_.\-]{1,64}(?![^\s])/
CHOICE: /(wait|source|freshest|refuse)(?![^\s])/
%ignore /\s+/
"""
_EXPECTED = "after=, at>=, behind<=, else=, for=, pin=, stale<="

_HINT_FIELDS = {
    "stale": "max_staleness",
    "behind": "max_loads_behind",
    "after": "after_load",
    "at": "min_position",
    "pin": "session",
    "lasts": "session_lifetime",
    "otherwise": "fallback",
}
"""The fields of a Hint by the items of the grammar, whose names errors show to clients."""

_Item = tuple[str, Any]


class _HintReader(Transformer[Token, dict[str, Any]]):
    """Turns a parsed hint into values by item; each method is named for its item."""

    def start(self, items: list[_Item]) -> dict[str, Any]:
        values = dict(items)
        if len(values) < len(items):
            names = [name for name, _ in items]
            raise HintError(f"{next(name for name in names if names.count(name) > 1)} is told twice")
        return values

    def stale(self, tokens: list[Token]) -> _Item:
        return "stale", _parse_duration(tokens[0])

    def lasts(self, tokens: list[Token]) -> _Item:
        return "lasts", _parse_duration(tokens[0])

    def behind(self, tokens: list[Token]) -> _Item:
        return "behind", int(tokens[0])

    def after(self, tokens: list[Token]) -> _Item:
        return "after", str(tokens[0])

    def at(self, tokens: list[Token]) -> _Item:
        return "at", Position.parse(tokens[0])

    def pin(self, tokens: list[Token]) -> _Item:
        return "pin", str(tokens[0])

    def otherwise(self, tokens: list[Token]) -> _Item:
        return "otherwise", Fallback(tokens[0])


def _parse_duration(text: str) -> Duration:
    unit = text.lstrip("0123456789.")
    return round(float(text[: -len(unit)]) * _UNITS[unit])


_PARSER = Lark(_GRAMMAR, parser="lalr", lexer="contextual", transformer=None)


def find_hint(statement: str) -> str | None:
    """The inside of a statement's hint; None where it has none.

    Raises HintError where there are two, or one without an end.
    """
    if HINT_START not in statement or HINT_NAME not in statement:
        return None
    found = None
    for comment in _STRINGS_AND_COMMENTS.finditer(statement):
        inside, end = comment[1], comment[2]
        if inside is None or not inside.startswith("+") or inside[1:].split(None, 1)[:1] != [HINT_NAME]:
            continue
        if found is not None:
            raise HintError("a second hint, expected one")
        if not end:
            raise HintError("the comment has no end, expected */")
        found = inside[1:].strip()[len(HINT_NAME) :].strip()
    return found


def read_hint(statement: str) -> Hint | None:
    """A statement's hint; None where it has none. Raises HintError."""
    inside = find_hint(statement)
    if inside is None:
        return None
    if len(inside) > MAX_HINT_CHARACTERS:
        raise HintError(f"{len(inside)} characters, expected {MAX_HINT_CHARACTERS} at most")
    return _parse_hint(inside)


@lru_cache(MAX_CACHED_HINTS)
def _parse_hint(inside: str) -> Hint:
    try:
        values = _HintReader().transform(_PARSER.parse(inside))
    except UnexpectedInput as error:
        rest = inside[max(0, error.pos_in_stream or 0) :].split(None, 1)[:1]
        raise HintError(f"{rest[0][:32] if rest else 'its end'!r}, expected {_EXPECTED}") from None
    except VisitError as error:
        raise error.orig_exc from None
    hint = Hint(**{_HINT_FIELDS[name]: value for name, value in values.items()})
    if "lasts" in values and not hint.session:
        raise HintError("for= without pin=, expected both")
    if not values.keys() - {"lasts", "otherwise"}:
        raise HintError("nothing is asked, expected one of " + _EXPECTED)
    return hint
