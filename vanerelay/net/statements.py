"""Finds the table group of a statement with a small lexer.

The table group is the number at the end of the schema names of the tables that are read or written.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from itertools import islice

MAX_TOKENS = 1_024
"""The tokens that are scanned for the table group: the table stands near the beginning."""
MAX_SCANNED_CHARACTERS = 16_384
"""The characters that are scanned for the table group, and the bytes for a keyword of a write."""
_TOKENS_AT_ONCE = 64
_NUMBER = r"\d\w*+(?:\.\d\w*+)*+"
_STRING = r"'[^']*+(?:''[^']*+)*+"  # without its closing quote
_VALUE = rf"[-+]?+(?:{_NUMBER}|{_STRING}')"
_COMMENT = r"--[^\n]*+|/\*(?:[^*]++|\*(?!/))*+(?:\*/|\Z)"
# White space, comments, strings and lists of values are part of the match of the token after them: a match
# for each of them took a quarter of the CPU time of a gateway, and a long list of values 10 ms.
# The time of a scan grows with the length alone, whatever the text is: no repetition gives back what it has
# matched, and whatever an alternative has scanned in vain is consumed whole by one of the next matches. So a
# number that no comma follows is one token, with all of its points.
_TOKEN_PATTERN = re.compile(
    rf"""(?:\s++|{_VALUE}(?:\s*+,\s*+{_VALUE})++|{_COMMENT}|{_STRING}(?:'|\Z))*+"""
    rf"""(?:("[^"]*+(?:""[^"]*+)*+(?:"|\Z))|([^\W\d]\w*+)|({_NUMBER}|[=<>+%|&!;:?]++|.)|\Z)""",
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


def _tokens(statement: str) -> Iterator[tuple[str, str]]:
    """Yields the kind and the text of each token: `word`, `name` (a quoted name), or empty for all else."""
    for match in _TOKEN_PATTERN.finditer(statement):
        quoted, word, other = match.groups()
        if word:
            yield "word", word
        elif other:
            yield "", other
        elif quoted:
            yield "name", quoted[1:].removesuffix('"').replace('""', '"')


def schema_numbers(statement: str) -> tuple[list[int], list[int]]:
    """Returns the schema numbers of all tables that the statement writes, and of those that it reads."""
    scanner = _TableScanner(_tokens(statement))
    while scanner.scan_token():
        pass
    return scanner.written, scanner.read


class _TableScanner:
    """Scans the tokens of a statement once and records the tables that it names.

    Attributes:
        written: The schema numbers of the tables that are written.
        read: The schema numbers of the tables that are read.
    """

    def __init__(self, tokens: Iterator[tuple[str, str]]) -> None:
        self.written, self.read = list[int](), list[int]()
        self._unread_tokens = tokens
        self._tokens = list[tuple[str, str]]()
        self._position = 0
        self._table_expected = False
        self._writing = False
        # For each open bracket: whether a list of tables continues, and whether the bracket belongs to a
        # function. This is tracked as brackets open, as searching backwards from each FROM took minutes for a
        # frame of the maximum length.
        self._in_table_list = [False]
        self._in_function = [False]

    def scan_token(self) -> bool:
        """Scans the next token, or table name. Returns False at the end of the statement."""
        if not self._has_token(self._position):
            return False
        kind, text = self._tokens[self._position]
        word = text.lower() if kind == "word" else ""
        if not self._table_expected and word not in _KEYWORDS and text not in _PUNCTUATION:
            self._position += 1
        elif word in _LIST_KEYWORDS or word in _SINGLE_KEYWORDS:
            self._expect_table(word)
            self._position += 1
        elif self._table_expected and _may_name_table(kind, word):
            self._record_table()
        else:
            before = self._tokens[self._position - 1][1].lower() if self._position else ""
            self._handle_other(text, word, before)
            self._position += 1
        return True

    def _has_token(self, position: int) -> bool:
        """Returns True if there is a token at this position, which is read if necessary."""
        if position >= len(self._tokens):
            self._tokens.extend(islice(self._unread_tokens, _TOKENS_AT_ONCE))
        return position < len(self._tokens)

    def _expect_table(self, word: str) -> None:
        # In EXTRACT(x FROM y), TRIM(x FROM y) and SUBSTRING(x FROM y), FROM is followed by a column, not a
        # table.
        names_column = word == "from" and self._in_function[-1]
        if not (word == "table" and self._table_expected):
            self._writing = word in _WRITE_KEYWORDS
        self._table_expected = not names_column
        self._in_table_list[-1] = word in _LIST_KEYWORDS and not names_column

    def _record_table(self) -> None:
        """Records the table named at this token, and skips its name."""
        names = self._read_dotted_name()
        if len(names) > 1:
            (self.written if self._writing else self.read).extend(_schema_number(names[-2]))
        self._table_expected = False

    def _read_dotted_name(self) -> list[str]:
        """Returns the parts of the dotted name at this token, and skips it."""
        names = [self._tokens[self._position][1]]
        self._position += 1
        while (
            self._has_token(self._position + 1)
            and self._tokens[self._position][1] == "."
            and self._tokens[self._position + 1][0] in ("word", "name")
        ):
            names.append(self._tokens[self._position + 1][1])
            self._position += 2
        return names

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
    return _WRITE_PATTERN.search(statement, 0, MAX_SCANNED_CHARACTERS) is not None


def table_group(statement: str) -> int:
    """Returns the table group of a statement: the first that is written, else the first that is read, else 0.

    The scan ends with the answer, after `MAX_SCANNED_CHARACTERS` or after `MAX_TOKENS`: the table
    stands near the beginning, and the longest statements would take half a second.
    """
    beginning = statement[:MAX_SCANNED_CHARACTERS]
    may_be_written = any(keyword in beginning.lower() for keyword in _WRITE_KEYWORDS)
    scanner = _TableScanner(islice(_tokens(beginning), MAX_TOKENS))
    while scanner.scan_token():
        if scanner.written or scanner.read and not may_be_written:
            break
    return next(iter(scanner.written + scanner.read), 0)


def _schema_number(schema: str) -> list[int]:
    """Returns the number at the end of a schema name as a list of one, or an empty list."""
    match = _GROUP_SUFFIX.search(schema)
    return [] if match is None else [int(match.group(1))]
