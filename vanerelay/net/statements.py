"""The table group of a statement: a small lexer that finds the schemas of the tables read or written."""

from __future__ import annotations

import re

from vanerelay.net.buffers import BLOCK

# What is skipped goes with the token behind it: a match for each took a quarter of a gateway's CPU.
_TOKEN = re.compile(
    r"""(?:\s+|--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z))*+"""
    r"""(?:("(?:[^"]|"")*(?:"|\Z))|([^\W\d]\w*)|(\d\w*|[=<>+%|&!;:?]+|.)|\Z)""",
    re.DOTALL,
)
_WRITE = re.compile(rb"\b(?:into|update|table|overwrite|truncate)\b", re.IGNORECASE)
_GROUP = re.compile(r"_([0-9]{1,15})\Z")  # no more digits than a figure on the wire may have
# Words after which a table is named; a comma goes on with the list after the first two kinds.
_LISTS, _SINGLE = {"from", "using"}, {"join", "into", "update", "table", "overwrite", "truncate"}
_WRITES = {"into", "update", "table", "overwrite", "truncate"}
_ENDS = {
    "where",
    "group",
    "order",
    "having",
    "limit",
    "union",
    "on",
    "set",
    "select",
    "values",
    "window",
    "intersect",
    "except",
    "returning",
    "qualify",
    "when",
}
_FUNCTIONS, _BEFORE_QUERY = {"extract", "trim", "substring", "overlay", "position"}, _LISTS | {"join", ","}
_WORDS, _SIGNS = _LISTS | _SINGLE | _ENDS, {"(", ")", ","}  # all else means nothing unless a table is awaited
_BETWEEN = {"only", "lateral", "if", "not", "exists", "table"}


def _tokens(statement: str) -> list[tuple[str, str]]:
    """Kind and text of each: a word, a name in quotes, or else."""
    return [
        ("word", word)
        if word
        else ("", other)
        if other
        else ("name", quoted[1:].removesuffix('"').replace('""', '"'))
        for quoted, word, other in _TOKEN.findall(statement)
        if quoted or word or other
    ]


def named(statement: str) -> tuple[list[int], list[int]]:
    """The numbers of the schemas of all tables that are written, and of those read."""
    tokens = _tokens(statement)
    written, read = list[int](), list[int]()
    awaited = writing = False
    # By open bracket: whether a list of tables goes on, and whether the bracket is that of a function. Kept
    # as brackets open, not looked for at each FROM: that took minutes for the longest frame there may be.
    listing, function = [False], [False]
    at = 0
    while at < len(tokens):
        kind, text = tokens[at]
        word = text.lower() if kind == "word" else ""
        if not awaited and word not in _WORDS and text not in _SIGNS:
            at += 1
            continue
        if word in _LISTS or word in _SINGLE:
            # EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y) name a column here, no table.
            column = word == "from" and function[-1]
            awaited, writing = not column, writing if word == "table" and awaited else word in _WRITES
            listing[-1] = word in _LISTS and not column
        elif awaited and (kind == "name" or kind == "word" and word not in _BETWEEN and word not in _ENDS):
            names, at = _dotted(tokens, at)
            if len(names) > 1:
                (written if writing else read).extend(_number(names[-2]))
            awaited = False
            continue
        elif text == "(":
            before = tokens[at - 1][1].lower() if at else ""
            listing.append(False)
            function.append(before in _FUNCTIONS)
            awaited = awaited and before in _BEFORE_QUERY
        elif text == ")":
            if len(listing) > 1:
                listing.pop()
                function.pop()
            awaited = False
        elif text == "," and listing[-1]:
            awaited, writing = True, False
        elif word in _ENDS:
            awaited, listing[-1] = False, False
        at += 1
    return written, read


def table_groups(statement: str) -> list[int]:
    """All of them, those written first, each once."""
    written, read = named(statement)
    return list(dict.fromkeys(written + read))


def writes(statement: bytes) -> bool:
    """Whether it may write; what only looks like it does as well."""
    return _WRITE.search(statement, 0, BLOCK) is not None


def table_group(statement: str) -> int:
    """The one group that the module is told: the first that is written, else the first read; 0 for none. It
    stands near the beginning; the longest statements would take half a second to go through."""
    return next(iter(table_groups(statement[:BLOCK])), 0)


def _dotted(tokens: list[tuple[str, str]], at: int) -> tuple[list[str], int]:
    names = [tokens[at][1]]
    while at + 2 < len(tokens) and tokens[at + 1][1] == "." and tokens[at + 2][0] in ("word", "name"):
        at += 2
        names.append(tokens[at][1])
    return names, at + 1


def _number(schema: str) -> list[int]:
    match = _GROUP.search(schema)
    return [] if match is None else [int(match.group(1))]
