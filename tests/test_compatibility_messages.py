"""Messages between gateways keep the encoding of earlier releases, byte for byte.

`tests/data/messages.json` was written by an earlier release and is never regenerated.
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
from vanerelay.fleet import config as fleet_config
from vanerelay.fleet import rpc
from vanerelay.fleet.service import FleetService
from vanerelay.freshness import config as freshness_config
from vanerelay.freshness.service import FreshnessService
from vanerelay.leases import config as lease_config
from vanerelay.leases.service import Leases
from vanerelay.leases.voter import LeaseTerms, Voters
from vanerelay.rollout.agent import RolloutAgent
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.class_totals import ClassTotals
from vanerelay.warming import extension as warming_extension

GOLDEN = json.loads((ROOT / "tests/data/messages.json").read_text())
MSGPACK = message_samples.msgpack_samples()
JSON = message_samples.json_samples()


def msgpack_hex(body: Any) -> str:
    return msgspec.msgpack.encode(body).hex()


def test_each_sample_has_an_encoding_of_an_earlier_release():
    assert set(GOLDEN["msgpack"]) == set(MSGPACK) and set(GOLDEN["json"]) == set(JSON)


@pytest.mark.parametrize("name", GOLDEN["msgpack"])
def test_a_msgpack_message_is_encoded_and_decoded_as_by_earlier_releases(name):
    golden, sample = GOLDEN["msgpack"][name], MSGPACK[name]
    assert msgpack_hex(sample) == golden
    assert msgspec.msgpack.decode(bytes.fromhex(golden), type=type(sample)) == sample


@pytest.mark.parametrize("name", GOLDEN["json"])
def test_a_json_record_is_encoded_and_decoded_as_by_earlier_releases(name):
    golden, sample = GOLDEN["json"][name], JSON[name]
    assert msgspec.json.encode(sample).decode() == golden
    assert msgspec.json.decode(golden, type=type(sample)) == sample


def connection_to(handlers: dict[str, Any]) -> tuple[Any, StringTransport]:
    node = rpc.RpcNode(FakeReactor())
    node.handlers |= handlers
    connection, transport = rpc.RpcConnection(node), StringTransport()
    connection.makeConnection(transport)
    return connection, transport


def test_a_request_has_the_command_and_arguments_of_earlier_releases():
    connection, transport = connection_to({})
    connection.callRemote(rpc.Call, kind="ping", body=b"\x01\x02").addErrback(lambda _: None)
    assert transport.value().hex() == GOLDEN["amp"]["question"]


@pytest.mark.parametrize("name", ["answer", "unknown", "refused"])
def test_a_reply_has_the_keys_and_error_codes_of_earlier_releases(name):
    def refuse(body: bytes) -> bytes:
        raise rpc.RequestRefusedError("no")

    connection, transport = connection_to({"ping": lambda body: body[::-1], "order": refuse})
    connection.dataReceived(bytes.fromhex(GOLDEN["amp"][f"{name}.asked"]))
    assert transport.value().hex() == GOLDEN["amp"][name]


def new_fleet_service() -> FleetService:
    config = fleet_config.FleetConfig("127.0.0.1:7946")
    return FleetService(FakeReactor(), Clock(), config, "m1", "program", "settings", 1)


def leases_of(fleet: FleetService) -> Leases:
    config = lease_config.LeasesConfig(Voters(1, ("m1", "m2", "m3"), ()), terms=LeaseTerms())
    return Leases(FakeReactor(), fleet, config, MagicMock(), 1, None)


def fleet_kinds() -> set[str]:
    return set(new_fleet_service().rpc.handlers)


def lease_kinds() -> set[str]:
    service = new_fleet_service()
    leases_of(service)
    return set(service.rpc.handlers) - fleet_kinds()


def freshness_kinds() -> set[str]:
    service = new_fleet_service()
    watch = freshness_config.WatchConfig(("copies", "@ID@"))
    leases = leases_of(service)
    before = set(service.rpc.handlers)
    FreshnessService(FakeReactor(), service, leases, freshness_config.FreshnessConfig(watch))
    return set(service.rpc.handlers) - before


def rollout_kinds() -> set[str]:
    service, host = new_fleet_service(), MagicMock()
    host.limits = {}
    host.gateway.held_share.return_value = 0.0
    before = set(service.rpc.handlers)
    RolloutAgent(host, service, ClassTotals(), AgentStore(""))
    return set(service.rpc.handlers) - before


def warming_kinds() -> set[str]:
    host, fleet_extension = MagicMock(), MagicMock()
    fleet_extension.fleet.rpc.handlers = handlers = {}
    host.settings, host.zones = {"classes": [{"name": "warm"}]}, {}
    config = warming_extension.WarmingConfig("warm", "SELECT @GROUP@")
    warming_extension.WarmingExtension(host, config, fleet_extension, MagicMock(), None).open()
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
def test_a_subsystem_answers_the_kinds_of_request_of_earlier_releases(subsystem, kinds):
    assert sorted(kinds()) == message_samples.KINDS[subsystem]


def test_class_metrics_are_encoded_in_the_order_of_earlier_releases():
    totals = ClassTotals()
    for code, value, answered_after in ((0, 1.0, 20), (0, 0.5, 90), (1, 0.25, 5), (2, 0.0, 5), (2, 0.0, 5)):
        totals.query_answered("look", value, code, answered_after, 3)
    assert msgpack_hex(totals.metrics()) == GOLDEN["tally"]
