"""The operators' own file (HCL): its blocks, with the line of each word, filled into each part's few
arguments.

What is not written keeps the part's own default, which stands where the part decides. Nothing here
chooses."""

from __future__ import annotations

import dataclasses
import importlib
import re
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

import hcl2
import msgspec
from lark import Token, Tree
from lark.exceptions import LarkError, UnexpectedInput

from vanerelay.config_field import KEY
from vanerelay.interface import SECOND, Duration

UNITS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
PLAIN = hcl2.SerializationOptions(
    with_comments=False, explicit_blocks=False, strip_string_quotes=True, preserve_heredocs=False
)

T = TypeVar("T")


class BadOptions(Exception):
    """What is wrong with the file, in one line: file, line, what was expected."""


class Block:
    """One block: its label, if it has one, its attributes and the blocks in it. Each is asked for once;
    `done` says what nobody asked for."""

    def __init__(
        self,
        file: str,
        line: int,
        name: str,
        label: str,
        values: dict[str, Any],
        lines: dict[str, int],
        blocks: list[Block],
    ) -> None:
        self.file, self.line, self.name, self.label = file, line, name, label
        self._values, self._lines, self._blocks, self._asked = values, lines, blocks, set[str]()

    def wrong(self, why: str, attribute: str = "") -> BadOptions:
        return BadOptions(f"{self.file}, line {self._lines.get(attribute, self.line)}: {why}")

    def all(self, name: str) -> list[Block]:
        self._asked.add(name)
        found = [block for block in self._blocks if block.name == name]
        if name in self._values:
            raise self.wrong(f"{name} is a block, expected {name} {{ ... }}", name)
        labels = set[str]()
        for block in found:
            if block.label in labels:
                raise block.wrong(f"a second {name} {block.label}".rstrip() + ", expected one")
            labels.add(block.label)
        return found

    def only(self, name: str) -> Block | None:
        return next(iter(self.all(name)), None)

    def fill(self, kind: type[T], /, **given: Any) -> T:
        """Fills a dataclass from the attributes of its fields' names, or of the names given by `config_field`.

        `given` are set by the caller.
        """
        assert dataclasses.is_dataclass(kind)
        values, hints = dict(given), typing.get_type_hints(kind, include_extras=True)
        for field in dataclasses.fields(kind):
            key = field.metadata.get(KEY, field.name)
            if key in self._values and field.name not in given:
                self._asked.add(key)
                values[field.name] = self._value(key, hints[field.name])
            elif field.name not in given and field.default is field.default_factory is dataclasses.MISSING:
                raise self.wrong(f"{self.name}: no {key}, expected one")
        return kind(**values)

    def take(self, name: str, kind: Any, default: Any = None) -> Any:
        """One attribute, by its type."""
        self._asked.add(name)
        return self._value(name, kind) if name in self._values else default

    def done(self) -> None:
        """Everything written must have been asked for: a word spelt wrongly would do nothing, and nobody
        know."""
        words = [
            *((self._lines[name], name) for name in self._values),
            *((block.line, block.name) for block in self._blocks),
        ]
        for line, name in sorted(words):
            if name not in self._asked:
                known = ", ".join(sorted(self._asked)) or "nothing"
                raise BadOptions(f"{self.file}, line {line}: {name} in {self.name}, expected one of {known}")

    def _value(self, name: str, kind: Any) -> Any:
        value = self._values[name]
        if kind is Duration or kind == Duration:
            found = TIME.fullmatch(value) if isinstance(value, str) else None
            if found is None:
                raise self.wrong(f'{name}: {value!r}, expected a time such as "30s" (ms, s, m, h)', name)
            return round(float(found[1]) * UNITS[found[2]])
        if isinstance(value, (int, float)) and value < 0:
            raise self.wrong(f"{name}: {value}, expected 0 or more", name)
        if "${" in str(value):
            raise self.wrong(f"{name}: an expression, expected a plain value", name)
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as fault:
            raise self.wrong(f"{name}: {fault}", name) from None


SUBSYSTEMS = {
    "membership": "vanerelay.membership.config",
    "xds": "vanerelay.xds.config",
    "fleet": "vanerelay.fleet.config",
    "rollout": "vanerelay.rollout.config",
    "leases": "vanerelay.leases.config",
    "freshness": "vanerelay.freshness.config",
    "warming": "vanerelay.warming.config",
}
STANDS_ON = (("rollout", "fleet"), ("leases", "fleet"), ("freshness", "leases"), ("warming", "leases"))


def subsystems(path: str) -> dict[str, Any]:
    """The parts of each subsystem that the file switches on, by the name of its block; nothing of the others
    is imported. Raises BadOptions."""
    document, found = read(path), dict[str, Any]()
    for name, module in SUBSYSTEMS.items():
        block = document.only(name)
        if block is not None:
            found[name] = importlib.import_module(module).read_config(block)
    for name, needed in STANDS_ON:
        block = document.only(name)
        if block is not None and needed not in found:
            raise block.wrong(f"{name}: no {needed}, expected a {needed} block beside it")
    document.done()
    return found


def read(path: str) -> Block:
    """The whole file as a block without a name. Raises BadOptions."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as fault:
        raise BadOptions(f"{path}: {fault}") from None
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
        body = hcl2.serialize(hcl2.transform(tree), serialization_options=PLAIN)
    except UnexpectedInput as fault:
        raise BadOptions(
            f"{path}, line {max(1, fault.line)}, column {max(1, fault.column)}: not HCL, expected "
            "attributes (name = value) and blocks (name { ... })"
        ) from None
    except (LarkError, ValueError, RecursionError) as fault:
        raise BadOptions(f"{path}: not HCL: {str(fault).splitlines()[0]}") from None
    return _block(path, 1, "the file", "", body, _body(tree))


def _body(tree: Any) -> Tree[Token]:
    return next(child for child in tree.children if isinstance(child, Tree) and child.data == "body")


def _block(path: str, line: int, name: str, label: str, told: dict[str, Any], body: Tree[Token]) -> Block:
    """A body's attributes as serialized, and its blocks in the order written, against the lines of the
    tree."""
    values, lines, blocks, seen = dict[str, Any](), dict[str, int](), list[Block](), dict[str, int]()
    for part in body.children:
        if not isinstance(part, Tree) or part.data not in ("attribute", "block"):
            continue
        words = list(_words(part))
        if part.data == "attribute":
            if words[0] in lines:
                raise BadOptions(f"{path}, line {part.meta.line}: a second {words[0]}, expected one")
            values[words[0]], lines[words[0]] = told[words[0]], part.meta.line
            continue
        place = seen.get(words[0], 0)
        seen[words[0]] = place + 1
        inner = told[words[0]][place]
        if len(words) > 2:
            raise BadOptions(f"{path}, line {part.meta.line}: {' '.join(words)}, expected one label at most")
        for one in words[1:]:
            inner = inner[one]
        blocks.append(_block(path, part.meta.line, words[0], " ".join(words[1:]), inner, _body(part)))
    return Block(path, line, name, label, values, lines, blocks)


def _words(part: Tree[Token]) -> Iterator[str]:
    """The name of an attribute or block, and a block's labels."""
    for child in part.children:
        if isinstance(child, Tree) and child.data in ("identifier", "string"):
            yield "".join(str(token) for token in child.scan_values(lambda _: True)).strip().strip('"')
        elif not isinstance(child, Tree) or child.data == "body":
            return
