"""The names that leave the process stay as they are: on the wire, in stores, settings and operators' files.

A name in `tests/data/external_names.txt` that no longer occurs in the program's code was renamed by mistake:
other programs, earlier releases and stored files would no longer be understood. Comments and doc comments do
not count as an occurrence.
"""

from __future__ import annotations

import io
import keyword
import re
import tokenize

from tests.helpers import ROOT

NAMES = (ROOT / "tests/data/external_names.txt").read_text().split("\n")[:-1]
PROGRAM = ROOT / "vanerelay"
WORD = re.compile(r"[\w/-]+")
IGNORED_BEFORE_A_DOC_COMMENT = {tokenize.NEWLINE, tokenize.INDENT, tokenize.DEDENT, tokenize.ENCODING}


def code_texts(source: str) -> list[str]:
    """The identifiers and the string literals of a module, without comments, doc comments and keywords."""
    texts = []
    previous = tokenize.ENCODING
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type in (tokenize.COMMENT, tokenize.NL):
            continue
        is_doc_comment = token.type == tokenize.STRING and previous in IGNORED_BEFORE_A_DOC_COMMENT
        is_name = token.type == tokenize.NAME and not keyword.iskeyword(token.string)
        if is_name or (token.type == tokenize.STRING and not is_doc_comment):
            texts.append(token.string)
        previous = token.type
    return texts


def program_text() -> str:
    """All code of the program, and its HCL scenarios, in which external names are looked for."""
    parts = [text for path in sorted(PROGRAM.rglob("*.py")) for text in code_texts(path.read_text())]
    parts.extend(path.read_text() for path in sorted(PROGRAM.rglob("*.hcl")))
    return "\n".join(parts)


TEXT = program_text()
WORDS = set(WORD.findall(TEXT))


def stands_in_program(name: str) -> bool:
    return name in WORDS or (not WORD.fullmatch(name) and name in TEXT)


def test_list_of_external_names_is_sorted_without_repeats():
    assert sorted(set(NAMES)) == NAMES and len(NAMES) > 500


def test_each_external_name_occurs_in_the_code():
    assert [name for name in NAMES if not stands_in_program(name)] == []


def test_name_in_a_comment_or_doc_comment_does_not_count():
    source = '"""Sends `bounce`."""\n# A `bounce`.\nORDER = "bounced"\n'
    assert code_texts(source) == ["ORDER", '"bounced"']


def test_name_that_does_not_occur_is_found_missing():
    assert not stands_in_program("bounce_renamed")
