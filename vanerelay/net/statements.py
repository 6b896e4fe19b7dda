"""Finds the table group of a statement with a small lexer.

The table group is the number at the end of the schema names of the tables that are read or written.
"""

from __future__ import annotations

import re

from vanerelay.net.buffers import BLOCK_BYTES

# White space, comments and strings are part of the match of the token after them: a match for each of them
# took a quarter of the CPU time of a gateway.
_TOKEN_PATTERN = re.compile(
    r"""(?:\s+|--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z))*+"""
    r"""(?:("(?:[^"]|"")*(?:"|\Z))|([^\W\d]\w*)|(\d\w*|[=<>+%|&!;:?]+|.)|\Z)""",
    re.DOTALL,
)
_WRITE_PATTERN = re.compile(rb"\b(?:into|update|table|overwrite|truncate)\b", re.IGNORECASE)
_GROUP_SUFFIX = re.compile(r"_([0-9]{1,15})\Z")  # as many digits as a number on the wire may have
# Keywords before a table name. After those of the first set, a comma continues the list of tables.
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
# Functions that have FROM between their arguments, and the tokens after which a bracket opens a subquery.
_FROM_FUNCTIONS, _BEFORE_SUBQUERY = (
    {"extract", "trim", "substring", "overlay", "position"},
    _LIST_KEYWORDS | {"join", ","},
)
# All other tokens are skipped unless a table name is expected.
_KEYWORDS = _LIST_KEYWORDS | _SINGLE_KEYWORDS | _END_KEYWORDS
_PUNCTUATION = {"(", ")", ","}
_FILLER_KEYWORDS = {"only", "lateral", "if", "not", "exists", "table"}


def _tokens(statement: str) -> list[tuple[str, str]]:
    """Returns the kind and the text of each token: `word`, `name` (a quoted name), or empty for all else."""
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
    """Returns the schema numbers of all tables that the statement writes, and of those that it reads."""
    scanner = _TableScanner(_tokens(statement))
    scanner.run()
    return scanner.written, scanner.read


class _TableScanner:
    """Scans the tokens of a statement once and records the tables that it names.

    Attributes:
        written: The schema numbers of the tables that are written.
        read: The schema numbers of the tables that are read.
    """

    def __init__(self, tokens: list[tuple[str, str]]) -> None:
        self.written, self.read = list[int](), list[int]()
        self._tokens = tokens
        self._table_expected = False
        self._writing = False
        # For each open bracket: whether a list of tables continues, and whether the bracket belongs to a
        # function. This is tracked as brackets open, as searching backwards from each FROM took minutes for a
        # frame of the maximum length.
        self._in_table_list = [False]
        self._in_function = [False]

    def run(self) -> None:
        """Scans all tokens."""
        tokens, position = self._tokens, 0
        while position < len(tokens):
            kind, text = tokens[position]
            word = text.lower() if kind == "word" else ""
            if not self._table_expected and word not in _KEYWORDS and text not in _PUNCTUATION:
                position += 1
            elif word in _LIST_KEYWORDS or word in _SINGLE_KEYWORDS:
                self._expect_table(word)
                position += 1
            elif self._table_expected and _may_name_table(kind, word):
                position = self._record_table(position)
            else:
                before = tokens[position - 1][1].lower() if position else ""
                self._handle_other(text, word, before)
                position += 1

    def _expect_table(self, word: str) -> None:
        # In EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y), FROM is followed by a column, not a
        # table.
        names_column = word == "from" and self._in_function[-1]
        if not (word == "table" and self._table_expected):
            self._writing = word in _WRITE_KEYWORDS
        self._table_expected = not names_column
        self._in_table_list[-1] = word in _LIST_KEYWORDS and not names_column

    def _record_table(self, position: int) -> int:
        """Records the table named at this token. Returns the position after its name."""
        names, following = _dotted_name(self._tokens, position)
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
    """Returns the schema numbers of all tables in a statement without repetition, the written ones first."""
    written, read = schema_numbers(statement)
    return list(dict.fromkeys(written + read))


def may_write(statement: bytes) -> bool:
    """Returns True if the beginning of a statement contains a keyword of a write, even in another meaning."""
    return _WRITE_PATTERN.search(statement, 0, BLOCK_BYTES) is not None


def table_group(statement: str) -> int:
    """Returns the table group of a statement: the first that is written, else the first that is read, else 0.

    Only the first `BLOCK_BYTES` characters are scanned: the table stands near the beginning, and the longest
    statements would take half a second.
    """
    return next(iter(table_groups(statement[:BLOCK_BYTES])), 0)


def _dotted_name(tokens: list[tuple[str, str]], position: int) -> tuple[list[str], int]:
    """Returns the parts of the dotted name at this token, and the position after it."""
    names = [tokens[position][1]]
    while (
        position + 2 < len(tokens)
        and tokens[position + 1][1] == "."
        and tokens[position + 2][0] in ("word", "name")
    ):
        position += 2
        names.append(tokens[position][1])
    return names, position + 1


def _schema_number(schema: str) -> list[int]:
    """Returns the number at the end of a schema name as a list of one, or an empty list."""
    match = _GROUP_SUFFIX.search(schema)
    return [] if match is None else [int(match.group(1))]
