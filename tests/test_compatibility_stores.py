"""What earlier releases have stored is read, and written in the same form.

The files in `tests/data/stores/` were written by the release before the code was renamed; they are never
written anew.
"""

from __future__ import annotations

import json
import shutil

import pytest
from twisted.internet.task import Clock as FakeReactor

from tests import message_samples, store_samples
from tests.helpers import ROOT
from vanerelay.clock import Clock
from vanerelay.fleet import config as fleet_parts
from vanerelay.fleet.service import FleetService
from vanerelay.leases.durable_store import DurableStore
from vanerelay.leases.voter import LeaseTerms, VoterRecord, Voters
from vanerelay.leases.voter_service import VoterService
from vanerelay.membership.store import StoredList, open_store
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.change_log import ChangeLog
from vanerelay.rollout.fence import Fence
from vanerelay.rollout.supervisor import RELEASE_FILE

STORES = ROOT / "tests/data/stores"


@pytest.fixture
def old(tmp_path):
    """A copy of the stored files of an earlier release."""
    return shutil.copytree(STORES, tmp_path / "old")


@pytest.mark.parametrize(
    ("write", "name"),
    [
        (store_samples.write_promises, "promises.db"),
        (store_samples.write_membership, "membership.db"),
        (store_samples.write_record, "change.record"),
    ],
)
def test_a_database_is_written_as_by_earlier_releases(tmp_path, write, name):
    write(tmp_path)
    assert store_samples.rows(tmp_path / name) == store_samples.rows(STORES / name)


@pytest.mark.parametrize("name", ["fence", "ordered.json", "release"])
def test_the_files_of_orders_are_written_as_by_earlier_releases(tmp_path, name):
    store_samples.write_orders(tmp_path)
    assert (tmp_path / name).read_bytes() == (STORES / name).read_bytes()


def test_a_voter_remembers_what_an_earlier_release_promised(old):
    disk = DurableStore(store_samples.DirectReactor(), str(old))
    voters = Voters(2, ("m1", "m2", "m3"), ())
    voting = VoterService(FakeReactor(), "m1", LeaseTerms(), voters, disk, lambda: 0, lambda *_: None)
    assert (voting.voter.era, voting.voter.version) == (3, 2)
    slot = VoterRecord(message_samples.BALLOT, message_samples.GRANT, 30000)
    assert voting.voter.records == {"tidy": slot}
    voting.stop()


def test_the_lists_that_an_earlier_release_accepted_are_read(old):
    store = open_store(str(old), 50)
    loaded = store.load("main", store_samples.LOCATIONS, store_samples.KINDS)
    assert isinstance(loaded, StoredList)
    assert (loaded.record.source, loaded.record.revision, loaded.record.reason) == ("main", 7, "accepted")
    assert store.pins() == {"main": 7}
    first, second = loaded.files["/engines.json"].engines.values()
    assert [first.name, first.address, first.cell, first.size, first.weight] == [
        "e1",
        "10.0.0.1:6565",
        2,
        2.5,
        0.5,
    ]
    assert [second.name, second.started_at, second.weight] == ["e2", 0, 1.0]
    assert [row.reason for row in store.history(5)] == ["accepted"]
    store.close()


def test_a_controller_goes_on_from_the_record_of_an_earlier_release(old):
    record = ChangeLog(str(old / "change.record"), False)
    assert (record.change, record.name, record.fence) == (1, "change", 4)
    assert record.plan() == store_samples.PLAN and record.baseline() == store_samples.BASELINE
    assert record.events() == store_samples.EVENTS
    assert record.take_commands() == ["pause"]
    record.close()


def test_a_gateway_heeds_the_fence_and_the_settings_that_an_earlier_release_kept(old):
    store = AgentStore(str(old))
    fence = Fence(store.read_fence())
    assert fence.highest == 7 and fence.text == "7/change"
    assert store.read_settings("0123456789ab") == store_samples.SETTINGS
    assert store.read_settings("another") is None


def test_a_supervisor_starts_the_release_that_an_earlier_one_kept(old):
    assert RELEASE_FILE == "release" and (old / RELEASE_FILE).read_text() == "new"


def test_an_incarnation_goes_past_that_of_an_earlier_release(old):
    parts = fleet_parts.FleetConfig("127.0.0.1:7946", folder=str(old))
    before = int((STORES / "incarnation").read_text())
    fleet = FleetService(FakeReactor(), Clock(), parts, "m1", "program", "settings", 1)
    assert fleet.detector.own.incarnation == before + 1
    assert json.loads((old / "incarnation").read_text()) == before + 1
