"""Observes the gateways of a change: polls their state, and makes samples for the canary analysis of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.clock import Clock
from vanerelay.fleet.rpc import RpcNode
from vanerelay.interface import SECOND
from vanerelay.rollout import messages
from vanerelay.rollout.canary_metrics import ClassCounts, GatewaySample
from vanerelay.rollout.messages import GatewayState
from vanerelay.rollout.plan_reader import GatewayAddress, RolloutPlan
from vanerelay.rollout.stage_machine import GatewayStatus

STATE_TIMEOUT_S = 6.0
"""For a gateway's state: links may be slow."""
STATUS_MAX_AGE = 8 * SECOND
"""For which a gateway's last state counts."""
MIN_CORES = 0.01
"""A gateway that reports fewer is taken to have so many, to divide by."""
SERVING_STATE = "serving"


@dataclass(slots=True)
class _ObservedGateway:
    """What was heard of one gateway.

    Attributes:
        state, received_at: the last state.
        previous, previous_at: the one before, of the same process.
        is_polling: a request is in flight.
        deaths: ends of its process that nobody ordered, since the last sample.
        expected_restarts: restarts that were ordered, and whose new process was not heard yet.
        sample: what came since the last sample was taken.
        supervisor_order: fence and number of the last order that its supervisor accepted.
    """

    state: GatewayState | None = None
    received_at: int = 0
    previous: GatewayState | None = None
    previous_at: int = 0
    is_polling: bool = False
    deaths: int = 0
    expected_restarts: int = 0
    sample: GatewaySample | None = None
    supervisor_order: tuple[int, int] = (0, 0)


class GatewayObserver:
    """All gateways of a change, as a controller hears them."""

    def __init__(self, node: RpcNode, clock: Clock, rollout_plan: RolloutPlan) -> None:
        self._node, self._clock, self._rollout_plan = node, clock, rollout_plan
        self._gateways = {name: _ObservedGateway() for name in rollout_plan.gateways}

    @property
    def gateway_count(self) -> int:
        """How many gateways the plan names."""
        return len(self._gateways)

    def fences_heard(self) -> list[int]:
        """The highest fence that each gateway which was ever heard has seen."""
        return [one.state.fence for one in self._gateways.values() if one.state is not None]

    def poll(self) -> None:
        """Asks each gateway for its state, but for those that have not replied yet."""
        for name, address in self._rollout_plan.gateways.items():
            if not self._gateways[name].is_polling:
                self._poll_one(name, address)

    def _poll_one(self, name: str, address: GatewayAddress) -> None:
        gateway = self._gateways[name]
        gateway.is_polling = True
        request = messages.encode(messages.StateRequest())
        reply: Deferred[Any] = self._request_state(address.address, request)
        reply.addCallbacks(lambda body: self._state_received(name, body), _ignore)
        if address.supervisor and self._rollout_plan.plan.restarts:
            supervisor_reply: Deferred[Any] = self._request_state(address.supervisor, b"")
            supervisor_reply.addCallbacks(lambda body: self._supervisor_state_received(name, body), _ignore)

        def finished(_: Any) -> None:
            gateway.is_polling = False

        reply.addBoth(finished)

    def _request_state(self, address: str, body: bytes) -> Deferred[bytes]:
        return self._node.call(address, messages.STATE_KIND, body, STATE_TIMEOUT_S)

    def _state_received(self, name: str, body: bytes) -> None:
        state, gateway, now = messages.decode(body, GatewayState), self._gateways[name], self._clock.now()
        if state is None or state.name != name:
            return
        previous = gateway.state
        if previous is not None and previous.incarnation != state.incarnation:
            if gateway.expected_restarts:
                gateway.expected_restarts -= 1
            else:
                gateway.deaths += 1
            previous = None
        if previous is not None:
            gateway.previous, gateway.previous_at = previous, gateway.received_at
            gateway.sample = _merged(gateway.sample, _sample_between(state, previous))
        gateway.state, gateway.received_at = state, now

    def _supervisor_state_received(self, name: str, body: bytes) -> None:
        state = messages.decode(body, GatewayState)
        if state is not None:
            self._gateways[name].supervisor_order = state.fence, state.last_order

    def expect_restart(self, name: str) -> None:
        """A restart was ordered: the end of the process is no death."""
        self._gateways[name].expected_restarts = 1

    def expect_no_restart(self, name: str) -> None:
        """An order was not followed: the process goes on."""
        self._gateways[name].expected_restarts = 0

    def awaits_restart(self, name: str) -> bool:
        """Whether a restart was ordered and the new process was not heard yet."""
        return self._gateways[name].expected_restarts > 0

    def statuses(self) -> dict[str, GatewayStatus]:
        """The gateways that were heard lately."""
        now = self._clock.now()
        return {
            name: self._status(gateway, gateway.state)
            for name, gateway in self._gateways.items()
            if gateway.state is not None and now - gateway.received_at <= STATUS_MAX_AGE
        }

    def _status(self, gateway: _ObservedGateway, state: GatewayState) -> GatewayStatus:
        restarts = self._rollout_plan.plan.restarts
        last_order = gateway.supervisor_order if restarts else (state.fence, state.last_order)
        releases = self._rollout_plan.matching_releases(state.settings, state.release)
        return GatewayStatus(releases, state.state == SERVING_STATE, _load(gateway, state), last_order)

    def take_samples(self) -> dict[str, GatewaySample]:
        """What came since this was called last, by gateway."""
        samples = dict[str, GatewaySample]()
        for name, gateway in self._gateways.items():
            if gateway.sample is None and not gateway.deaths:
                continue
            sample = gateway.sample or GatewaySample({})
            samples[name] = GatewaySample(
                sample.counts, sample.memory, sample.unreachable_engines, sample.engine_share, gateway.deaths
            )
            gateway.sample, gateway.deaths = None, 0
        return samples


def _ignore(_: Any) -> None:
    """No reply: the gateway's last state counts until it is too old."""


def _load(gateway: _ObservedGateway, state: GatewayState) -> float:
    """The part of its cores that a gateway used between its last two states."""
    if gateway.previous is None or gateway.received_at <= gateway.previous_at:
        return 0.0
    seconds = (gateway.received_at - gateway.previous_at) / SECOND
    used = state.metrics.cpu_s - gateway.previous.metrics.cpu_s
    return used / seconds / max(MIN_CORES, state.cores)


def _sample_between(now: GatewayState, before: GatewayState) -> GatewaySample:
    """What one process did between two states."""
    old = before.metrics.classes
    counts = {
        name: messages.counts_between(metrics, old.get(name, messages.ClassMetrics()))
        for name, metrics in now.metrics.classes.items()
    }
    ended = sum(count.ended for count in counts.values())
    share = (now.metrics.engine_share - before.metrics.engine_share) / ended if ended else 0.0
    return GatewaySample(counts, now.metrics.memory, now.metrics.unreachable_engines, share)


def _merged(one: GatewaySample | None, other: GatewaySample) -> GatewaySample:
    """Two samples of one gateway, the later one second, as one."""
    if one is None:
        return other
    return GatewaySample(
        _merged_counts(one.counts, other.counts),
        other.memory,
        other.unreachable_engines,
        max(one.engine_share, other.engine_share),
        one.deaths + other.deaths,
    )


def _merged_counts(
    one: Mapping[str, ClassCounts], other: Mapping[str, ClassCounts]
) -> dict[str, ClassCounts]:
    empty = ClassCounts()
    return {name: one.get(name, empty) + other.get(name, empty) for name in one.keys() | other.keys()}
