"""List files, options, the control socket's lines and the store: complete, cut off anywhere, damaged."""

from __future__ import annotations

import json
import os
import signal
import sqlite3

import pytest

from vanerelay import operator_config
from vanerelay.interface import SECOND, EngineState
from vanerelay.membership import control_protocol, list_codec, store
from vanerelay.membership.errors import ListFileError, StoreError

KNOWN = {"east": 0, "west": 1}, {"std": 0}
NAMES = ["east", "west"], ["std"]


def row(name="e-1", **other):
    return {
        "id": name,
        "host_port": "10.1.0.9:6565",
        "locality": "west",
        "flavor": "std",
        "cell": 2,
        "phase": "SERVING",
        "size": 4,
        "up_since_ms": 7,
        **other,
    }


def text(*rows, **other):
    return json.dumps({"revision": 7, "members": list(rows), **other}).encode()


def test_a_list_file_is_read_as_written():
    found = list_codec.read(
        text(row(weight=50), row("e-2", host_port="10.1.0.9:1", phase="DRAINING"), count=2), *KNOWN
    )
    assert found.revision == 7
    one, two = found.engines["e-1"], found.engines["e-2"]
    assert (one.zone, one.machine_kind, one.cell, one.size, one.started_at, one.weight) == (
        1,
        0,
        2,
        4.0,
        70,
        0.5,
    )
    assert (two.state, two.weight, two.entry(3).weight) == (EngineState.DRAINING, 1.0, 1.0)
    assert list_codec.to_row(one, *NAMES) == row(weight=50.0, size=4.0, up_since_ms=7)
    assert list_codec.unpack(list_codec.pack({"p": found}, *NAMES), *KNOWN) == {"p": found}


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (text(row(), row("e-2")), "line 1: $.members[1].host_port: 10.1.0.9:6565 is that of 'e-1' too"),
        (text(row(), row(host_port="10.1.0.9:2")), "$.members[1].id: a second 'e-1'"),
        (text(row(host_port="a.name:1")), "expected an IPv4 literal and a port"),
        (text(row(host_port="10.1.0.9:0")), "expected an IPv4 literal"),
        (text(row(host_port="[::1]:80")), "expected an IPv4 literal"),
        (text(row(locality="north")), "$.members[0].locality: 'north', expected one of east, west"),
        (text(row(flavor="big")), "flavor: 'big', expected one of std"),
        (text(row(weight=1001)), "$.members[0].weight: Expected `float` <= 1000"),
        (text(row(weight=-1)), "$.members[0].weight"),
        (text(row(weight="5")), "Expected `float`, got `str`"),
        (text(row(size=0)), "size"),
        (text(row(cell=-1)), "cell"),
        (text(row(phase="UP")), "phase"),
        (text(row(id="")), "id"),
        (text(row(up_since_ms=1e300)), "up_since_ms"),
        (text(row(wieght=5)), "unknown field `wieght`"),
        (text({"id": "x"}), "host_port"),
        (text(row(), count=2), "$.count: 2 members told, 1 there"),
        (text(row()).replace(b"7", b"NaN"), "line 1"),
        (text(row()).replace(b"4,", b"NaN,"), "line 1"),
        (text(row(), more=1), "more"),
        (b'{"members": []}', "revision"),
        (text(revision=-1), "$.revision"),
        (text(revision=1.5), "$.revision"),
        (b"[]", "$: Expected"),
        (b"\xff", "line 1"),
        (b'{"members": ' + b"[" * 5000, "$.members[0]: Expected `object`"),
        (
            b'{"revision": 1,\n "members": [\n'
            + json.dumps(row()).encode()
            + b",\n"
            + json.dumps(row("b")).encode()
            + b"]}",
            "line 4: $.members[1]",
        ),
    ],
)
def test_a_list_file_that_cannot_be_used_is_rejected_in_one_line(data, says):
    with pytest.raises(ListFileError) as error:
        list_codec.read(data, *KNOWN)
    assert says in str(error.value) and "\n" not in str(error.value)


def test_a_list_file_cut_off_at_any_byte_is_rejected():
    whole = text(row(), row("e-2", host_port="10.1.0.9:1"))
    for end in range(len(whole)):
        with pytest.raises(ListFileError):
            list_codec.read(whole[:end], *KNOWN)


# Options.

GOOD = """
membership {
  feed { stale_after = "20s" }
  files "main" {
    paths = ["/etc/engines.json", "/etc/more/*.json"]
    complete = true
    checks {
      most_lost = 0.5
      confirm_after = "1.5m"
    }
    stillness { still = "80ms" }
  }
  files "other" {
    paths = ["/o"]
    precedence = 15
  }
  flapping { returns = 5 }
  store { folder = "/var/lib/vanerelay" }
  console { socket = "/run/x" }
}
"""


def written(tmp_path, options):
    file = tmp_path / "operator.hcl"
    file.write_text(options)
    return str(file)


