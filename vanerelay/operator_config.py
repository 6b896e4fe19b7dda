"""The operators' file (HCL), filled into typed configuration objects, with the line of each error.

What the file does not set keeps the default of the dataclass, which stands beside the code that uses it.
Nothing is decided here.
"""

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

DURATION_UNITS = {"ms": SECOND // 1000, "s": SECOND, "m": 60 * SECOND, "h": 3600 * SECOND}
DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
EXPRESSION_MARK = "${"
"""What the HCL reader makes of an expression; only plain values are accepted."""

PLAIN_VALUES = hcl2.SerializationOptions(
    with_comments=False, explicit_blocks=False, strip_string_quotes=True, preserve_heredocs=False
)

T = TypeVar("T")


class OperatorConfigError(Exception):
    """What is wrong with the file, in one line: file, line, what was expected."""


class Block:
    """One block: its label, if it has one, its attributes and the blocks in it.

    Whoever reads a block asks for each attribute and block; `done` then rejects what nobody asked for.
    """

    def __init__(
        self,
        file: str,
        line: int,
        name: str,
        label: str,
        attributes: dict[str, Any],
        attribute_lines: dict[str, int],
        blocks: list[Block],
    ) -> None:
        self.file, self.line, self.name, self.label = file, line, name, label
        self._attributes, self._attribute_lines, self._blocks = attributes, attribute_lines, blocks
        self._asked_for = set[str]()

    def wrong(self, reason: str, attribute: str = "") -> OperatorConfigError:
        """The error to raise, with the line of an attribute, or else of the block."""
        line = self._attribute_lines.get(attribute, self.line)
        return OperatorConfigError(f"{self.file}, line {line}: {reason}")

    def all(self, name: str) -> list[Block]:
        """All blocks of a name, which must have different labels."""
        self._asked_for.add(name)
        if name in self._attributes:
            raise self.wrong(f"{name} is a block, expected {name} {{ ... }}", name)
        found = [block for block in self._blocks if block.name == name]
        labels = set[str]()
        for block in found:
            if block.label in labels:
                raise block.wrong(f"a second {name} {block.label}".rstrip() + ", expected one")
            labels.add(block.label)
        return found

    def only(self, name: str) -> Block | None:
        """The block of a name, if there is one."""
        return next(iter(self.all(name)), None)

    def fill(self, kind: type[T], /, **given: Any) -> T:
        """Fills a dataclass from the attributes named as its fields are, or as `config_field` says.

        `given` are set by the caller.
        """
        assert dataclasses.is_dataclass(kind)
        values, hints = dict(given), typing.get_type_hints(kind, include_extras=True)
        for field in dataclasses.fields(kind):
            if field.name in given:
                continue
            key = field.metadata.get(KEY, field.name)
            if key in self._attributes:
                self._asked_for.add(key)
                values[field.name] = self._convert(key, hints[field.name])
            elif field.default is field.default_factory is dataclasses.MISSING:
                raise self.wrong(f"{self.name}: no {key}, expected one")
        return kind(**values)

    def take(self, name: str, kind: Any, default: Any = None) -> Any:
        """One attribute, converted to a type; the default where it is not set."""
        self._asked_for.add(name)
        return self._convert(name, kind) if name in self._attributes else default

    def done(self) -> None:
        """Rejects what nobody asked for: a key that is misspelt would otherwise have no effect, unnoticed."""
        written = [
            *((self._attribute_lines[name], name) for name in self._attributes),
            *((block.line, block.name) for block in self._blocks),
        ]
        for line, name in sorted(written):
            if name not in self._asked_for:
                known = ", ".join(sorted(self._asked_for)) or "nothing"
                raise OperatorConfigError(
                    f"{self.file}, line {line}: {name} in {self.name}, expected one of {known}"
                )

    def _convert(self, name: str, kind: Any) -> Any:
        value = self._attributes[name]
        if kind is Duration or kind == Duration:
            return self._convert_duration(name, value)
        if isinstance(value, (int, float)) and value < 0:
            raise self.wrong(f"{name}: {value}, expected 0 or more", name)
        if EXPRESSION_MARK in str(value):
            raise self.wrong(f"{name}: an expression, expected a plain value", name)
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise self.wrong(f"{name}: {error}", name) from error

    def _convert_duration(self, name: str, value: object) -> int:
        found = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
        if found is None:
            raise self.wrong(f'{name}: {value!r}, expected a time such as "30s" (ms, s, m, h)', name)
        return round(float(found[1]) * DURATION_UNITS[found[2]])


SUBSYSTEM_CONFIGS = {
    "membership": "vanerelay.membership.config",
    "xds": "vanerelay.xds.config",
    "fleet": "vanerelay.fleet.config",
    "rollout": "vanerelay.rollout.config",
    "leases": "vanerelay.leases.config",
    "freshness": "vanerelay.freshness.config",
    "warming": "vanerelay.warming.config",
}
"""By the name of the block: the module whose `read_config` reads it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """A subsystem that works only where another one is switched on too."""

    subsystem: str
    needs: str


REQUIREMENTS = (
    Requirement("rollout", "fleet"),
    Requirement("leases", "fleet"),
    Requirement("freshness", "leases"),
    Requirement("warming", "leases"),
)


def read_subsystems(path: str) -> dict[str, Any]:
    """The configuration of each subsystem that the file switches on, by the name of its block.

    Nothing of the others is imported. Raises OperatorConfigError.
    """
    document, configs = read_file(path), dict[str, Any]()
    for name, module in SUBSYSTEM_CONFIGS.items():
        block = document.only(name)
        if block is not None:
            configs[name] = importlib.import_module(module).read_config(block)
    for requirement in REQUIREMENTS:
        name, needs = requirement.subsystem, requirement.needs
        block = document.only(name)
        if block is not None and needs not in configs:
            raise block.wrong(f"{name}: no {needs}, expected a {needs} block beside it")
    document.done()
    return configs


def read_file(path: str) -> Block:
    """The whole file as a block without a name. Raises OperatorConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorConfigError(f"{path}: {error}") from error
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
        values = hcl2.serialize(hcl2.transform(tree), serialization_options=PLAIN_VALUES)
    except UnexpectedInput as error:
        raise OperatorConfigError(
            f"{path}, line {max(1, error.line)}, column {max(1, error.column)}: not HCL, expected "
            "attributes (name = value) and blocks (name { ... })"
        ) from error
    except (LarkError, ValueError, RecursionError) as error:
        raise OperatorConfigError(f"{path}: not HCL: {str(error).splitlines()[0]}") from error
    return _to_block(path, 1, ["the file"], values, _body(tree))


def _to_block(path: str, line: int, names: list[str], values: dict[str, Any], body: Tree[Token]) -> Block:
    """A body with its lines.

    `names` are the block's name and labels; `values` the body as it was serialized, where the blocks of one
    name are a list in the order in which the tree has them.
    """
    attributes, lines, blocks = dict[str, Any](), dict[str, int](), list[Block]()
    blocks_by_name = dict[str, int]()
    for node in body.children:
        if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
            continue
        node_names = list(_names(node))
        name, node_line = node_names[0], node.meta.line
        if node.data == "attribute":
            if name in lines:
                raise OperatorConfigError(f"{path}, line {node_line}: a second {name}, expected one")
            attributes[name], lines[name] = values[name], node_line
            continue
        index = blocks_by_name.get(name, 0)
        blocks_by_name[name] = index + 1
        if len(node_names) > 2:
            raise OperatorConfigError(
                f"{path}, line {node_line}: {' '.join(node_names)}, expected one label at most"
            )
        inner = values[name][index]
        for label in node_names[1:]:
            inner = inner[label]
        blocks.append(_to_block(path, node_line, node_names, inner, _body(node)))
    return Block(path, line, names[0], " ".join(names[1:]), attributes, lines, blocks)


def _body(tree: Any) -> Tree[Token]:
    return next(child for child in tree.children if isinstance(child, Tree) and child.data == "body")


def _names(node: Tree[Token]) -> Iterator[str]:
    """The name of an attribute or block, and a block's labels."""
    for child in node.children:
        if isinstance(child, Tree) and child.data in ("identifier", "string"):
            yield "".join(str(token) for token in child.scan_values(lambda _: True)).strip().strip('"')
        elif not isinstance(child, Tree) or child.data == "body":
            return
