"""Watched list files, seen from outside: the program started, files written by every kind of writer."""
from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import time

import pytest

from tests.helpers import ROOT, Engine, Feed, Node, member, until

BOUND = 2.0  # seconds from a change until no engine gets new work against it


class Site:
    """A node that watches one list file, beside a feed that knows the engines of `fed`."""

    def __init__(self, folder, fed=(), files="", **blocks):
        self.folder, self.made, self.revision = folder, [], 0
        self.lists = folder / "lists"
        self.lists.mkdir(exist_ok=True)
        self.path, self.console = self.lists / "engines.json", folder / "console"
        checks = blocks.pop("checks", "most_lost = 0.9")
        other = "\n".join(f"{name} {{\n{body}\n}}" for name, body in blocks.items())
        self.options = (
            f'membership {{\nfiles "main" {{\npaths = ["{files or self.path}"]\nchecks {{\n{checks}\n}}\n}}\n'
            f'console {{\nsocket = "{self.console}"\n}}\n{other}\n}}\n')
        self.fed, self.feed = fed, Feed()

    def engine(self):
        self.made.append(Engine(lambda engine, connection, ident: engine.returns(connection, ident)))
        return self.made[-1]

    def start(self):
        self.node = Node(self.folder, self.feed, *self.fed, options=self.options)
        return self.node

    def text(self, *rows, revision=None):
        self.revision = self.revision + 1 if revision is None else revision
        return json.dumps({"revision": self.revision, "members": list(rows)})

    def put(self, *rows, revision=None, path=None):
        """A list, by renaming a whole file over the old one."""
        new = self.folder / "new"
        new.write_text(self.text(*rows, revision=revision))
        new.rename(path or self.path)
        return time.monotonic()

    def ask(self, *words, code=0):
        told = subprocess.run(
            [sys.executable, "-m", "vanerelay", "members", *words], cwd=ROOT, capture_output=True, text=True,
            env={**os.environ, "VANERELAY_CONSOLE": str(self.console)}, check=False)
        assert told.returncode == code, told.stderr + told.stdout
        return told.stdout if code == 0 else told.stderr

    def engines(self):
        """What is in force, by id."""
        from vanerelay.membership import desk

        return {row["id"]: row for row in desk.ask(str(self.console), op="show")[1]}

    def trouble(self):
        from vanerelay.membership import desk

        told = desk.ask(str(self.console), op="show")[0]["sources"]
        return {path: why for source in told for path, why in source.get("trouble", {}).items()}

    def close(self):
        if hasattr(self, "node"):
            self.node.process.kill()
            self.node.process.wait()
        self.feed.server.shutdown()
        self.feed.server.server_close()
        for engine in self.made:
            engine.close()


@pytest.fixture
def site(tmp_path):
    made = []

    def make(**told):
        made.append(Site(tmp_path, **told))
        return made[-1]

    yield make
    for one in made:
        one.close()


def work(client, numbers, pause=0.005):
    """Sends look-ups one after the other; what they came to."""
    codes = []
    for number in numbers:
        client.ask(number, f"w{number}")
        codes.append(client.answer()[1])
        time.sleep(pause)
    return codes


def test_a_list_file_is_in_force_at_the_engines(site):
    s = site()
    one, two = s.engine(), s.engine()
    s.put(member(one, "e-1"), {**member(two, "e-2"), "weight": 0})
    client = s.start().client()
    assert work(client, range(1, 11)) == [0] * 10
    until(lambda: set(s.engines()) == {"e-1", "e-2"}, "both engines in force")
    assert len(one.served()) == 10 and not two.served()  # a weight of 0 gets nothing new
    s.put(member(one, "e-1"), member(two, "e-2"))
    until(lambda: s.engines()["e-2"]["weight"] == 100, "the weight in force")
    assert work(client, range(11, 61)) == [0] * 50
    assert two.served()
