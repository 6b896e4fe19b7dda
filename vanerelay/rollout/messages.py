"""Messages between a controller, a gateway's agent and its supervisor, as bytes and back. Pure.

Names on the wire are those of the first release: a field that has another name in Python says so. Messages
that are arrays on the wire must keep the order of their fields.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from vanerelay.fleet.messages import MAX_MESSAGE_BYTES, decode, encode
from vanerelay.rollout.canary_metrics import ClassCounts

__all__ = [
    "ORDER_KIND",
    "STATE_KIND",
    "MAX_MESSAGE_BYTES",
    "ClassMetrics",
    "GatewayMetrics",
    "GatewayState",
    "Order",
    "OrderKind",
    "OrderReply",
    "StateRequest",
    "counts_between",
    "decode",
    "encode",
]

ORDER_KIND = "order"
"""An `Order`, answered by an `OrderReply`."""
STATE_KIND = "state"
"""A `StateRequest`, or nothing, answered by a `GatewayState`."""


class OrderKind(StrEnum):
    """What is ordered; the values are sent."""

    CLAIM = "claim"
    """Nothing but to accept the fence."""
    SETTINGS = "settings"
    """To apply the settings in the body (JSON)."""
    PROGRAM = "program"
    """To run the release that the supervisor knows by the name in the body."""
    RESTART = "restart"
    """To restart as it is."""


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order of a controller.

    Attributes:
        fence: the controller's; none lower than the highest seen is accepted.
        change: the name of the change.
        kind: of `OrderKind`; a string, as controllers of other releases may know others.
        body: what the kind says.
        number: of the order in the record: one that was overtaken is not accepted.
    """

    fence: int
    change: str = msgspec.field(name="name")
    kind: str = msgspec.field(default="claim", name="what")
    body: bytes = b""
    number: int = 0


class OrderReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to an order.

    Attributes:
        fence: the highest seen.
        accepted: whether the order is followed.
        failed: it was tried and could not be done.
        reason: why it is not followed.
    """

    fence: int
    accepted: bool = msgspec.field(default=True, name="taken")
    failed: bool = False
    reason: str = msgspec.field(default="", name="why")


class StateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """Asks a gateway for its state, with or without its metrics."""

    with_metrics: bool = msgspec.field(default=True, name="figures")


class ClassMetrics(msgspec.Struct, frozen=True, array_like=True):
    """Totals of one service class since the process started; the fields as in `ClassCounts`."""

    ended: int = 0
    earned: float = 0.0
    failed: int = 0
    rejected: int = 0
    late: int = 0
    attempts: int = 0
    latency_counts: list[int] = []


class GatewayMetrics(msgspec.Struct, frozen=True, omit_defaults=True):
    """Totals since the process started.

    Attributes:
        classes: by service class.
        memory: in parts of the limit, now.
        cpu_s: processor time.
        unreachable_engines: engines that the gateway does not reach, now.
        engine_share: what part of all engines its memory grants and threads fill, a sum over time.
    """

    classes: dict[str, ClassMetrics] = msgspec.field(default_factory=dict, name="groups")
    memory: float = 0.0
    cpu_s: float = 0.0
    unreachable_engines: int = msgspec.field(default=0, name="away")
    engine_share: float = msgspec.field(default=0.0, name="held")


class GatewayState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a gateway, or of its supervisor.

    Attributes:
        name: of the gateway.
        program: its release.
        settings: the digest of its settings.
        state: what it tells the fleet of itself, such as "serving".
        incarnation: another with each process.
        fence: the highest that it has seen.
        last_order: the number of the last order that it accepted under it.
        sent_at_ms: by its wall clock.
        release: as its supervisor named it at the start.
        cores: its limit.
        metrics: totals since the process started.
    """

    name: str
    program: str
    settings: str
    state: str
    incarnation: int = msgspec.field(name="started")
    fence: int = 0
    last_order: int = msgspec.field(default=0, name="heeded")
    sent_at_ms: int = msgspec.field(default=0, name="at_ms")
    release: str = ""
    cores: float = 1.0
    metrics: GatewayMetrics = msgspec.field(default=GatewayMetrics(), name="figures")


def counts_between(now: ClassMetrics, before: ClassMetrics) -> ClassCounts:
    """What came between two readings of one process."""
    latencies_before = before.latency_counts or [0] * len(now.latency_counts)
    latencies = [a - b for a, b in zip(now.latency_counts, latencies_before, strict=False)]
    return ClassCounts(
        now.ended - before.ended,
        now.earned - before.earned,
        now.failed - before.failed,
        now.rejected - before.rejected,
        now.late - before.late,
        now.attempts - before.attempts,
        tuple(latencies),
    )
