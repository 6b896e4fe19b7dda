"""Watched list files, seen from outside: the program started, files written by every kind of writer."""

from __future__ import annotations

import json
import os
import shutil
import subprocess
import sys
import time

import pytest

from tests.helpers import ROOT, FakeDiscoveryService, FakeEngine, GatewayProcess, member, until
from vanerelay.membership import control_socket
from vanerelay.membership.control_protocol import Operation

BOUND = 2.0  # seconds from a change until no engine gets new work against it


class Site:
    """A gateway that watches one list file, beside a feed that lists the engines of `fed`."""

    def __init__(self, folder, fed=(), files="", **blocks):
        self.folder, self.made, self.revision = folder, [], 0
        self.lists = folder / "lists"
        self.lists.mkdir(exist_ok=True)
        self.path, self.console = self.lists / "engines.json", folder / "console"
        checks = blocks.pop("checks", "most_lost = 0.9")
        other = "\n".join(f"{name} {{\n{body}\n}}" for name, body in blocks.items())
        self.options = (
            f'membership {{\nfiles "main" {{\npaths = ["{files or self.path}"]\nchecks {{\n{checks}\n}}\n}}\n'
            f'console {{\nsocket = "{self.console}"\n}}\n{other}\n}}\n'
        )
        self.fed, self.feed = fed, FakeDiscoveryService()

    def engine(self):
        self.made.append(
            FakeEngine(lambda engine, connection, ident: engine.return_result(connection, ident))
        )
        return self.made[-1]

    def start(self):
        self.node = GatewayProcess(self.folder, self.feed, *self.fed, options=self.options)
        return self.node

    def text(self, *rows, revision=None):
        self.revision += 1
        return json.dumps(
            {"revision": self.revision if revision is None else revision, "members": list(rows)}
        )

    def put(self, *rows, revision=None, path=None):
        """Writes a list by renaming a complete file over the old one."""
        new = self.folder / "new"
        new.write_text(self.text(*rows, revision=revision))
        new.rename(path or self.path)
        return time.monotonic()

    def members_command(self, *arguments, code=0):
        completed = subprocess.run(
            [sys.executable, "-m", "vanerelay", "members", *arguments],
            cwd=ROOT,
            capture_output=True,
            text=True,
            env={**os.environ, "VANERELAY_CONSOLE": str(self.console)},
            check=False,
        )
        assert completed.returncode == code, completed.stderr + completed.stdout
        return completed.stdout if code == 0 else completed.stderr

    def engines(self):
        """What is in force, by id."""
        _, rows = control_socket.send_request(str(self.console), Operation.SHOW)
        return {row["id"]: row for row in rows}

    def problems(self):
        head, _ = control_socket.send_request(str(self.console), Operation.SHOW)
        return {
            path: problem for source in head["sources"] for path, problem in source.get("trouble", {}).items()
        }

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

    def make(**options):
        made.append(Site(tmp_path, **options))
        return made[-1]

    yield make
    for one in made:
        one.close()


def run_queries(client, numbers, pause=0.005):
    """Sends queries one after the other; their result codes."""
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
    assert run_queries(client, range(1, 11)) == [0] * 10
    until(lambda: set(s.engines()) == {"e-1", "e-2"}, "both engines in force")
    assert len(one.served()) == 10 and not two.served()  # a weight of 0 gets nothing new
    s.put(member(one, "e-1"), member(two, "e-2"))
    until(lambda: s.engines()["e-2"]["weight"] == 100, "the weight in force")
    assert run_queries(client, range(11, 61)) == [0] * 50
    assert two.served()


