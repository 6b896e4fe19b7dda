"""The control service: streams of proxies, joined to the gateway's decisions. A thin driver.

Assignments are made anew when the engine list changes and a few times a second. Resources are encoded once
for each zone, responses once for all streams that are to have the same. A stream whose last bytes have not
left gets nothing further until they have, and then the newest state.
"""

from __future__ import annotations

import fnmatch
import itertools
from collections.abc import Sequence
from typing import Any

import structlog
from envoy.config.core.v3 import base_pb2
from twisted.internet.base import DelayedCall

from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange
from vanerelay.extension import ExtensionHost
from vanerelay.grpc_wire.call import Call, CallListener
from vanerelay.grpc_wire.driver import GrpcServerFactory
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.interface import MILLISECOND, SECOND, EngineState
from vanerelay.membership.control_protocol import Request
from vanerelay.membership.control_socket import Reply
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.xds import load_stream
from vanerelay.xds.assignment import Assignment, AssignmentTerms, DrainingEngine, GatewayState, assign
from vanerelay.xds.config import XdsConfig
from vanerelay.xds.discovery_stream import METHODS, DiscoveryStream
from vanerelay.xds.load_reports import Completions, LoadAggregator, LoadReport
from vanerelay.xds.load_stream import LoadStream
from vanerelay.xds.proxy_count import ProxyCount
from vanerelay.xds.resources import build_resources
from vanerelay.xds.subscription import ResourceType, update_order
from vanerelay.xds.update_queue import UpdateQueue
from vanerelay.xds.view import View

REFRESH_INTERVAL = 250 * MILLISECOND
"""How often the gateway is asked for what no change of the list tells: health, load, sheds."""

JOIN_DELAY = 20 * MILLISECOND
"""Proxies that connect within this time are assigned their shares together."""

MAX_LOGGED_CHARACTERS = 300
"""How much of a proxy's reason for a rejection is logged."""

log = structlog.get_logger()


