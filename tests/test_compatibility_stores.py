"""Stored files of earlier releases are read, and files are still written in the same form.

The files in `tests/data/stores/` were written by an earlier release and are never regenerated.
"""

from __future__ import annotations

import json
import shutil

import pytest
from twisted.internet.task import Clock as FakeReactor

from tests import message_samples, store_samples
from tests.helpers import ROOT
from vanerelay.clock import Clock
from vanerelay.fleet import config as fleet_config
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
def old_stores(tmp_path):
    """Returns the path of a copy of the stored files of an earlier release."""
    return shutil.copytree(STORES, tmp_path / "old")


@pytest.mark.parametrize(
    ("write", "name"),
    [
        (store_samples.write_voter_database, "promises.db"),
        (store_samples.write_membership, "membership.db"),
        (store_samples.write_change_log, "change.record"),
    ],
)
def test_a_database_is_written_as_by_earlier_releases(tmp_path, write, name):
    write(tmp_path)
    assert store_samples.dump_rows(tmp_path / name) == store_samples.dump_rows(STORES / name)


@pytest.mark.parametrize("name", ["fence", "ordered.json", "release"])
def test_the_files_of_the_rollout_agent_are_written_as_by_earlier_releases(tmp_path, name):
    store_samples.write_agent_files(tmp_path)
    assert (tmp_path / name).read_bytes() == (STORES / name).read_bytes()


def test_a_voter_loads_the_votes_that_an_earlier_release_stored(old_stores):
    store = DurableStore(store_samples.DirectReactor(), str(old_stores))
    voters = Voters(2, ("m1", "m2", "m3"), ())
    voter_service = VoterService(FakeReactor(), "m1", LeaseTerms(), voters, store, lambda: 0, lambda *_: None)
    assert (voter_service.voter.era, voter_service.voter.version) == (3, 2)
    expected = VoterRecord(message_samples.BALLOT, message_samples.GRANT, 30000)
    assert voter_service.voter.records == {"tidy": expected}
    voter_service.stop()


def test_the_membership_store_loads_the_engine_list_that_an_earlier_release_accepted(old_stores):
    store = open_store(str(old_stores), 50)
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


def test_a_controller_continues_from_the_change_log_of_an_earlier_release(old_stores):
    record = ChangeLog(str(old_stores / "change.record"), False)
    assert (record.change, record.name, record.fence) == (1, "change", 4)
    assert record.plan() == store_samples.PLAN and record.baseline() == store_samples.BASELINE
    assert record.events() == store_samples.EVENTS
    assert record.take_commands() == ["pause"]
    record.close()


def test_the_agent_store_reads_the_fence_and_settings_of_an_earlier_release(old_stores):
    store = AgentStore(str(old_stores))
    fence = Fence(store.read_fence())
    assert fence.highest == 7 and fence.text == "7/change"
    assert store.read_settings("0123456789ab") == store_samples.SETTINGS
    assert store.read_settings("another") is None


def test_the_release_file_of_a_supervisor_keeps_its_name_and_form(old_stores):
    assert RELEASE_FILE == "release" and (old_stores / RELEASE_FILE).read_text() == "new"


def test_a_new_incarnation_exceeds_the_one_that_an_earlier_release_stored(old_stores):
    config = fleet_config.FleetConfig("127.0.0.1:7946", folder=str(old_stores))
    before = int((STORES / "incarnation").read_text())
    fleet = FleetService(FakeReactor(), Clock(), config, "m1", "program", "settings", 1)
    assert fleet.detector.own.incarnation == before + 1
    assert json.loads((old_stores / "incarnation").read_text()) == before + 1
