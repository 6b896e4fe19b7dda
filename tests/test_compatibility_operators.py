"""What operators write and call stays: keys of their files and of the settings, commands and options.

The files in `tests/data/operators/` were written for the release before the code was renamed; what it made of
them is in `golden.json`, which is never written anew.
"""

from __future__ import annotations

import json

import pytest

from tests import operator_samples
from tests.helpers import ROOT

FOLDER = ROOT / "tests/data/operators"
GOLDEN = json.loads((FOLDER / "golden.json").read_text())


def as_json(value):
    return json.loads(json.dumps(value))


@pytest.mark.parametrize("name", operator_samples.LOADERS)
def test_every_key_of_an_operators_file_is_read_into_its_place(tmp_path, name):
    text = (FOLDER / name).read_text()
    assert as_json(operator_samples.read_file(name, text, tmp_path)) == GOLDEN["files"][name]


@pytest.mark.parametrize(("name", "block"), [(name, block) for name, block, _ in GOLDEN["keys"]])
def test_a_block_knows_the_keys_that_it_knew(tmp_path, name, block):
    text = (FOLDER / name).read_text()
    known = next(known for file, at, known in GOLDEN["keys"] if (file, at) == (name, block))
    assert operator_samples.known_keys(name, text, block, tmp_path) == known


def test_every_block_has_its_keys_kept():
    marked = [
        [name, block]
        for name in operator_samples.LOADERS
        for block in operator_samples.UNKNOWN.findall((FOLDER / name).read_text())
    ]
    assert marked == [row[:2] for row in GOLDEN["keys"]] and len(marked) > 40


def test_commands_and_their_options_are_those_of_earlier_releases():
    assert as_json(operator_samples.commands()) == GOLDEN["commands"]


@pytest.mark.parametrize("name", operator_samples.VARIANTS)
def test_every_key_of_the_settings_is_read_into_its_place(monkeypatch, name):
    read = operator_samples.settings_read(operator_samples.VARIANTS[name], monkeypatch)
    assert as_json(read) == GOLDEN["settings"][name]
