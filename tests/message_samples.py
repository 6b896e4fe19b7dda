"""A sample of each kind of message between gateways, controllers and supervisors.

The values are positional, so that the samples do not depend on the names of fields.
`tests/data/messages.json` holds the encoded samples as an earlier release wrote them.
"""

from __future__ import annotations

from typing import Any

from vanerelay.fleet import messages as fleet
from vanerelay.freshness import messages as freshness
from vanerelay.leases import messages as leases
from vanerelay.leases.voter import Ballot, Grant, VoterAnswer
from vanerelay.membership import control_protocol
from vanerelay.rollout import messages as rollout
from vanerelay.rollout.canary_baseline import Baseline
from vanerelay.rollout.events import Event
from vanerelay.warming import messages as warming

MEMBER = fleet.MemberRow(
    "m1", 1700000000001, 5, 2, "east", "127.0.0.1:7946", "0.2.0-abc", "def", "serving", "7/c"
)
MINIMAL_MEMBER = fleet.MemberRow("m2", 3)
BALLOT = Ballot(4, "m1", 991)
GRANT = Grant(2**32 + 6, "m1", 991, 30000, BALLOT)
CLASS_METRICS = rollout.ClassMetrics(9, 7.5, 1, 2, 3, 11, [0, 4, 2])
GATEWAY_METRICS = rollout.GatewayMetrics(
    {"look": CLASS_METRICS, "order": rollout.ClassMetrics()}, 0.25, 12.5, 3, 4.75
)


def msgpack_samples() -> dict[str, Any]:
    """Returns the messages encoded as MessagePack; those named `.least` have defaults where possible."""
    return {
        "fleet.row": MEMBER,
        "fleet.row.least": MINIMAL_MEMBER,
        "fleet.ping": fleet.Ping("prod", MEMBER, [MINIMAL_MEMBER], True),
        "fleet.ping.least": fleet.Ping("prod", MINIMAL_MEMBER),
        "fleet.through": fleet.IndirectPing("prod", "m2", "127.0.0.1:7947"),
        "fleet.heard": fleet.PingReply([MEMBER, MINIMAL_MEMBER], False),
        "fleet.heard.least": fleet.PingReply(),
        "fleet.view": fleet.View("m1", "prod", [MEMBER, MINIMAL_MEMBER], True, 8, 9),
        "leases.ask": leases.VoteRequest(2, [("tidy", BALLOT)], [("tidy", GRANT)], True, "tidy"),
        "leases.ask.least": leases.VoteRequest(),
        **{
            f"leases.replied.{index}": leases.ReplyMessage(answer, GRANT, 700, BALLOT)
            for index, answer in enumerate(VoterAnswer)
        },
        "leases.told": leases.RecordMessage("tidy", BALLOT, GRANT),
        "leases.answer": leases.VoteResponse(
            "silent",
            3,
            2,
            [leases.ReplyMessage(VoterAnswer(next(iter(VoterAnswer))), GRANT, 1, BALLOT)],
            [leases.ReplyMessage(VoterAnswer(list(VoterAnswer)[2]), Grant(), 0, Ballot())],
            [leases.RecordMessage("tidy", BALLOT, GRANT)],
            True,
        ),
        "leases.answer.least": leases.VoteResponse(),
        "leases.row": leases.TaskStatus("tidy", True, 7, 1500, 4, 2),
        "leases.row.least": leases.TaskStatus("tidy"),
        "leases.view": leases.LeasesStatus(
            "m1", ["m1", "m2", "m3"], ["m4"], 2, "knows", 1, [leases.TaskStatus("tidy")], 44, "disk full"
        ),
        "leases.view.least": leases.LeasesStatus("m1"),
        "freshness.pull": freshness.ShardUpdateRequest(3, 5, 70),
        "freshness.pull.least": freshness.ShardUpdateRequest(0),
        "freshness.news": freshness.ShardUpdateMessage(
            5,
            "m1",
            71,
            True,
            ["e1", "e2"],
            [(0, 4, 70, 2, 900, 1), (1, 4, 71, -1, -1, -1)],
            [(0, 33), (1, 44)],
        ),
        "freshness.news.least": freshness.ShardUpdateMessage(),
        "freshness.pin-ask": freshness.SessionLookupRequest("closing-17", 300000),
        "freshness.pin-put": freshness.SessionStoreRequest("closing-17", 300000, "e1", 6, 2, 118),
        "freshness.pin-put.least": freshness.SessionStoreRequest("closing-17", 300000, "e1", 6),
        "freshness.pin-told": freshness.SessionReply("e1", 6, 2, 118, True),
        "freshness.pin-told.least": freshness.SessionReply(),
        "freshness.load-ask": freshness.LoadLookupRequest("00c0ffee"),
        "freshness.load-put": freshness.LoadStoreRequest("00c0ffee", 4, 2, 117),
        "freshness.load-told": freshness.LoadReply(4, 2, 117),
        "freshness.load-told.least": freshness.LoadReply(),
        "warming.ask": warming.PopularityRequest(12),
        "warming.slice": warming.SliceMessage(12, 900, b"\x01\x02", b"\x03", [4, 5]),
        "warming.told": warming.PopularityReply(
            [warming.SliceMessage(12, 900, b"\x01\x02", b"\x03", [4, 5])], 13, [(4, "e1", 2500)]
        ),
        "warming.do": warming.PrefetchRequest("warm/east", 7, 3, "m1", 50000, [(4, "e1"), (5, "e2")]),
        "warming.done": warming.PrefetchReply(2, 8),
        "rollout.order": rollout.Order(7, "change", "settings", b'{"a":1}', 3),
        "rollout.order.least": rollout.Order(7, "change"),
        "rollout.taken": rollout.OrderReply(7, False, True, "no room"),
        "rollout.taken.least": rollout.OrderReply(7),
        "rollout.asked": rollout.StateRequest(False),
        "rollout.asked.least": rollout.StateRequest(),
        "rollout.group": CLASS_METRICS,
        "rollout.figures": GATEWAY_METRICS,
        "rollout.figures.least": rollout.GatewayMetrics(),
        "rollout.state": rollout.GatewayState(
            "m1",
            "0.2.0-abc",
            "def",
            "serving",
            1700000000001,
            7,
            3,
            1700000009999,
            "new",
            2.0,
            GATEWAY_METRICS,
        ),
        "rollout.state.least": rollout.GatewayState("m1", "", "", "keeps", 0),
    }


def json_samples() -> dict[str, Any]:
    """Returns the records and requests encoded as JSON."""
    return {
        "rollout.event": Event("ordered", 1234567, "m1", 7, 3, "new strict", 2, "why"),
        "rollout.event.least": Event("begun", 5),
        "rollout.baseline": Baseline(
            [("m1", "look", "utility", 9, 0.25, 0.5)], {"look": (0, 3, 1)}, {"look": (9, 0.125, 0.0625)}
        ),
        "membership.request": control_protocol.Request(1, "show", "e1", "main", 7, 10),
    }


# Kinds of request that each subsystem answers, by their names on the wire.
KINDS = {
    "fleet": ["ping", "through", "view"],
    "leases": ["lease", "lease-free", "leases"],
    "freshness": ["fresh-load", "fresh-load-put", "fresh-news", "fresh-pin", "fresh-pin-put"],
    "warming": ["warm-do", "warm-told"],
    "rollout": ["order", "state"],
}
