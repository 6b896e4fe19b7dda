"""Polls the state of the gateways in a change, and derives samples for the canary analysis from it."""

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
"""How long to wait for the state of a gateway, as links may be slow."""
STATUS_MAX_AGE = 8 * SECOND
"""The age up to which the last state of a gateway is used."""
MIN_CORES = 0.01
"""Lower bound of a gateway's reported cores: its CPU load is divided by them."""
SERVING_STATE = "serving"


@dataclass(slots=True)
class _ObservedGateway:
    """What is known of one gateway.

    Attributes:
        state, received_at: The last state, and the time when it arrived.
        previous, previous_at: The state before it and its time, if it came from the same process.
        is_polling: True while a request for the state is in flight.
        deaths: The number of unexpected restarts of its process since the last sample was taken.
        expected_restarts: The number of restarts that were ordered and whose new process has not replied yet.
        sample: The sample accumulated since the last one was taken.
        supervisor_order: The fence and the number of the last order that its supervisor accepted.
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
    """The gateways of a change, as a controller sees them."""

    def __init__(self, rpc_node: RpcNode, clock: Clock, rollout_plan: RolloutPlan) -> None:
        self._rpc_node, self._clock, self._rollout_plan = rpc_node, clock, rollout_plan
        self._gateways = {name: _ObservedGateway() for name in rollout_plan.gateways}

    @property
    def gateway_count(self) -> int:
        """The number of gateways in the plan."""
        return len(self._gateways)

    def observed_fences(self) -> list[int]:
        """Returns the highest fence known to each gateway that has ever replied."""
        return [gateway.state.fence for gateway in self._gateways.values() if gateway.state is not None]

    def poll(self) -> None:
        """Requests the state of each gateway that has no request in flight."""
        for name, address in self._rollout_plan.gateways.items():
            if not self._gateways[name].is_polling:
                self._poll_one(name, address)

    def _poll_one(self, name: str, address: GatewayAddress) -> None:
        gateway = self._gateways[name]
        gateway.is_polling = True
        request = messages.encode(messages.StateRequest())
        reply: Deferred[Any] = self._request_state(address.address, request)
        reply.addCallbacks(lambda body: self._state_received(name, body), _ignore_failure)
        if address.supervisor and self._rollout_plan.plan.restarts:
            supervisor_reply: Deferred[Any] = self._request_state(address.supervisor, b"")
            supervisor_reply.addCallbacks(
                lambda body: self._supervisor_state_received(name, body), _ignore_failure
            )

        def finished(_: Any) -> None:
            gateway.is_polling = False

        reply.addBoth(finished)

    def _request_state(self, address: str, body: bytes) -> Deferred[bytes]:
        return self._rpc_node.call(address, messages.STATE_KIND, body, STATE_TIMEOUT_S)

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
            gateway.sample = _merged_samples(gateway.sample, _sample_between(state, previous))
        gateway.state, gateway.received_at = state, now

    def _supervisor_state_received(self, name: str, body: bytes) -> None:
        state = messages.decode(body, GatewayState)
        if state is not None:
            self._gateways[name].supervisor_order = state.fence, state.last_order

    def expect_restart(self, name: str) -> None:
        """Notes that a restart was ordered, so that it does not count as a death."""
        self._gateways[name].expected_restarts = 1

    def expect_no_restart(self, name: str) -> None:
        """Notes that an ordered restart was refused or failed: the process keeps running."""
        self._gateways[name].expected_restarts = 0

    def awaits_restart(self, name: str) -> bool:
        """Returns True if a restart was ordered and the new process has not replied yet."""
        return self._gateways[name].expected_restarts > 0

    def statuses(self) -> dict[str, GatewayStatus]:
        """Returns the status of each gateway whose last state is recent enough, by name."""
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
        return GatewayStatus(releases, state.state == SERVING_STATE, _cpu_load(gateway, state), last_order)

    def take_samples(self) -> dict[str, GatewaySample]:
        """Returns the samples accumulated since the last call, by gateway."""
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


def _ignore_failure(_: Any) -> None:
    """Ignores a failed request: the last state of the gateway is used until it is too old."""


def _cpu_load(gateway: _ObservedGateway, state: GatewayState) -> float:
    """Returns the fraction of its cores that a gateway used between its last two states."""
    if gateway.previous is None or gateway.received_at <= gateway.previous_at:
        return 0.0
    seconds = (gateway.received_at - gateway.previous_at) / SECOND
    used = state.metrics.cpu_s - gateway.previous.metrics.cpu_s
    return used / seconds / max(MIN_CORES, state.cores)


def _sample_between(current: GatewayState, previous: GatewayState) -> GatewaySample:
    """Returns the sample of one process between two of its states."""
    previous_classes = previous.metrics.classes
    counts = {
        name: messages.counts_between(metrics, previous_classes.get(name, messages.ClassMetrics()))
        for name, metrics in current.metrics.classes.items()
    }
    ended = sum(count.ended for count in counts.values())
    share = (current.metrics.engine_share - previous.metrics.engine_share) / ended if ended else 0.0
    return GatewaySample(counts, current.metrics.memory, current.metrics.unreachable_engines, share)


def _merged_samples(earlier: GatewaySample | None, later: GatewaySample) -> GatewaySample:
    """Returns two samples of one gateway merged into one."""
    if earlier is None:
        return later
    return GatewaySample(
        _merged_counts(earlier.counts, later.counts),
        later.memory,
        later.unreachable_engines,
        max(earlier.engine_share, later.engine_share),
        earlier.deaths + later.deaths,
    )


def _merged_counts(
    earlier: Mapping[str, ClassCounts], later: Mapping[str, ClassCounts]
) -> dict[str, ClassCounts]:
    empty = ClassCounts()
    return {name: earlier.get(name, empty) + later.get(name, empty) for name in earlier.keys() | later.keys()}