def in_place(site, rows):
    """Truncates and writes in two pieces, with a pause in between."""
    text = site.text(*rows)
    with site.path.open("w") as file:
        file.write(text[: len(text) // 2])
        file.flush()
        time.sleep(0.3)
        file.write(text[len(text) // 2 :])


def overwritten(site, rows):
    """Writes over the old bytes, both of one length, so that every state of the file parses."""
    old = site.path.read_text()
    text = site.text(*rows)
    size = max(len(old), len(text))
    site.path.write_text(old.ljust(size))
    time.sleep(0.4)
    with site.path.open("r+") as file:
        for at in range(0, size, 40):
            file.write(text.ljust(size)[at : at + 40])
            file.flush()
            time.sleep(0.02)


def renamed(site, rows):
    site.put(*rows)


def recreated(site, rows):
    site.path.unlink()
    time.sleep(0.2)
    site.path.write_text(site.text(*rows))


def folder_recreated(site, rows):
    shutil.rmtree(site.lists)
    time.sleep(0.7)
    site.lists.mkdir()
    site.path.write_text(site.text(*rows))


def folder_moved(site, rows):
    site.lists.rename(site.folder / "away")
    site.lists.mkdir()
    site.put(*rows)


def link_swapped(site, rows):
    """As container platforms replace mounted files: a link to a folder changes in one step."""
    for name in ("v1", "v2"):
        (site.lists / name).mkdir(exist_ok=True)
    if not (site.lists / "data").is_symlink():
        shutil.copy(site.path, site.lists / "v1" / "engines.json")
        (site.lists / "data").symlink_to("v1")
        site.path.unlink()
        site.path.symlink_to("data/engines.json")
        time.sleep(0.5)
    (site.lists / "v2" / "engines.json").write_text(site.text(*rows))
    (site.lists / "next").symlink_to("v2")
    (site.lists / "next").rename(site.lists / "data")


@pytest.mark.parametrize(
    "write", [renamed, in_place, overwritten, recreated, folder_recreated, folder_moved, link_swapped]
)
def test_every_kind_of_writer_and_no_new_work_for_a_removed_engine(site, write):
    s = site()
    one, two = s.engine(), s.engine()
    s.put(member(one, "e-1"), member(two, "e-2"))
    client = s.start().client()
    until(lambda: set(s.engines()) == {"e-1", "e-2"}, "both engines")
    write(s, [member(two, "e-2")])
    end, number = time.monotonic() + BOUND, 1
    while time.monotonic() < end:
        assert run_queries(client, [number]) == [0]
        number += 1
    served = len(one.served())
    assert run_queries(client, range(number, number + 50)) == [0] * 50
    assert len(one.served()) == served and set(s.engines()) == {"e-2"} and not s.problems()


def test_bad_files_leave_the_old_list_in_force_and_are_reported(site):
    s = site(checks="most_lost = 0.3")
    engines = [s.engine() for _ in range(4)]
    rows = [member(one, f"e-{n}") for n, one in enumerate(engines)]
    s.put(*rows)
    client = s.start().client()
    until(lambda: len(s.engines()) == 4, "the engines")
    whole = s.text(*rows)
    bad_files = (
        (whole[:-20], "line 1"),
        ("", "line 1"),
        (s.text(), "empty"),
        (s.text(*rows, rows[0]), "second"),
        (s.text(*rows, revision=0), "revision 0"),
        (s.text(*rows[:2]), "2 of 4"),
    )
    for stream, (bad, says) in enumerate(bad_files, 1):
        s.path.write_text(bad)
        until(lambda says=says: says in str(s.problems()), says)
        assert len(s.engines()) == 4 and run_queries(client, [stream]) == [0]
    assert "2 of 4" in s.members_command("show") and "held" in s.members_command("show")
    assert "in force" in s.members_command("confirm") and len(s.engines()) == 2 and not s.problems()
    assert "nothing is held" in s.members_command("confirm", code=2)
    warned = [line for line in s.node.log.read_text().splitlines() if "list file rejected" in line]
    assert 1 <= len(warned) <= 6


def test_an_engine_removed_with_queries_in_flight_answers_them_and_gets_nothing_new(site):
    s = site()
    in_flight = []
    slow, two = FakeEngine(lambda e, connection, ident: in_flight.append((connection, ident))), s.engine()
    s.made.append(slow)
    s.put(member(slow, "e-1"))
    client = s.start().client()
    until(lambda: s.engines(), "the engine")
    for number in range(1, 6):
        client.ask(number, f"s{number}")
    until(lambda: len(in_flight) == 5, "five queries in flight")
    s.put(member(two, "e-2"))
    until(lambda: set(s.engines()) == {"e-2"}, "the other list")
    assert run_queries(s.node.client(), range(1, 31)) == [0] * 30 and len(in_flight) == 5
    # The same id at the same address comes back within a second, and what it runs is still answered.
    s.put(member(slow, "e-1"))
    for connection, ident in list(in_flight):
        slow.return_result(connection, ident)
    assert sorted(client.answer()[:2] for _ in range(5)) == [(n, 0) for n in range(1, 6)]
    until(lambda: set(s.engines()) == {"e-1"}, "the engine again")
    client.ask(9, "again")
    until(lambda: len(in_flight) == 6, "new work once more")
    slow.return_result(*in_flight[5])
    assert client.answer()[:2] == (9, 0)


def test_a_new_id_at_the_old_address_and_feed_against_file(site):
    s = site()
    one, two = s.engine(), s.engine()
    s.fed = (member(one, "e-1"), member(two, "e-2"))
    s.put(member(one, "e-1"))
    client = s.start().client()
    until(lambda: set(s.engines()) == {"e-1", "e-2"}, "both")
    s.put(member(one, "e-9"))
    # the feed's e-1 was removed by the file
    until(lambda: set(s.engines()) == {"e-9", "e-2"}, "the new id")
    assert "taken off" in s.members_command("show", "e-1")
    s.feed.publish(member(two, "e-2", "DRAINING"))
    until(lambda: s.engines()["e-2"]["phase"] == "DRAINING", "the feed's drain")
    s.put(member(one, "e-9"), member(two, "e-2"))
    until(lambda: '"changed": 1' in s.node.log.read_text(), "the file that says otherwise")
    before = len(two.served())
    assert run_queries(client, range(1, 31)) == [0] * 30 and len(two.served()) == before
    s.feed.publish(member(two, "e-2"))
    until(lambda: s.engines()["e-2"]["phase"] == "SERVING", "the end of the drain")


def test_the_last_good_list_and_the_pinned_one_survive_a_crash(site):
    s = site(store=f'folder = "{site.__name__}"')
    s.options = s.options.replace(site.__name__, str(s.folder / "store"))
    one, two = s.engine(), s.engine()
    s.put(member(one, "e-1"), member(two, "e-2"))
    s.start()
    until(lambda: len(s.engines()) == 2 and "1" in s.members_command("history"), "a list that is saved")
    s.path.write_text("{")
    until(s.problems, "the broken file")

    def crash_and_restart():
        s.node.process.kill()
        s.node.process.wait()
        s.node.start()
        until(s.node._ready, "readiness")

    crash_and_restart()
    assert len(s.engines()) == 2 and run_queries(s.node.client(), range(1, 9)) == [0] * 8
    s.put(member(one, "e-1"))
    until(lambda: len(s.engines()) == 1, "the next list")
    until(lambda: "\nmain" in s.members_command("history").split("2", 1)[1], "two lists saved")
    assert "pinned at revision 1" in s.members_command("pin", "1") and len(s.engines()) == 2
    crash_and_restart()
    assert len(s.engines()) == 2 and "pinned: main at revision 1" in s.members_command("show")
    assert json.loads(s.members_command("unpin", "--json")) == {"source": "main", "pinned": None}
    assert len(s.engines()) == 1 and "not kept" in s.members_command("pin", "77", code=2)
    listed = json.loads(s.members_command("list"))
    assert listed["revision"] == 2 and [row["id"] for row in listed["members"]] == ["e-1"]
    assert oct(s.console.stat().st_mode & 0o777) == "0o600"


def test_lists_of_a_pattern_are_one_list(site, tmp_path):
    s = site(files=f"{tmp_path}/lists/*.json")
    one, two = s.engine(), s.engine()
    s.put(member(one, "e-1"), path=s.lists / "a.json")
    s.put(member(two, "e-2"), path=s.lists / "b.json")
    s.start()
    until(lambda: set(s.engines()) == {"e-1", "e-2"}, "both files")
    s.put(member(one, "e-1"), member(two, "e-2"), path=s.lists / "a.json")
    until(lambda: "b.json" in str(s.problems()), "the engine in two files is reported")
    assert len(s.engines()) == 2


def test_polling_makes_up_for_lost_events(site, monkeypatch):
    """With no watch to be had at all (the limit on instances reached), the bound still holds."""
    s = site()
    one, two = s.engine(), s.engine()
    s.put(member(one, "e-1"), member(two, "e-2"))
    hook = tmp = s.folder / "hook"
    tmp.mkdir()
    (hook / "sitecustomize.py").write_text(
        "import twisted.internet.inotify as i\n"
        "class No(i.INotify):\n"
        "    def __init__(self, reactor=None):\n"
        "        raise i.INotifyError('too many')\n"
        "i.INotify = No\n"
    )
    monkeypatch.setenv("PYTHONPATH", str(hook))
    client = s.start().client()
    until(lambda: len(s.engines()) == 2, "both engines")
    replaced_at = s.put(member(two, "e-2"))
    until(lambda: set(s.engines()) == {"e-2"}, "the list without events")
    assert time.monotonic() - replaced_at < BOUND + 1 and run_queries(client, range(1, 31)) == [0] * 30
    assert s.node.log.read_text().count("files are polled") == 1


@pytest.mark.parametrize(
    ("options", "says"),
    [
        ("membership {\n", "line"),
        ("membership {\nfeed {\nstale_after = 3\n}\n}\n", "line 3: stale_after"),
        ('membership {\nconsole {\nsocket = "/proc/none/x"\n}\n}\n', "the console: /proc/none/x"),
    ],
)
def test_options_that_cannot_be_used_stop_the_start_with_one_line(tmp_path, options, says):
    feed = FakeDiscoveryService()
    with pytest.raises(AssertionError, match=says):
        GatewayProcess(tmp_path, feed, member(1), options=options)
    feed.server.shutdown()
    feed.server.server_close()


def test_the_command_line_checks_and_compares_files(tmp_path):
    one, two, bad = (tmp_path / name for name in ("one.json", "two.json", "bad.json"))
    one.write_text(json.dumps({"revision": 1, "members": [member(1, "a"), member(2, "b")]}))
    two.write_text(json.dumps({"revision": 2, "members": [member(1, "a", "DRAINING"), member(3, "c")]}))
    bad.write_text(one.read_text()[:-4])

    def members(*arguments):
        completed = subprocess.run(
            [sys.executable, "-m", "vanerelay", "members", *map(str, arguments)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        return completed.returncode, completed.stdout, completed.stderr

    assert members("check", one, two) == (
        0,
        f"{one}: revision 1, 2 engines\n{two}: revision 2, 2 engines\n",
        "",
    )
    code, out, err = members("check", "--json", one, bad)
    assert code == 2 and err.startswith(f"vanerelay: {bad}: line 1") and err.count("\n") == 1
    assert [json.loads(line)["ok"] for line in out.splitlines()] == [True, False]
    assert members("diff", one, two) == (
        1,
        "~ a: state up to draining\n- b: 127.0.0.1:2\n+ c: 127.0.0.1:3\n",
        "",
    )
    assert members("diff", one, one)[0] == 0 and members("diff", one, bad)[0] == 2
    assert members("show", "--socket", tmp_path / "none")[0] == 2