def test_options_are_read_into_each_config(tmp_path):
    found = operator_config.read_subsystems(written(tmp_path, GOOD))["membership"]
    main, other = found.files
    assert (found.feed.stale_after, found.feed.precedence) == (20 * SECOND, 20)
    assert main.source.complete and main.source.precedence == 10 and other.source.precedence == 15
    assert (main.acceptance.max_lost_fraction, main.acceptance.confirm_after) == (0.5, 90 * SECOND)
    assert main.stability.quiet_period == 800
    assert (found.flap_damping.max_returns, found.store.folder) == (5, "/var/lib/vanerelay")
    assert found.store.max_lists == 50
    assert found.control_socket == "/run/x" and not operator_config.read_subsystems(written(tmp_path, ""))


@pytest.mark.parametrize(
    ("old", "new", "line", "says"),
    [
        ('stale_after = "20s"', "stale_after = 20", 3, 'expected a time such as "30s"'),
        ('stale_after = "20s"', 'stale_after = "20 days"', 3, "expected a time"),
        ('stale_after = "20s"', 'stale = "20s"', 3, "stale in feed, expected one of"),
        ("most_lost = 0.5", "most_lost = 1.5", 8, "most_lost: Expected `float` <= 1"),
        ("most_lost = 0.5", 'most_lost = "a"', 8, "Expected `float`, got `str`"),
        ("complete = true", "complete = 1", 6, "Expected `bool`"),
        ('"/etc/engines.json", ', '"engines.json", ', 5, "whole paths"),
        ('paths = ["/o"]', "", 13, "whole paths"),
        ('paths = ["/o"]', 'paths = ["${x}"]', 14, "a plain value"),
        ('files "other"', 'files "main"', 13, "duplicate block files main"),
        ('files "other"', "files", 13, "a name of its own"),
        ("precedence = 15", "precedence = -1", 15, "0 or more"),
        ("precedence = 15", "precedence = 15\nprecedence = 16", 16, "duplicate attribute precedence"),
        ('folder = "/var/lib/vanerelay"', "", 18, "store: no folder"),
        ('socket = "/run/x"', "", 19, "console: no socket"),
        ("flapping {", "flaping {", 17, "flaping in membership"),
        ("flapping {", "flapping = {", 17, "flapping is a block"),
        ("flapping {", "flapping { {", 17, "not HCL"),
        ("membership {", "members {", 2, "members in the file"),
    ],
)
def test_what_is_wrong_with_options_is_reported_by_file_and_line(tmp_path, old, new, line, says):
    assert old in GOOD
    path = written(tmp_path, GOOD.replace(old, new))
    with pytest.raises(operator_config.OperatorConfigError) as fault:
        operator_config.read_subsystems(path)
    assert str(fault.value).startswith(f"{path}, line {line}") and says in str(fault.value)
    assert "\n" not in str(fault.value)


def test_the_example_that_is_delivered_can_be_used():
    assert operator_config.read_subsystems(
        os.path.join(os.path.dirname(__file__), "..", "deploy", "operator.hcl")
    )["membership"].files


# The control socket's lines.


def test_requests_are_parsed_at_once_and_byte_by_byte():
    asked = b'{"v":1,"op":"show"}\n{"v":1,"op":"pin","revision":4,"source":"m"}\n'
    at_once = control_protocol.RequestParser().feed(asked)
    parser = control_protocol.RequestParser()
    assert [one for at in range(len(asked)) for one in parser.feed(asked[at : at + 1])] == at_once
    show, pin = at_once
    assert (show.operation, pin.operation, pin.revision, pin.source) == ("show", "pin", 4, "m")


@pytest.mark.parametrize(
    ("data", "says", "fatal"),
    [
        (b"nonsense\n", "malformed", False),
        (b'{"v":2,"op":"show"}\n', "version 2, expected 1", False),
        (b'{"v":1,"op":"rm"}\n', "op", False),
        (b'{"v":1,"op":"show","x":1}\n', "x", False),
        (b"\n", "", False),
        (b"a" * 5000, "too long", True),
        (b"a" * 5000 + b"\n", "too long", True),
        (b"\xff\n", "", False),
    ],
)
def test_lines_that_are_no_requests(data, says, fatal):
    (found,) = control_protocol.RequestParser().feed(data)
    assert isinstance(found, control_protocol.InvalidRequest)
    assert says in found.reason and found.fatal is fatal


# The store.


def list_files(revision, *names):
    return {
        "/f": list_codec.read(
            text(
                *(row(n, host_port=f"10.1.0.9:{1 + place}") for place, n in enumerate(names)),
                revision=revision,
            ),
            *KNOWN,
        )
    }


def save(at, revision, *names):
    return at.save("main", revision, 1000 + revision, "", list_files(revision, *names), *NAMES)


