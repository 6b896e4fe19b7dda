"""The table group of a statement: a small lexer that finds the schemas of the tables read or written."""
from __future__ import annotations

import re
from collections.abc import Iterator

_TOKEN = re.compile(
    r"""(?P<skip>\s+|--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z))"""
    r"""|(?P<quoted>"(?:[^"]|"")*(?:"|\Z))"""
    r"""|(?P<word>[^\W\d]\w*)"""
    r"""|(?P<other>\d\w*|.)""", re.DOTALL)
_GROUP = re.compile(r"[^\W\d]\w*_(\d+)\Z|_(\d+)\Z")
# Words after which a table is named; a comma goes on with the list after the first two kinds.
_LISTS, _SINGLE = {"from", "using"}, {"join", "into", "update", "table", "overwrite", "truncate"}
_WRITES = {"into", "update", "table", "overwrite", "truncate"}
_ENDS = {"where", "group", "order", "having", "limit", "union", "on", "set", "select", "values", "window",
         "intersect", "except", "returning", "qualify", "when"}
_BETWEEN = {"only", "lateral", "if", "not", "exists", "table"}
STAGING = "staging"


def _tokens(statement: str) -> Iterator[tuple[str, str]]:
    for match in _TOKEN.finditer(statement):
        kind = match.lastgroup or ""
        if kind == "quoted":
            yield "name", match.group()[1:].removesuffix('"').replace('""', '"')
        elif kind != "skip":
            yield kind, match.group()


def table_groups(statement: str) -> list[int]:
    """The numbers of the schemas of all tables named, those written first, each once."""
    tokens = list(_tokens(statement))
    written, read = list[int](), list[int]()
    awaited, writing, listing = False, False, list[bool]()  # listing: by open bracket, whether a list goes on
    depth, at = 0, 0
    listing.append(False)
    while at < len(tokens):
        kind, text = tokens[at]
        word = text.lower() if kind == "word" else ""
        if word in _LISTS or word in _SINGLE:
            # EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y) name a column here, no table.
            function = depth and word == "from" and not listing[depth] and _in_function(tokens, at)
            awaited, writing = not function, writing if word == "table" and awaited else word in _WRITES
            listing[depth] = word in _LISTS and not function
        elif awaited and (kind == "name" or kind == "word" and word not in _BETWEEN and word not in _ENDS):
            names, at = _dotted(tokens, at)
            if len(names) > 1:
                (written if writing else read).extend(_number(names[-2]))
            awaited = False
            continue
        elif text == "(":
            depth += 1
            listing.append(False)
            awaited = awaited and tokens[at - 1][1].lower() in _LISTS | {"join", ","}
        elif text == ")":
            depth = max(0, depth - 1)
            listing = listing[:depth + 1]
            awaited = False
        elif text == "," and listing[depth]:
            awaited, writing = True, False
        elif word in _ENDS:
            awaited, listing[depth] = False, False
        at += 1
    return list(dict.fromkeys(written + read))


def table_group(statement: str) -> int:
    """The one group that the module is told: the first that is written, else the first read; 0 for none."""
    return next(iter(table_groups(statement)), 0)


def _dotted(tokens: list[tuple[str, str]], at: int) -> tuple[list[str], int]:
    names = [tokens[at][1]]
    while at + 2 < len(tokens) and tokens[at + 1][1] == "." and tokens[at + 2][0] in ("word", "name"):
        at += 2
        names.append(tokens[at][1])
    return names, at + 1


def _number(schema: str) -> list[int]:
    match = _GROUP.match(schema)
    if match is None or schema.lower() == STAGING:
        return []
    return [int(match.group(1) or match.group(2))]


def _in_function(tokens: list[tuple[str, str]], at: int) -> bool:
    """Whether the bracket around this token was opened by a function's name, not by a query."""
    depth = 0
    for place in range(at - 1, 0, -1):
        text = tokens[place][1]
        depth += {")": 1, "(": -1}.get(text, 0)
        if depth < 0:
            return tokens[place - 1][1].lower() in ("extract", "trim", "substring", "overlay", "position")
    return False
