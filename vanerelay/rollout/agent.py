"""The agent of a gateway in a rolling change: reports the gateway's state and carries out orders.

It only does the input and output; `fence` decides whether an order is accepted.
"""

from __future__ import annotations

import json
import os
import resource
import time

import structlog

from vanerelay.extension import ExtensionHost
from vanerelay.fleet import release
from vanerelay.fleet.failure_detector import Member
from vanerelay.fleet.rpc import RequestRefusedError
from vanerelay.fleet.service import FleetService
from vanerelay.rollout import messages
from vanerelay.rollout.agent_store import AgentStore
from vanerelay.rollout.class_totals import ClassTotals
from vanerelay.rollout.fence import Fence, OrderId, fence_text
from vanerelay.rollout.messages import OrderKind

log = structlog.get_logger()

RELEASE_VARIABLE = "VANERELAY_RELEASE"
"""The environment variable in which a supervisor passes the name of the release that it has started."""
PAGE_BYTES = resource.getpagesize()
ENGINE_SHARE_INTERVAL_S = 0.5
"""Interval at which the gateway's share of the engines is sampled."""
DEFAULT_MEMORY_MB = 192
"""Assumed if the platform sets no limit: the memory that the deploy file gives a gateway."""
DEFAULT_CORES = 1.0
"""Assumed if the platform sets no limit."""


class RolloutAgent:
    """Answers the requests of a controller.

    Attributes:
        fence: Decides whose orders are accepted.
    """

    def __init__(
        self, host: ExtensionHost, fleet: FleetService, totals: ClassTotals, store: AgentStore
    ) -> None:
        self._host, self._fleet, self._totals, self._store = host, fleet, totals, store
        self._memory_limit = int(host.limits.get("memory_mb") or DEFAULT_MEMORY_MB) * 2**20
        self._cores = float(host.limits.get("cores") or DEFAULT_CORES)
        self._engine_share = 0.0
        self.fence = Fence(store.read_fence())
        fleet.member_listeners.append(self._on_member_report)
        if self.fence.text:
            fleet.announce(orders=self.fence.text)
        fleet.rpc.handlers |= {
            messages.STATE_KIND: self._answer_state,
            messages.ORDER_KIND: self._answer_order,
        }
        self._accumulate_engine_share()

    def _on_member_report(self, member: Member) -> None:
        self._observe_fence(member.orders)

    def _observe_fence(self, text: str) -> None:
        if self.fence.observe(text):
            self._fleet.announce(orders=self.fence.text)

    def _accumulate_engine_share(self) -> None:
        """Adds the current share of the engines, weighted by the interval, to the sum over time."""
        self._engine_share += self._host.gateway.held_share() * ENGINE_SHARE_INTERVAL_S
        self._host.reactor.callLater(ENGINE_SHARE_INTERVAL_S, self._accumulate_engine_share)

    def _answer_state(self, body: bytes) -> bytes:
        """Returns the encoded `GatewayState`."""
        request = messages.decode(body, messages.StateRequest)
        with_metrics = request is None or request.with_metrics
        own = self._fleet.detector.own
        state = messages.GatewayState(
            own.name,
            own.program,
            own.settings,
            own.state,
            own.incarnation,
            self.fence.highest,
            self.fence.last_order,
            int(time.time() * 1000),
            os.environ.get(RELEASE_VARIABLE, ""),
            self._cores,
            self._metrics() if with_metrics else messages.GatewayMetrics(),
        )
        return messages.encode(state)

    def _metrics(self) -> messages.GatewayMetrics:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        unreachable = sum(not status.usable for status in self._host.gateway.engine_statuses())
        return messages.GatewayMetrics(
            self._totals.metrics(),
            _resident_bytes() / self._memory_limit,
            usage.ru_utime + usage.ru_stime,
            unreachable,
            self._engine_share,
        )

    def _answer_order(self, body: bytes) -> bytes:
        """Returns the encoded `OrderReply`; raises RequestRefusedError if the order cannot be decoded."""
        order = messages.decode(body, messages.Order)
        if order is None:
            raise RequestRefusedError("unreadable")
        reason = self._check_order(order)
        if reason is not None:
            log.warning("rollout order refused", change=order.change, fence=order.fence, reason=reason)
            return messages.encode(messages.OrderReply(self.fence.highest, False, reason=reason))
        self.fence.accept(_order_id(order))
        return messages.encode(self._execute_order(order))

    def _check_order(self, order: messages.Order) -> str | None:
        """Returns why an order is refused, or None if it is not.

        A higher fence is stored before its order is accepted.
        """
        order_id, detector = _order_id(order), self._fleet.detector
        is_alone = len(detector.members) == 1
        has_joined = self._store.is_durable or detector.has_joined or is_alone
        reason = self.fence.refusal_reason(order_id, detector.replaced, has_joined)
        if reason is None and order.fence > self.fence.highest:
            # Stored before the reply: it may complete the controller's majority, and a restart of this
            # gateway must not forget the fence then.
            reason = self._store.write_fence(fence_text(order_id))
            if reason is None:
                self._observe_fence(fence_text(order_id))
        return reason

    def _execute_order(self, order: messages.Order) -> messages.OrderReply:
        """Carries out an accepted order."""
        if order.kind == OrderKind.CLAIM:
            return messages.OrderReply(self.fence.highest)
        if order.kind != OrderKind.SETTINGS:
            refusal = f"a manager knows no {order.kind}"
            return messages.OrderReply(self.fence.highest, False, reason=refusal)
        failure = self._apply_settings(order)
        if failure is not None:
            return messages.OrderReply(self.fence.highest, False, True, failure)
        log.info("ordered settings applied", change=order.change, fence=order.fence)
        return messages.OrderReply(self.fence.highest)

    def _apply_settings(self, order: messages.Order) -> str | None:
        """Applies ordered settings and stores them.

        Returns:
            The reason if they cannot be applied; None if they were, even if they could not be stored.
        """
        try:
            settings = json.loads(order.body)
        except ValueError as error:
            return f"settings: {error}"
        try:
            raw_settings = release.with_per_gateway_settings(settings, self._host.settings)
        except (TypeError, AttributeError) as error:
            return f"{type(error).__name__}: {error}"
        refusal = self._host.apply_settings(raw_settings)
        if refusal is not None:
            return refusal
        failure = self._store.write_settings(settings)
        if failure is not None:
            log.warning("cannot store ordered settings, they apply until a restart only", reason=failure)
        return None


def _order_id(order: messages.Order) -> OrderId:
    return OrderId(order.fence, order.change, order.number)


def _resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_BYTES
