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
# All else means nothing unless a table is expected.
_WORDS = _LISTS | _SINGLE | _ENDS
_SIGNS = {"(", ")", ","}
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
    scan = _Scan(_tokens(statement))
    scan.run()
    return scan.written, scan.read


class _Scan:
    """Goes through the tokens of a statement once, and notes the tables that it names.

    Attributes:
        written: The numbers of the schemas of tables that are written; `read` likewise.
    """

    def __init__(self, tokens: list[tuple[str, str]]) -> None:
        self.written, self.read = list[int](), list[int]()
        self._tokens = tokens
        self._table_expected = False
        self._writing = False
        # By open bracket: whether a list of tables goes on, and whether the bracket is that of a function.
        # Kept as brackets open, not looked for at each FROM: that took minutes for the longest frame there
        # may be.
        self._listing = [False]
        self._in_function = [False]

    def run(self) -> None:
        """Goes through all tokens."""
        tokens, at = self._tokens, 0
        while at < len(tokens):
            kind, text = tokens[at]
            word = text.lower() if kind == "word" else ""
            if not self._table_expected and word not in _WORDS and text not in _SIGNS:
                at += 1
            elif word in _LISTS or word in _SINGLE:
                self._before_table(word)
                at += 1
            elif self._table_expected and _may_name_table(kind, word):
                at = self._take_table(at)
            else:
                before = tokens[at - 1][1].lower() if at else ""
                self._other(text, word, before)
                at += 1

    def _before_table(self, word: str) -> None:
        # EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y) name a column here, no table.
        names_column = word == "from" and self._in_function[-1]
        if not (word == "table" and self._table_expected):
            self._writing = word in _WRITES
        self._table_expected = not names_column
        self._listing[-1] = word in _LISTS and not names_column

    def _take_table(self, at: int) -> int:
        """Notes the table that is named here; returns where the tokens go on."""
        names, following = _dotted(self._tokens, at)
        if len(names) > 1:
            (self.written if self._writing else self.read).extend(_number(names[-2]))
        self._table_expected = False
        return following

    def _other(self, text: str, word: str, before: str) -> None:
        if text == "(":
            self._listing.append(False)
            self._in_function.append(before in _FUNCTIONS)
            self._table_expected = self._table_expected and before in _BEFORE_QUERY
        elif text == ")":
            if len(self._listing) > 1:
                self._listing.pop()
                self._in_function.pop()
            self._table_expected = False
        elif text == "," and self._listing[-1]:
            self._table_expected, self._writing = True, False
        elif word in _ENDS:
            self._table_expected = False
            self._listing[-1] = False


def _may_name_table(kind: str, word: str) -> bool:
    return kind == "name" or kind == "word" and word not in _BETWEEN and word not in _ENDS


def table_groups(statement: str) -> list[int]:
    """The numbers of the schemas of all tables that a statement names, those written first, each once."""
    written, read = named(statement)
    return list(dict.fromkeys(written + read))


def writes(statement: bytes) -> bool:
    """Whether a statement may write; one that only looks so counts as well."""
    return _WRITE.search(statement, 0, BLOCK) is not None


def table_group(statement: str) -> int:
    """The table group of a statement: the first that is written, else the first read; 0 for none.

    It stands near the beginning; the longest statements would take half a second to go through.
    """
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