def test_the_store_keeps_a_bounded_history_and_what_is_pinned(tmp_path):
    at = store.open_store(str(tmp_path / "new"), 3)
    assert at.load("main", *KNOWN) is None and at.history(9) == []
    save(at, 1, "a")
    assert at.pin("main", 1) is None
    for revision in range(2, 8):
        assert save(at, revision, "a", "b") is None
    assert [one.revision for one in at.history(9)] == [7, 6, 5, 1]
    at.close()
    again = store.open_store(str(tmp_path / "new"), 3)
    assert again.load("main", *KNOWN).files == list_files(7, "a", "b") and again.pins() == {"main": 1}
    assert set(again.load("main", *KNOWN, 1).files["/f"].engines) == {"a"}
    again.pin("main", None)
    save(again, 8, "a")
    assert [one.revision for one in again.history(9)] == [8, 7, 6]


def test_a_list_damaged_on_disk_is_passed_over_for_the_one_before(tmp_path):
    at = store.open_store(str(tmp_path), 9)
    save(at, 1, "a")
    save(at, 2, "b")
    at.close()
    with sqlite3.connect(tmp_path / store.FILE_NAME) as other:
        other.execute("UPDATE lists SET body = CAST(REPLACE(body, 'b', 'x') AS BLOB) WHERE revision = 2")
    at = store.open_store(str(tmp_path), 9)
    assert at.load("main", *KNOWN).record.revision == 1
    with pytest.raises(StoreError, match="checksum"):
        at.load("main", *KNOWN, 2)
    at.pin("main", 1)
    with pytest.raises(StoreError, match="expected one of north"):  # zones that are known no more
        at.load("main", {"north": 0}, KNOWN[1], 1)


def foreign(path):
    with sqlite3.connect(path) as other:
        other.execute("PRAGMA application_id = 77")
        other.execute("CREATE TABLE t (x)")


def damaged(path):
    at = store.open_store(str(path.parent), 9)
    for revision in range(1, 20):
        save(at, revision, *(f"n{n}" for n in range(60)))
    at.close()
    data = bytearray(path.read_bytes())
    data[4096:] = os.urandom(len(data) - 4096)
    path.write_bytes(data)


def later(path):
    store.open_store(str(path.parent), 9).close()
    with sqlite3.connect(path) as other:
        other.execute("PRAGMA user_version = 9")


@pytest.mark.parametrize(
    ("make", "says", "aside"),
    [
        (lambda path: path.write_bytes(b"some text"), "left alone", False),
        (foreign, "left alone", False),
        (later, "left alone", False),
        (damaged, "set aside", True),
        (lambda path: path.mkdir(), "", False),
    ],
)
def test_a_damaged_or_foreign_file_is_rejected_with_one_line(tmp_path, make, says, aside):
    path = tmp_path / store.FILE_NAME
    make(path)
    before = path.read_bytes() if path.is_file() else None
    with pytest.raises(StoreError) as error:
        store.open_store(str(tmp_path), 9)
    assert says in str(error.value) and "\n" not in str(error.value)
    if aside:
        assert not path.exists() and isinstance(store.open_store(str(tmp_path), 9), store.Store)
    elif before is not None:
        assert path.read_bytes() == before


def test_a_full_disk_and_one_that_cannot_be_written_leave_what_was_kept(tmp_path):
    at = store.open_store(str(tmp_path), 9)
    save(at, 1, "a")
    page_count = at.connection.execute("PRAGMA page_count").fetchone()[0]
    at.connection.execute(f"PRAGMA max_page_count = {page_count}")
    with pytest.raises(StoreError, match="full"):
        save(at, 2, *(f"n{n}" for n in range(200)))
    assert at.load("main", *KNOWN).record.revision == 1
    at.connection.execute("PRAGMA max_page_count = 100000")
    at.connection.execute("PRAGMA query_only = ON")
    with pytest.raises(StoreError, match="readonly"):
        save(at, 2, "a")
    with pytest.raises(StoreError, match="readonly"):
        at.pin("main", 1)
    at.connection.execute("PRAGMA query_only = OFF")
    assert save(at, 2, "b") is None and at.load("main", *KNOWN).record.revision == 2
    (tmp_path / "file").write_text("")
    for folder in (tmp_path / "file" / "under", "/proc/none"):
        with pytest.raises(StoreError):
            store.open_store(str(folder), 9)


def test_killed_between_any_two_steps_of_a_write_the_last_list_or_the_one_before_is_there(tmp_path):
    at = store.open_store(str(tmp_path), 9)
    save(at, 1, "a")
    at.close()
    seen = set()
    for step in range(1, 400, 6):
        child = os.fork()
        if not child:
            steps = 0

            def count(step=step):
                nonlocal steps
                steps += 1
                if steps >= step:
                    os.kill(os.getpid(), signal.SIGKILL)

            try:
                mine = store.open_store(str(tmp_path), 2)
                mine.connection.set_progress_handler(count, 1)
                save(mine, 2, "a", "b")
            finally:
                os._exit(0)
        _, status = os.waitpid(child, 0)
        after = store.open_store(str(tmp_path), 9)
        found = after.load("main", *KNOWN)
        assert found.files == list_files(*{1: (1, "a"), 2: (2, "a", "b")}[found.record.revision])
        seen.add((os.WIFSIGNALED(status), found.record.revision))
        after.close()
    assert (True, 1) in seen and (False, 2) in seen
