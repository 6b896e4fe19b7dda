"""The table group of a statement: a small lexer that finds the schemas of the tables read or written."""

from __future__ import annotations

import re

from vanerelay.net.buffers import BLOCK_BYTES

# What is skipped goes with the token behind it: a match for each took a quarter of a gateway's CPU.
_TOKEN_PATTERN = re.compile(
    r"""(?:\s+|--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z))*+"""
    r"""(?:("(?:[^"]|"")*(?:"|\Z))|([^\W\d]\w*)|(\d\w*|[=<>+%|&!;:?]+|.)|\Z)""",
    re.DOTALL,
)
_WRITE_PATTERN = re.compile(rb"\b(?:into|update|table|overwrite|truncate)\b", re.IGNORECASE)
_GROUP_SUFFIX = re.compile(r"_([0-9]{1,15})\Z")  # no more digits than a figure on the wire may have
# Words after which a table is schema_numbers; a comma goes on with the list after the first two kinds.
_LIST_KEYWORDS, _SINGLE_KEYWORDS = (
    {"from", "using"},
    {"join", "into", "update", "table", "overwrite", "truncate"},
)
_WRITE_KEYWORDS = {"into", "update", "table", "overwrite", "truncate"}
_END_KEYWORDS = {
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
_FROM_FUNCTIONS, _BEFORE_SUBQUERY = (
    {"extract", "trim", "substring", "overlay", "position"},
    _LIST_KEYWORDS | {"join", ","},
)
# All else means nothing unless a table is expected.
_KEYWORDS = _LIST_KEYWORDS | _SINGLE_KEYWORDS | _END_KEYWORDS
_PUNCTUATION = {"(", ")", ","}
_FILLER_KEYWORDS = {"only", "lateral", "if", "not", "exists", "table"}


def _tokens(statement: str) -> list[tuple[str, str]]:
    """Kind and text of each: a word, a name in quotes, or else."""
    return [
        ("word", word)
        if word
        else ("", other)
        if other
        else ("name", quoted[1:].removesuffix('"').replace('""', '"'))
        for quoted, word, other in _TOKEN_PATTERN.findall(statement)
        if quoted or word or other
    ]


def schema_numbers(statement: str) -> tuple[list[int], list[int]]:
    """The numbers of the schemas of all tables that are written, and of those read."""
    scanner = _TableScanner(_tokens(statement))
    scanner.run()
    return scanner.written, scanner.read


class _TableScanner:
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
        self._in_table_list = [False]
        self._in_function = [False]

    def run(self) -> None:
        """Goes through all tokens."""
        tokens, at = self._tokens, 0
        while at < len(tokens):
            kind, text = tokens[at]
            word = text.lower() if kind == "word" else ""
            if not self._table_expected and word not in _KEYWORDS and text not in _PUNCTUATION:
                at += 1
            elif word in _LIST_KEYWORDS or word in _SINGLE_KEYWORDS:
                self._expect_table(word)
                at += 1
            elif self._table_expected and _may_name_table(kind, word):
                at = self._record_table(at)
            else:
                before = tokens[at - 1][1].lower() if at else ""
                self._handle_other(text, word, before)
                at += 1

    def _expect_table(self, word: str) -> None:
        # EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y) name a column here, no table.
        names_column = word == "from" and self._in_function[-1]
        if not (word == "table" and self._table_expected):
            self._writing = word in _WRITE_KEYWORDS
        self._table_expected = not names_column
        self._in_table_list[-1] = word in _LIST_KEYWORDS and not names_column

    def _record_table(self, at: int) -> int:
        """Notes the table that is schema_numbers here; returns where the tokens go on."""
        names, following = _dotted_name(self._tokens, at)
        if len(names) > 1:
            (self.written if self._writing else self.read).extend(_schema_number(names[-2]))
        self._table_expected = False
        return following

    def _handle_other(self, text: str, word: str, before: str) -> None:
        if text == "(":
            self._in_table_list.append(False)
            self._in_function.append(before in _FROM_FUNCTIONS)
            self._table_expected = self._table_expected and before in _BEFORE_SUBQUERY
        elif text == ")":
            if len(self._in_table_list) > 1:
                self._in_table_list.pop()
                self._in_function.pop()
            self._table_expected = False
        elif text == "," and self._in_table_list[-1]:
            self._table_expected, self._writing = True, False
        elif word in _END_KEYWORDS:
            self._table_expected = False
            self._in_table_list[-1] = False


def _may_name_table(kind: str, word: str) -> bool:
    return kind == "name" or kind == "word" and word not in _FILLER_KEYWORDS and word not in _END_KEYWORDS


def table_groups(statement: str) -> list[int]:
    """The numbers of the schemas of all tables that a statement names, those written first, each once."""
    written, read = schema_numbers(statement)
    return list(dict.fromkeys(written + read))


def may_write(statement: bytes) -> bool:
    """Whether a statement may write; one that only looks so counts as well."""
    return _WRITE_PATTERN.search(statement, 0, BLOCK_BYTES) is not None


def table_group(statement: str) -> int:
    """The table group of a statement: the first that is written, else the first read; 0 for none.

    It stands near the beginning; the longest statements would take half a second to go through.
    """
    return next(iter(table_groups(statement[:BLOCK_BYTES])), 0)


def _dotted_name(tokens: list[tuple[str, str]], at: int) -> tuple[list[str], int]:
    names = [tokens[at][1]]
    while at + 2 < len(tokens) and tokens[at + 1][1] == "." and tokens[at + 2][0] in ("word", "name"):
        at += 2
        names.append(tokens[at][1])
    return names, at + 1


def _schema_number(schema: str) -> list[int]:
    match = _GROUP_SUFFIX.search(schema)
    return [] if match is None else [int(match.group(1))]
