"""Writes one file of each store with fixed content, and says what an earlier release's file has to give back.

`tests/data/stores/` holds these files as the release before the code was renamed wrote them.
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
from vanerelay.fleet import messages as fleet_words
from vanerelay.leases import messages as lease_words
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.voter_service import META_KEY, VOTES_SPACE
from vanerelay.membership import list_codec
from vanerelay.membership.store import open_store
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.change_log import ChangeLog

LIST = {
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
    """Calls from threads at once; `wait` until the one that was expected has come."""

    def __init__(self) -> None:
        self._called = threading.Event()

    def callFromThread(self, call: Any, *values: Any) -> None:
        call(*values)
        self._called.set()

    def wait(self) -> None:
        assert self._called.wait(10)


def write_promises(folder: Path) -> None:
    """What a voter keeps: its meta record and one task."""
    reactor = DirectReactor()
    disk = DurableStore(reactor, str(folder))
    told = lease_words.RecordMessage("tidy", message_samples.BALLOT, message_samples.GRANT)
    disk.put(VOTES_SPACE, {META_KEY: msgspec.msgpack.encode((3, 2)), "tidy": fleet_words.encode(told)})
    reactor.wait()
    disk.close()


def write_membership(folder: Path) -> None:
    found = list_codec.read(json.dumps(LIST).encode(), LOCATIONS, KINDS)
    store = open_store(str(folder), 50)
    store.save("main", 7, 1700000000000, "accepted", {"/engines.json": found}, ["here"], ["k"])
    store.pin("main", 7)
    store.close()


def write_record(folder: Path) -> None:
    record = ChangeLog(str(folder / "change.record"))
    record.begin("change", PLAN, 3)
    record.set_fence(4)
    record.save_baseline(BASELINE)
    for event in EVENTS:
        record.append(event)
    record.add_command("pause")
    record.close()


def write_orders(folder: Path) -> None:
    store = AgentStore(str(folder))
    store.read_settings("0123456789ab")
    store.write_fence("7/change")
    store.write_settings(SETTINGS)
    store.write_file("release", "new")


def rows(path: Path) -> list[str]:
    """Tables and rows of a database, as SQL; large blobs by their digest."""
    base = sqlite3.connect(f"file:{path}?mode=ro&immutable=1", uri=True)
    found = [
        line if len(line) < 500 else hashlib.sha256(line.encode()).hexdigest() for line in base.iterdump()
    ]
    pragmas = [base.execute(f"pragma {name}").fetchone()[0] for name in ("application_id", "user_version")]
    base.close()
    return [*found, *map(str, pragmas)]
