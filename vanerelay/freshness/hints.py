"""What an application asks of a read, out of a comment of its statement. Pure.

    /*+ vanerelay stale<=5s behind<=3 after=LOAD-REF at>=2:117 pin=closing-17 for=30s else=wait */

A comment that begins so and can't be read is refused in one line, never passed over. The inside is read by
lark; where comments begin and end is told by a small pattern, so that one in a string is none."""

from __future__ import annotations

import re
from dataclasses import dataclass, replace
from enum import Enum
from functools import lru_cache
from typing import Any

from lark import Lark, Token, Transformer, UnexpectedInput
from lark.exceptions import VisitError

from vanerelay.freshness.replication_positions import Point
from vanerelay.interface import SECOND, Duration

SIGN, NAME = "/*+", "vanerelay"
MOST = 256  # characters of a hint
KEPT = 1000  # hints that are remembered as read: applications write the same ones
UNITS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
COMMENTS = re.compile(r"""'(?:[^']|'')*(?:'|\Z)|"(?:[^"]|"")*(?:"|\Z)|--[^\n]*|/\*(.*?)(\*/|\Z)""", re.DOTALL)


class Else(Enum):
    """What is done where no copy is known to be fresh enough."""

    WAIT = "wait"  # within the response goal, then as REFUSE
    SOURCE = "source"
    FRESHEST = "freshest"  # and the answer says how old it is
    REFUSE = "refuse"  # at once, with a time to return


@dataclass(frozen=True, slots=True)
class Hint:
    """`stale`: the read holds all loads that had ended so long before it came; `behind`: but the last few of
    them; `after`: a load by its reference; `at`: a point that it holds; `pin`: a session that never goes
    back, remembered `lasts` past its last read."""

    stale: Duration | None = None
    behind: int = 0
    after: str = ""
    at: Point | None = None
    pin: str = ""
    lasts: Duration = 30 * SECOND
    otherwise: Else = Else.WAIT


class BadHint(Exception):
    """What is wrong, in one line."""


GRAMMAR = r"""
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
KNOWN = "after=, at>=, behind<=, else=, for=, pin=, stale<="


class _Read(Transformer[Token, dict[str, Any]]):
    def start(self, items: list[tuple[str, Any]]) -> dict[str, Any]:
        found = dict(items)
        if len(found) < len(items):
            named = [name for name, _ in items]
            raise BadHint(f"{next(n for n in named if named.count(n) > 1)} is told twice")
        return found

    def stale(self, told: list[Token]) -> tuple[str, Any]:
        return "stale", _span(told[0])

    def lasts(self, told: list[Token]) -> tuple[str, Any]:
        return "lasts", _span(told[0])

    def behind(self, told: list[Token]) -> tuple[str, Any]:
        return "behind", int(told[0])

    def after(self, told: list[Token]) -> tuple[str, Any]:
        return "after", str(told[0])

    def at(self, told: list[Token]) -> tuple[str, Any]:
        return "at", Point.read(told[0])

    def pin(self, told: list[Token]) -> tuple[str, Any]:
        return "pin", str(told[0])

    def otherwise(self, told: list[Token]) -> tuple[str, Any]:
        return "otherwise", Else(told[0])


def _span(text: str) -> Duration:
    unit = text.lstrip("0123456789.")
    return round(float(text[: -len(unit)]) * UNITS[unit])


_PARSER = Lark(GRAMMAR, parser="lalr", lexer="contextual", transformer=None)


def find(statement: str) -> str | None:
    """The inside of the hint; None where there is none. Raises BadHint where there are two, or no end."""
    if SIGN not in statement or NAME not in statement:
        return None
    found = None
    for comment in COMMENTS.finditer(statement):
        inside, end = comment[1], comment[2]
        if inside is None or not inside.startswith("+") or inside[1:].split(None, 1)[:1] != [NAME]:
            continue
        if found is not None:
            raise BadHint("a second hint, expected one")
        if not end:
            raise BadHint("the comment has no end, expected */")
        found = inside[1:].strip()[len(NAME) :].strip()
    return found


def read(statement: str) -> Hint | None:
    """None where the statement has none. Raises BadHint."""
    inside = find(statement)
    if inside is None:
        return None
    if len(inside) > MOST:
        raise BadHint(f"{len(inside)} characters, expected {MOST} at most")
    return _parsed(inside)


@lru_cache(KEPT)
def _parsed(inside: str) -> Hint:
    try:
        told = _Read().transform(_PARSER.parse(inside))
    except UnexpectedInput as fault:
        at = max(0, fault.pos_in_stream or 0)
        rest = inside[at:].split(None, 1)[:1]
        raise BadHint(f"{rest[0][:32] if rest else 'its end'!r}, expected {KNOWN}") from None
    except VisitError as fault:
        raise fault.orig_exc from None
    hint = replace(Hint(), **told)
    if "lasts" in told and not hint.pin:
        raise BadHint("for= without pin=, expected both")
    if not told.keys() - {"lasts", "otherwise"}:
        raise BadHint("nothing is asked, expected one of " + KNOWN)
    return hint
