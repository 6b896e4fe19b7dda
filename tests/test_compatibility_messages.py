"""Messages between gateways stay byte for byte what earlier releases send and read.

`tests/data/messages.json` was written by the release before the code was renamed; it is never written anew.
"""

from __future__ import annotations

import json
from typing import Any
from unittest.mock import MagicMock

import msgspec
import pytest
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport

from tests import message_samples
from tests.helpers import ROOT
from vanerelay.clock import Clock
from vanerelay.fleet import config as fleet_parts
from vanerelay.fleet import rpc
from vanerelay.fleet.service import FleetService
from vanerelay.freshness import config as freshness_config
from vanerelay.freshness.service import FreshnessService
from vanerelay.leases import config as lease_parts
from vanerelay.leases.service import Leases
from vanerelay.leases.voter import LeaseTerms, Voters
from vanerelay.rollout.agent import RolloutAgent
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.class_totals import ClassTotals
from vanerelay.warming import extension as warming_extension

GOLDEN = json.loads((ROOT / "tests/data/messages.json").read_text())
MSGPACK = message_samples.msgpack_samples()
JSON = message_samples.json_samples()


def packed(body: Any) -> str:
    return msgspec.msgpack.encode(body).hex()


def test_every_message_has_its_bytes_kept():
    assert set(GOLDEN["msgpack"]) == set(MSGPACK) and set(GOLDEN["json"]) == set(JSON)


@pytest.mark.parametrize("name", GOLDEN["msgpack"])
def test_a_message_is_written_and_read_as_by_earlier_releases(name):
    golden, sample = GOLDEN["msgpack"][name], MSGPACK[name]
    assert packed(sample) == golden
    assert msgspec.msgpack.decode(bytes.fromhex(golden), type=type(sample)) == sample


@pytest.mark.parametrize("name", GOLDEN["json"])
def test_what_is_stored_as_json_is_written_and_read_as_by_earlier_releases(name):
    golden, sample = GOLDEN["json"][name], JSON[name]
    assert msgspec.json.encode(sample).decode() == golden
    assert msgspec.json.decode(golden, type=type(sample)) == sample


def link_to(handlers: dict[str, Any]) -> tuple[Any, StringTransport]:
    everyone = rpc.RpcNode(FakeReactor())
    everyone.handlers |= handlers
    link, transport = rpc.RpcConnection(everyone), StringTransport()
    link.makeConnection(transport)
    return link, transport


def test_a_question_has_the_command_and_arguments_of_earlier_releases():
    link, transport = link_to({})
    link.callRemote(rpc.Call, kind="ping", body=b"\x01\x02").addErrback(lambda _: None)
    assert transport.value().hex() == GOLDEN["amp"]["question"]


@pytest.mark.parametrize("name", ["answer", "unknown", "refused"])
def test_an_answer_has_the_keys_and_error_codes_of_earlier_releases(name):
    def refuse(body: bytes) -> bytes:
        raise rpc.RequestRefusedError("no")

    link, transport = link_to({"ping": lambda body: body[::-1], "order": refuse})
    link.dataReceived(bytes.fromhex(GOLDEN["amp"][f"{name}.asked"]))
    assert transport.value().hex() == GOLDEN["amp"][name]


def fleet() -> FleetService:
    parts = fleet_parts.FleetConfig("127.0.0.1:7946")
    return FleetService(FakeReactor(), Clock(), parts, "m1", "program", "settings", 1)


def leases_of(fleet: FleetService) -> Leases:
    parts = lease_parts.LeasesConfig(Voters(1, ("m1", "m2", "m3"), ()), terms=LeaseTerms())
    return Leases(FakeReactor(), fleet, parts, MagicMock(), 1, None)


def fleet_kinds() -> set[str]:
    return set(fleet().rpc.handlers)


def lease_kinds() -> set[str]:
    one = fleet()
    leases_of(one)
    return set(one.rpc.handlers) - fleet_kinds()


def freshness_kinds() -> set[str]:
    one = fleet()
    watch = freshness_config.WatchConfig(("copies", "@ID@"))
    leases = leases_of(one)
    before = set(one.rpc.handlers)
    FreshnessService(FakeReactor(), one, leases, freshness_config.FreshnessConfig(watch))
    return set(one.rpc.handlers) - before


def rollout_kinds() -> set[str]:
    one, host = fleet(), MagicMock()
    host.limits = {}
    host.gateway.held_share.return_value = 0.0
    before = set(one.rpc.handlers)
    RolloutAgent(host, one, ClassTotals(), AgentStore(""))
    return set(one.rpc.handlers) - before


def warming_kinds() -> set[str]:
    host, joined = MagicMock(), MagicMock()
    joined.fleet.rpc.handlers = handlers = {}
    host.settings, host.zones = {"classes": [{"name": "warm"}]}, {}
    parts = warming_extension.WarmingConfig("warm", "SELECT @GROUP@")
    warming_extension.WarmingExtension(host, parts, joined, MagicMock(), None).open()
    return set(handlers)


@pytest.mark.parametrize(
    ("subsystem", "kinds"),
    [
        ("fleet", fleet_kinds),
        ("leases", lease_kinds),
        ("freshness", freshness_kinds),
        ("rollout", rollout_kinds),
        ("warming", warming_kinds),
    ],
)
def test_each_side_answers_the_kinds_of_question_that_earlier_releases_ask(subsystem, kinds):
    assert sorted(kinds()) == message_samples.KINDS[subsystem]


def test_each_figure_of_a_service_class_has_its_place_in_the_array():
    tally = ClassTotals()
    for code, value, answered_after in ((0, 1.0, 20), (0, 0.5, 90), (1, 0.25, 5), (2, 0.0, 5), (2, 0.0, 5)):
        tally.query_answered("look", value, code, answered_after, 3)
    assert packed(tally.metrics()) == GOLDEN["tally"]
