"""Messages between a controller, a gateway's agent and its supervisor, with their encoding. Pure.

The names on the wire are those of the first release: a field with another name in Python sets `name`.
Messages that are arrays on the wire must keep the order of their fields.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

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
"""The kind of request that carries an `Order` and is answered by an `OrderReply`."""
STATE_KIND = "state"
"""The kind of request that carries a `StateRequest` or no body and is answered by a `GatewayState`."""


class OrderKind(StrEnum):
    """The kinds of orders. The values are sent on the wire."""

    CLAIM = "claim"
    """Accept the fence; nothing else is ordered."""
    SETTINGS = "settings"
    """Apply the settings in the body (JSON)."""
    PROGRAM = "program"
    """Run the release whose name in the supervisor's configuration is in the body."""
    RESTART = "restart"
    """Restart the release that runs."""


class Order(msgspec.Struct, frozen=True, omit_defaults=True):
    """An order of a controller.

    Attributes:
        fence: The fence of the controller. Orders with a lower fence than the highest known are refused.
        change: The name of the change.
        kind: A value of `OrderKind`. A string, because controllers of other releases may know other kinds.
        body: The content, as described at `OrderKind`.
        number: The position of the order in the controller's record. An order that arrives after a later one
            is refused.
    """

    fence: int
    change: str = msgspec.field(name="name")
    kind: str = msgspec.field(default="claim", name="what")
    body: bytes = b""
    number: int = 0


class OrderReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """The reply to an order.

    Attributes:
        fence: The highest fence that the replying process knows.
        accepted: True if the order was carried out.
        failed: True if carrying out the order was tried and failed.
        reason: Why the order was refused or failed; empty if it was accepted.
    """

    fence: int
    accepted: bool = msgspec.field(default=True, name="taken")
    failed: bool = False
    reason: str = msgspec.field(default="", name="why")


Measurement = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""A number that a gateway has measured; a message with one out of range cannot be decoded."""


class StateRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """A request for the state of a gateway, with or without its metrics."""

    with_metrics: bool = msgspec.field(default=True, name="figures")


class ClassMetrics(msgspec.Struct, frozen=True, array_like=True):
    """Totals of one service class since the process started. The fields are those of `ClassCounts`."""

    ended: int = 0
    earned: Measurement = 0.0
    failed: int = 0
    rejected: int = 0
    late: int = 0
    attempts: int = 0
    latency_counts: list[int] = []


class GatewayMetrics(msgspec.Struct, frozen=True, omit_defaults=True):
    """Metrics of a gateway: totals since the process started, unless said otherwise.

    Attributes:
        classes: The totals of each service class, by its name.
        memory: The current resident memory as a fraction of the limit.
        cpu_s: CPU time in seconds.
        unreachable_engines: The current number of engines that the gateway cannot reach.
        engine_share: The fraction of all engines that the gateway's memory grants and threads use, integrated
            over time in seconds.
    """

    classes: dict[str, ClassMetrics] = msgspec.field(default_factory=dict, name="groups")
    memory: Measurement = 0.0
    cpu_s: Measurement = 0.0
    unreachable_engines: int = msgspec.field(default=0, name="away")
    engine_share: Measurement = msgspec.field(default=0.0, name="held")


class GatewayState(msgspec.Struct, frozen=True, omit_defaults=True):
    """The state of a gateway, or of its supervisor.

    Attributes:
        name: The name of the gateway.
        program: The version and the digest of its program.
        settings: The digest of its settings.
        state: The state that it reports to the fleet, such as "serving".
        incarnation: A number that differs for each process of the gateway.
        fence: The highest fence that it knows.
        last_order: The number of the last order accepted under that fence.
        sent_at_ms: The time of sending by the sender's wall clock.
        release: The name under which its supervisor has started the release.
        cores: The limit of CPU cores.
        metrics: Metrics of the process; empty if they were not requested.
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
    cores: Measurement = 1.0
    metrics: GatewayMetrics = msgspec.field(default=GatewayMetrics(), name="figures")


def counts_between(current: ClassMetrics, previous: ClassMetrics) -> ClassCounts:
    """Returns the counts that one process added between two of its reports."""
    previous_latencies = previous.latency_counts or [0] * len(current.latency_counts)
    latencies = [a - b for a, b in zip(current.latency_counts, previous_latencies, strict=False)]
    return ClassCounts(
        current.ended - previous.ended,
        current.earned - previous.earned,
        current.failed - previous.failed,
        current.rejected - previous.rejected,
        current.late - previous.late,
        current.attempts - previous.attempts,
        tuple(latencies),
    )
