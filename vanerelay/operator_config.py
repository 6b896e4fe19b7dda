"""Reads the operators' file (HCL) into typed configuration objects; each error names its line.

A value that the file does not set keeps the default of its dataclass, which is defined beside the code that
uses it. This module only reads the file; it takes no decisions.
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
"""The length of each unit, in ticks."""

DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s|m|h)")
EXPRESSION_MARK = "${"
"""Marks an expression in a value that the HCL reader returns. Only plain values are accepted."""

SERIALIZATION_OPTIONS = hcl2.SerializationOptions(
    with_comments=False, explicit_blocks=False, strip_string_quotes=True, preserve_heredocs=False
)

T = TypeVar("T")


class OperatorConfigError(Exception):
    """An error in the operators' file, in one line: file, line, value found and value expected."""


class Block:
    """A block of the file: its label, its attributes and the blocks in it.

    The code that reads a block first reads each attribute and block that it knows, then calls
    `reject_unknown`, which rejects those that were not read.

    Attributes:
        file: The path of the file.
        line: The line on which the block starts.
        name: The name of the block; "the file" for the whole file.
        label: The label; empty if there is none.
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
        self._read_names = set[str]()

    def error(self, reason: str, attribute: str = "") -> OperatorConfigError:
        """Returns the error to raise, with the line of an attribute, or of the block if none is given."""
        line = self._attribute_lines.get(attribute, self.line)
        return OperatorConfigError(f"{self.file}, line {line}: {reason}")

    def blocks(self, name: str) -> list[Block]:
        """Returns all blocks with a name. Raises OperatorConfigError if two of them have the same label."""
        self._read_names.add(name)
        if name in self._attributes:
            raise self.error(f"{name} is a block, not an attribute, expected {name} {{ ... }}", name)
        matches = [block for block in self._blocks if block.name == name]
        labels = set[str]()
        for block in matches:
            if block.label in labels:
                raise block.error(f"duplicate block {name} {block.label}".rstrip() + ", expected one")
            labels.add(block.label)
        return matches

    def find_block(self, name: str) -> Block | None:
        """Returns the block with a name, the first if there are several with different labels, or None."""
        return next(iter(self.blocks(name)), None)

    def fill(self, kind: type[T], /, **given: Any) -> T:
        """Creates an object of a dataclass from the attributes of this block.

        An attribute has the name of its field, or the one that `config_field` declares.

        Args:
            kind: The dataclass.
            **given: Values of fields that are not read from the block.

        Raises:
            OperatorConfigError: A value is invalid, or a field without a default is not set.
        """
        assert dataclasses.is_dataclass(kind)
        values, hints = dict(given), typing.get_type_hints(kind, include_extras=True)
        for field in dataclasses.fields(kind):
            if field.name in given:
                continue
            key = field.metadata.get(KEY, field.name)
            if key in self._attributes:
                self._read_names.add(key)
                values[field.name] = self._convert(key, hints[field.name])
            elif field.default is field.default_factory is dataclasses.MISSING:
                raise self.error(f"{self.name}: no {key}, expected a value for it")
        return kind(**values)

    def attribute(self, name: str, kind: Any, default: Any = None) -> Any:
        """Returns an attribute, converted to a type, or the default if it is not set."""
        self._read_names.add(name)
        return self._convert(name, kind) if name in self._attributes else default

    def reject_unknown(self) -> None:
        """Raises OperatorConfigError if an attribute or block was not read.

        Otherwise a misspelt key would have no effect, and nobody would notice.
        """
        entries = [
            *((self._attribute_lines[name], name) for name in self._attributes),
            *((block.line, block.name) for block in self._blocks),
        ]
        for line, name in sorted(entries):
            if name not in self._read_names:
                known = ", ".join(sorted(self._read_names)) or "nothing"
                raise OperatorConfigError(
                    f"{self.file}, line {line}: unknown {name} in {self.name}, expected one of {known}"
                )

    def _convert(self, name: str, kind: Any) -> Any:
        value = self._attributes[name]
        if kind is Duration or kind == Duration:
            return self._convert_duration(name, value)
        if isinstance(value, (int, float)) and value < 0:
            raise self.error(f"{name}: {value}, expected 0 or more", name)
        if EXPRESSION_MARK in str(value):
            raise self.error(f"{name}: found an expression, expected a plain value", name)
        try:
            return msgspec.convert(value, kind)
        except msgspec.ValidationError as error:
            raise self.error(f"{name}: {error}", name) from error

    def _convert_duration(self, name: str, value: object) -> int:
        match = DURATION_PATTERN.fullmatch(value) if isinstance(value, str) else None
        if match is None:
            raise self.error(f'{name}: {value!r}, expected a time such as "30s" (ms, s, m, h)', name)
        return round(float(match[1]) * DURATION_UNITS[match[2]])


SUBSYSTEM_CONFIGS = {
    "membership": "vanerelay.membership.config",
    "xds": "vanerelay.xds.config",
    "fleet": "vanerelay.fleet.config",
    "rollout": "vanerelay.rollout.config",
    "leases": "vanerelay.leases.config",
    "freshness": "vanerelay.freshness.config",
    "warming": "vanerelay.warming.config",
}
"""The module whose `read_config` reads a block, by the name of the block."""


@dataclasses.dataclass(frozen=True, slots=True)
class Requirement:
    """A subsystem that works only if another one is switched on."""

    subsystem: str
    required: str


REQUIREMENTS = (
    Requirement("rollout", "fleet"),
    Requirement("leases", "fleet"),
    Requirement("freshness", "leases"),
    Requirement("warming", "leases"),
)


def read_subsystems(path: str) -> dict[str, Any]:
    """Returns the configuration of each subsystem that the file switches on, by the name of its block.

    Modules of the other subsystems are not imported. Raises OperatorConfigError.
    """
    document, configs = read_file(path), dict[str, Any]()
    for name, module in SUBSYSTEM_CONFIGS.items():
        block = document.find_block(name)
        if block is not None:
            configs[name] = importlib.import_module(module).read_config(block)
    for requirement in REQUIREMENTS:
        name, required = requirement.subsystem, requirement.required
        block = document.find_block(name)
        if block is not None and required not in configs:
            raise block.error(f"{name}: no {required}, expected a {required} block beside it")
    document.reject_unknown()
    return configs


def read_file(path: str) -> Block:
    """Returns the whole file as one block, named "the file". Raises OperatorConfigError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorConfigError(f"{path}: {error}") from error
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
        values = hcl2.serialize(hcl2.transform(tree), serialization_options=SERIALIZATION_OPTIONS)
    except UnexpectedInput as error:
        raise OperatorConfigError(
            f"{path}, line {max(1, error.line)}, column {max(1, error.column)}: not HCL, expected "
            "attributes (name = value) and blocks (name { ... })"
        ) from error
    except (LarkError, ValueError, RecursionError) as error:
        raise OperatorConfigError(f"{path}: not HCL: {str(error).splitlines()[0]}") from error
    return _to_block(path, 1, ["the file"], values, _body(tree))