class ControlService:
    """All proxies, and what they are told."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        config: XdsConfig,
        host: ExtensionHost,
        terms: AssignmentTerms,
        zones: Sequence[str],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._config = config
        self._host = host
        self._terms = terms
        self._zones = list(zones)
        self._loads = LoadAggregator([one.name for one in terms.service_classes])
        self._proxies = ProxyCount(clock.now(), config.expected)
        self._streams: dict[DiscoveryStream, None] = {}
        self._views: dict[int, View] = {}  # by zone
        self._draining: dict[str, DrainingEngine] = {}  # by name
        self._updates = UpdateQueue(reactor, self._send_updates)
        self._nonces = itertools.count(1)
        self._refresh_timer: DelayedCall | None = None
        self._rejection_log = RateLimitedLog(reactor, "proxy rejected an update")
        self._server = GrpcServerFactory(
            reactor, clock, config.limits, config.max_connections, self._call_opened
        )
        self._port: Any = None

    def start(self) -> None:
        """Listens. Raises CannotListenError."""
        host, _, port = self._config.listen.rpartition(":")
        tls = self._config.tls
        if tls is None:
            self._port = self._reactor.listenTCP(int(port), self._server, interface=host)
        else:
            from vanerelay.xds.tls import tls_options

            self._port = self._reactor.listenSSL(int(port), self._server, tls_options(tls), interface=host)
        log.info("control service is listening", listen=f"{host}:{self._port.getHost().port}")
        self._refresh()

    def stop(self) -> None:
        """Ends all streams and listens no more."""
        if self._port is not None:
            self._port.stopListening()
        self._server.drain()
        for stream in list(self._streams):
            stream.call.finish(Status(Code.UNAVAILABLE, "this gateway ends"))
        if self._refresh_timer is not None and self._refresh_timer.active():
            self._refresh_timer.cancel()

    # Proxies.

    def _call_opened(self, call: Call) -> CallListener | Status:
        if call.path == load_stream.METHOD:
            return LoadStream(self, call)
        method = METHODS.get(call.path)
        if method is None:
            return Status(Code.UNIMPLEMENTED, f"no method {call.path[:200]}")
        return DiscoveryStream(self, call, method)

    def refusal(self, node: str) -> str | None:
        """Why a proxy may not connect; None where it may."""
        if node and any(fnmatch.fnmatchcase(node, pattern) for pattern in self._config.node_patterns):
            return None
        return f"node id {node[:100]!r} may not connect"

    def zone_row(self, zone: str) -> int:
        """The row of a zone, -1 for none of ours."""
        return self._zones.index(zone) if zone in self._zones else -1

    def stream_identified(self, stream: DiscoveryStream, node: base_pb2.Node) -> str | None:
        """A proxy has named itself; the reason where it may not connect."""
        refusal = self.refusal(node.id)
        if refusal is None:
            stream.node, stream.zone = node.id, self.zone_row(node.locality.zone)
            self._streams[stream] = None
            self._proxies.stream_opened(stream.node)
            self._schedule_refresh(JOIN_DELAY)
        return refusal

    def stream_closed(self, stream: DiscoveryStream) -> None:
        """A discovery stream is over; may be told more than once."""
        if stream in self._streams:
            del self._streams[stream]
            self._proxies.stream_closed(self._clock.now(), stream.node)

    def update_rejected(self, stream: DiscoveryStream, kind: ResourceType, reason: str) -> None:
        """A proxy has rejected a response."""
        self._rejection_log.warn(
            node=stream.node, type=kind.name.lower(), reason=reason[:MAX_LOGGED_CHARACTERS]
        )

    def load_stream_closed(self, stream: LoadStream) -> None:
        """A load reporting stream is over."""
        self._loads.disconnected(stream)

    def load_reported(self, stream: LoadStream, reports: list[LoadReport]) -> None:
        """The load of a proxy goes into the gateway's decisions."""
        now, gateway = self._clock.now(), self._host.gateway
        view = self._views.get(stream.zone)
        query_work = [gateway.typical_work(row) for row in range(len(self._terms.service_classes))]
        completions = self._loads.report(now, stream, reports, view.weights if view else {}, query_work)
        engines = {address: engine for engine, address in self._host.engine_addresses().items()}
        for address, running in self._loads.running(now).items():
            if address in engines:
                ended = completions.get(address, Completions())
                gateway.update_proxy_load(engines[address], running, ended.count, ended.errors)

    # Assignments.

    def engines_changed(self, change: EngineListChange) -> None:
        """The engine list changed: assignments are made anew at once."""
        for member in change.engines:
            if member.state is EngineState.DRAINING:
                self._draining[member.name] = DrainingEngine(
                    member.name, member.address, member.zone, member.machine_kind
                )
            else:
                self._draining.pop(member.name, None)
        if change.complete:
            listed = {member.name for member in change.engines}
            self._draining = {name: one for name, one in self._draining.items() if name in listed}
        self._schedule_refresh(0)

    def _schedule_refresh(self, delay: int) -> None:
        """Refreshes after a delay, or when it is due already."""
        seconds = delay / SECOND
        if self._refresh_timer is not None and self._refresh_timer.active():
            if self._refresh_timer.getTime() <= self._reactor.seconds() + seconds:
                return
            self._refresh_timer.cancel()
        self._refresh_timer = self._reactor.callLater(seconds, self._refresh)

    def _refresh(self) -> None:
        self._schedule_refresh(REFRESH_INTERVAL)  # before anything that may fail
        now = self._clock.now()
        proxies = self._proxies.count(now)
        self._host.gateway.set_proxy_share(self._config.proxy_share.share if self._streams else 0.0)
        zones = {stream.zone for stream in self._streams}
        for unused in self._views.keys() - zones:
            del self._views[unused]
        if not zones:
            return
        state = self._gateway_state(proxies)
        for zone in zones:
            assignment = assign(self._terms, state, zone if zone >= 0 else None)
            self._offer(now, zone, assignment)

    def _gateway_state(self, proxies: int) -> GatewayState:
        gateway = self._host.gateway
        rows = range(len(self._terms.service_classes))
        return GatewayState(
            engines=gateway.engine_statuses(),
            addresses=self._host.engine_addresses(),
            proxies=proxies,
            demand=self._loads.demand(),
            shed=[gateway.shed_share(row) for row in rows],
            typical_grants=[gateway.typical_grant(row) for row in rows],
            draining=list(self._draining.values()),
        )

    def _offer(self, now: int, zone: int, assignment: Assignment) -> None:
        view = self._views.setdefault(zone, View(self._config.proxy_share))
        if not view.throttle.offer(now, assignment):
            return
        built = build_resources(assignment, self._config.listener_name, self._config.bind, self._zones)
        view.replace(now, built, assignment, self._zones)
        for stream in self._streams:
            if stream.zone == zone:
                self.update_stream(stream)

    def update_stream(self, stream: DiscoveryStream) -> None:
        """A stream may be due an update; it is sent soon."""
        self._updates.add(stream)

    def _send_updates(self, stream: DiscoveryStream) -> None:
        view = self._views.get(stream.zone)
        if view is None or not view.updated_at or stream not in self._streams:
            return
        for kind in update_order(stream.subscriptions, view.versions):
            if stream.call.queued_bytes:
                return  # the newest state follows once these have left
            subscription = stream.subscriptions[kind]
            update = subscription.next_update(view.versions[kind], view.version_of(subscription))
            if update is None:
                continue
            response = view.response(subscription, update, self._nonces)
            if not stream.call.send(response.data, response.compressed):
                stream.call.cancel()
                self.stream_closed(stream)
                return
            subscription.update_sent(response.nonce, update)

    # Operators' requests.

    def list_streams(self, request: Request) -> Reply:
        """A row for each stream."""
        now = self._clock.now()
        return Reply(
            (self._stream_row(now, stream) for stream in list(self._streams)[: request.limit]),
            proxies=self._proxies.count(now),
            streams=len(self._streams),
        )

    def _stream_row(self, now: int, stream: DiscoveryStream) -> dict[str, Any]:
        view = self._views.get(stream.zone)
        behind = view is not None and any(
            subscription.is_behind(view.versions[kind]) for kind, subscription in stream.subscriptions.items()
        )
        versions = {
            kind.name.lower(): subscription.acknowledged_version
            for kind, subscription in stream.subscriptions.items()
        }
        return {
            "node": stream.node,
            "locality": self._zones[stream.zone] if stream.zone >= 0 else "",
            "protocol": "incremental" if stream.incremental else "world",
            "versions": versions,
            "behind_s": round((now - view.updated_at) / SECOND, 1) if behind and view else 0.0,
            "unsent": stream.call.queued_bytes,
            "nacks": stream.nacks,
            "refused": dict(stream.rejections),
        }
