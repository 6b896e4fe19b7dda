"""Counts the work of a regular expression: a backtracking matcher that counts the characters it examines.

It matches as the `re` module does, alternative by alternative, so that the count follows the time that `re`
takes on any machine, without a clock.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from re import _constants as ops
from re import _parser
from typing import Any

Node = tuple[Any, Any]

_CATEGORIES = {
    ops.CATEGORY_SPACE: r"\s",
    ops.CATEGORY_NOT_SPACE: r"\S",
    ops.CATEGORY_DIGIT: r"\d",
    ops.CATEGORY_NOT_DIGIT: r"\D",
    ops.CATEGORY_WORD: r"\w",
    ops.CATEGORY_NOT_WORD: r"\W",
}


class WorkCounter:
    """Matches a compiled pattern of text, and counts the characters that are examined.

    Attributes:
        steps: The examinations of a character, or of a position, so far.
    """

    def __init__(self, pattern: re.Pattern[str]) -> None:
        self._nodes: Sequence[Node] = _parser.parse(pattern.pattern, pattern.flags)
        self._matches_line_ends = bool(pattern.flags & re.DOTALL)
        self.steps = 0

    def scan(self, text: str) -> list[str]:
        """Returns what `finditer` matches in a text, each match beginning at the end of the previous one."""
        matches, position = [], 0
        while position <= len(text):
            end = next(self._sequence(self._nodes, text, position), None)
            if end is None or end == position:
                position += 1
            else:
                matches.append(text[position:end])
                position = end
        return matches

    def match(self, text: str) -> str | None:
        """Returns what is matched at the beginning of a text; None if nothing is."""
        end = next(self._sequence(self._nodes, text, 0), None)
        return None if end is None else text[:end]

    def _sequence(self, nodes: Sequence[Node], text: str, start: int) -> Iterator[int]:
        """Yields the ends of all matches of a sequence of nodes, in the order in which they are tried."""
        stack = [iter((start,))]
        while stack:
            end = next(stack[-1], None)
            if end is None:
                stack.pop()
            elif len(stack) > len(nodes):
                yield end
            else:
                stack.append(self._node(nodes[len(stack) - 1], text, end))

    def _node(self, node: Node, text: str, at: int) -> Iterator[int]:
        operation, argument = node
        if operation is ops.BRANCH:
            for branch in argument[1]:
                yield from self._sequence(branch, text, at)
        elif operation is ops.SUBPATTERN:
            yield from self._sequence(argument[3], text, at)
        elif operation is ops.ATOMIC_GROUP:
            yield from self._first(self._sequence(argument, text, at))
        elif operation in (ops.MAX_REPEAT, ops.MIN_REPEAT, ops.POSSESSIVE_REPEAT):
            yield from self._repeat(operation, argument, text, at)
        else:
            yield from self._position(operation, argument, text, at)

    def _position(self, operation: Any, argument: Any, text: str, at: int) -> Iterator[int]:
        """Yields the end of a node that examines one position."""
        self.steps += 1
        if operation in (ops.ASSERT, ops.ASSERT_NOT):
            assert argument[0] == 1, "looking back is not supported"
            found = next(self._sequence(argument[1], text, at), None) is not None
            if found == (operation is ops.ASSERT):
                yield at
        elif operation is ops.AT:
            if self._is_at(argument, text, at):
                yield at
        elif at < len(text) and self._accepts(operation, argument, text[at]):
            yield at + 1

    @staticmethod
    def _first(ends: Iterator[int]) -> Iterator[int]:
        end = next(ends, None)
        if end is not None:
            yield end

    def _repeat(self, operation: Any, argument: Any, text: str, at: int) -> Iterator[int]:
        least, most, nodes = argument
        if operation is ops.POSSESSIVE_REPEAT:
            yield from self._first(self._greedy(least, most, nodes, text, at, is_atomic=True))
        elif operation is ops.MAX_REPEAT:
            yield from self._greedy(least, most, nodes, text, at, is_atomic=False)
        else:
            yield from self._lazy(least, most, nodes, text, at)

    def _greedy(
        self, least: int, most: Any, nodes: Sequence[Node], text: str, at: int, is_atomic: bool
    ) -> Iterator[int]:
        """Repeats as often as possible, then gives back one repetition after the other."""
        ends, alternatives = [at], list[Iterator[int]]()
        while True:
            while len(alternatives) < len(ends):
                is_open = most is ops.MAXREPEAT or len(alternatives) < most
                alternatives.append(self._sequence(nodes, text, ends[-1]) if is_open else iter(()))
                end = next(alternatives[-1], None)
                if end is not None and end > ends[-1]:
                    ends.append(end)
            if len(ends) > least:
                yield ends[-1]
            if is_atomic:
                return
            alternatives.pop()
            ends.pop()
            if not ends:
                return
            end = next(alternatives[-1], None)
            if end is not None:
                ends.append(end)

    def _lazy(self, least: int, most: Any, nodes: Sequence[Node], text: str, at: int) -> Iterator[int]:
        assert least == 0 and most is ops.MAXREPEAT, "only *? is supported"
        end: int | None = at
        while end is not None:
            yield end
            end = next(self._sequence(nodes, text, end), None)

    @staticmethod
    def _is_at(place: Any, text: str, at: int) -> bool:
        assert place is ops.AT_END_STRING, f"{place} is not supported"
        return at == len(text)

    def _accepts(self, operation: Any, argument: Any, character: str) -> bool:
        if operation is ops.ANY:
            return self._matches_line_ends or character != "\n"
        if operation is ops.LITERAL:
            return ord(character) == argument
        if operation is ops.NOT_LITERAL:
            return ord(character) != argument
        assert operation is ops.IN, f"{operation} is not supported"
        is_negated = argument[0][0] is ops.NEGATE
        return any(self._is_in(item, character) for item in argument[is_negated:]) != is_negated

    @staticmethod
    def _is_in(item: Node, character: str) -> bool:
        kind, value = item
        if kind is ops.LITERAL:
            return ord(character) == value
        if kind is ops.RANGE:
            return value[0] <= ord(character) <= value[1]
        return re.match(_CATEGORIES[value], character) is not None