def _to_block(path: str, line: int, names: list[str], values: dict[str, Any], body: Tree[Token]) -> Block:
    """Converts a parsed body to a block with the lines of its entries.

    Args:
        path: The path of the file.
        line: The line on which the block starts.
        names: The block's name and labels.
        values: The serialized body. The blocks of one name are a list, in the order of the tree.
        body: The parsed body.
    """
    attributes, lines, blocks = dict[str, Any](), dict[str, int](), list[Block]()
    block_counts = dict[str, int]()
    for node in body.children:
        if not isinstance(node, Tree) or node.data not in ("attribute", "block"):
            continue
        node_names = list(_names(node))
        name, node_line = node_names[0], node.meta.line
        if node.data == "attribute":
            if name in lines:
                raise OperatorConfigError(
                    f"{path}, line {node_line}: duplicate attribute {name}, expected one"
                )
            attributes[name], lines[name] = values[name], node_line
            continue
        index = block_counts.get(name, 0)
        block_counts[name] = index + 1
        if len(node_names) > 2:
            raise OperatorConfigError(
                f"{path}, line {node_line}: several labels in {' '.join(node_names)}, expected one at most"
            )
        block_values = values[name][index]
        for label in node_names[1:]:
            block_values = block_values[label]
        blocks.append(_to_block(path, node_line, node_names, block_values, _body(node)))
    return Block(path, line, names[0], " ".join(names[1:]), attributes, lines, blocks)


def _body(tree: Any) -> Tree[Token]:
    return next(child for child in tree.children if isinstance(child, Tree) and child.data == "body")


def _names(node: Tree[Token]) -> Iterator[str]:
    """Yields the name of an attribute or block, then the labels of a block."""
    for child in node.children:
        if isinstance(child, Tree) and child.data in ("identifier", "string"):
            yield "".join(str(token) for token in child.scan_values(lambda _: True)).strip().strip('"')
        elif not isinstance(child, Tree) or child.data == "body":
            return
