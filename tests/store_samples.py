"""Writes a file of each store with fixed content, which is also the content expected from stored files.

`tests/data/stores/` holds these files as an earlier release wrote them.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
import threading
from pathlib import Path
from typing import Any

import msgspec

from tests import message_samples
from vanerelay.fleet import messages as fleet_messages
from vanerelay.leases import messages as lease_messages
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.voter_service import META_KEY, VOTES_SPACE
from vanerelay.membership import list_codec
from vanerelay.membership.store import open_store
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.change_log import ChangeLog

ENGINE_LIST = {
    "revision": 7,
    "members": [
        {
            "id": "e1",
            "host_port": "10.0.0.1:6565",
            "locality": "here",
            "flavor": "k",
            "cell": 2,
            "phase": "DRAINING",
            "size": 2.5,
            "up_since_ms": 1700000000000,
            "weight": 50,
        },
        {"id": "e2", "host_port": "10.0.0.2:6565", "locality": "here", "flavor": "k"},
    ],
}
LOCATIONS, KINDS = {"here": 0}, {"k": 0}
SETTINGS = {"classes": [{"name": "look"}], "groupSize": 3}
PLAN = 'name = "change"\n'
BASELINE = msgspec.msgpack.encode(message_samples.json_samples()["rollout.baseline"])
EVENTS = [message_samples.json_samples()[name] for name in ("rollout.event", "rollout.event.least")]


class DirectReactor:
    """Runs calls from threads immediately, in the calling thread; `wait` blocks until there was a call."""

    def __init__(self) -> None:
        self._called = threading.Event()

    def callFromThread(self, call: Any, *values: Any) -> None:
        call(*values)
        self._called.set()

    def wait(self) -> None:
        assert self._called.wait(10)


def write_voter_database(folder: Path) -> None:
    """Writes the database of a voter: its meta record and the record of one task."""
    reactor = DirectReactor()
    store = DurableStore(reactor, str(folder))
    record = lease_messages.RecordMessage("tidy", message_samples.BALLOT, message_samples.GRANT)
    store.put(VOTES_SPACE, {META_KEY: msgspec.msgpack.encode((3, 2)), "tidy": fleet_messages.encode(record)})
    reactor.wait()
    store.close()


def write_membership(folder: Path) -> None:
    engine_list = list_codec.read(json.dumps(ENGINE_LIST).encode(), LOCATIONS, KINDS)
    store = open_store(str(folder), 50)
    store.save("main", 7, 1700000000000, "accepted", {"/engines.json": engine_list}, ["here"], ["k"])
    store.pin("main", 7)
    store.close()


def write_change_log(folder: Path) -> None:
    record = ChangeLog(str(folder / "change.record"))
    record.begin("change", PLAN, 3)
    record.set_fence(4)
    record.save_baseline(BASELINE)
    for event in EVENTS:
        record.append(event)
    record.add_command("pause")
    record.close()


def write_agent_files(folder: Path) -> None:
    store = AgentStore(str(folder))
    store.read_settings("0123456789ab")
    store.write_fence("7/change")
    store.write_settings(SETTINGS)
    store.write_file("release", "new")


def dump_rows(path: Path) -> list[str]:
    """Returns the tables and rows of a database as SQL lines, long lines as their digest, and two pragmas."""
    database = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
    lines = [
        line if len(line) < 500 else hashlib.sha256(line.encode()).hexdigest() for line in database.iterdump()
    ]
    pragmas = [
        database.execute(f"pragma {name}").fetchone()[0] for name in ("application_id", "user_version")
    ]
    database.close()
    return [*lines, *map(str, pragmas)]
