"""The control service: streams of proxies, joined to the gateway's decisions. Thin.

Plans are made anew when the list changes and a few times a second; resources are encoded once a view of them,
responses once for all streams that are to have the same. A stream whose last bytes have not left gets nothing
further until they have, and then the newest state."""

from __future__ import annotations

import fnmatch
import itertools
from collections import OrderedDict, deque
from collections.abc import Sequence
from typing import Any, Protocol

import structlog
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange
from vanerelay.extension import ExtensionHost
from vanerelay.grpc_wire.driver import Server
from vanerelay.grpc_wire.session import Call, Listener
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.interface import MILLISECOND, SECOND, EngineState
from vanerelay.membership.control_protocol import Request
from vanerelay.membership.control_socket import Reply
from vanerelay.net.rate_limited_log import RateLimitedLog
from vanerelay.xds import resources
from vanerelay.xds.assignment import Plan, Steady, Terms, plan
from vanerelay.xds.config import XdsConfig
from vanerelay.xds.load_reports import Load, Loads
from vanerelay.xds.proxy_count import Census
from vanerelay.xds.resources import Encoded, Resource
from vanerelay.xds.streams import Send, Told, Type, order

LOOK = 250 * MILLISECOND  # how often the module is asked for what no list tells
SOON = 20 * MILLISECOND  # joins within so long are told of together
AT_ONCE = 40  # streams told in one pass of the loop
ENCODED = 64  # responses kept that further streams may have
REPORT_S = 2  # how often proxies report their load
DISCOVERY = "/envoy.service."
ONE_TYPE = {
    "cluster.v3.ClusterDiscoveryService": ("Clusters", Type.CLUSTER),
    "endpoint.v3.EndpointDiscoveryService": ("Endpoints", Type.ENDPOINTS),
    "listener.v3.ListenerDiscoveryService": ("Listeners", Type.LISTENER),
    "route.v3.RouteDiscoveryService": ("Routes", Type.ROUTES),
}
PATHS: dict[str, tuple[bool, Type | None]] = {
    f"{DISCOVERY}discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources": (False, None),
    f"{DISCOVERY}discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources": (True, None),
    **{f"{DISCOVERY}{service}/Stream{name}": (False, kind) for service, (name, kind) in ONE_TYPE.items()},
    **{f"{DISCOVERY}{service}/Delta{name}": (True, kind) for service, (name, kind) in ONE_TYPE.items()},
}
LOADS = f"{DISCOVERY}load_stats.v3.LoadReportingService/StreamLoadStats"

log = structlog.get_logger()


class Node(Protocol):
    """What a proxy says of itself."""

    id: str
    locality: Any


class View:
    """What proxies of one location are told."""

    def __init__(self, steady: Steady) -> None:
        self.steady = steady
        self.there: dict[Type, dict[str, Resource]] = {kind: {} for kind in Type}
        self.versions: dict[Type, dict[str, str]] = {kind: {} for kind in Type}
        self.worlds: dict[tuple[Type, frozenset[str] | None], str] = {}  # versions of whole subscriptions
        self.encoded: OrderedDict[object, Encoded] = OrderedDict()
        self.weights: dict[tuple[str, str], dict[str, int]] = {}  # of endpoints, by cluster and location
        self.at = 0

    def hold(self, now: int, found: dict[Type, dict[str, Resource]]) -> None:
        self.there, self.at = found, now
        self.versions = {kind: {name: one.version for name, one in of.items()} for kind, of in found.items()}
        self.worlds.clear()

    def version(self, told: Told) -> str:
        key = told.type, None if told.wild else frozenset(told.names)
        if key not in self.worlds:
            if len(self.worlds) >= ENCODED:
                self.worlds.clear()
            self.worlds[key] = resources.version(told.wants(self.versions[told.type]))
        return self.worlds[key]


class Stream:
    """One discovery stream of a proxy."""

    def __init__(self, service: ControlService, call: Call, incremental: bool, only: Type | None) -> None:
        self._service, self.call, self.incremental, self._only = service, call, incremental, only
        self.types: dict[Type, Told] = {}
        self.node, self.location, self.nacks = "", -1, 0
        self.refused: dict[str, str] = {}  # the last refusal of each type, in the proxy's words
        self.sent_at, self.acked_at = 0, 0

    def message(self, data: bytes) -> None:
        try:
            request = (
                discovery_pb2.DeltaDiscoveryRequest if self.incremental else discovery_pb2.DiscoveryRequest
            ).FromString(data)
            kind = Type(request.type_url) if request.type_url or self._only is None else self._only
        except (DecodeError, ValueError) as fault:
            self._end(Code.INVALID_ARGUMENT, str(fault))
            return
        if self._only is not None and kind is not self._only:
            self._end(Code.INVALID_ARGUMENT, f"{kind.value} on a stream of another type")
            return
        if not self.node:
            wrong = self._service.joined(self, request.node)
            if wrong is not None:
                self._end(Code.PERMISSION_DENIED, wrong)
                return
        told = self.types.setdefault(kind, Told(kind, self.incremental))
        error = request.error_detail.message or "no reason" if request.HasField("error_detail") else None
        if self.incremental:
            nack = told.delta(
                list(request.resource_names_subscribe),
                list(request.resource_names_unsubscribe),
                dict(request.initial_resource_versions),
                request.response_nonce,
                error,
            )
        else:
            nack = told.world(
                request.version_info, list(request.resource_names), request.response_nonce, error
            )
        if error is not None:
            self.nacks += 1
            self.refused[kind.name.lower()] = error[:200]
        elif request.response_nonce:
            self.acked_at = self._service.now()
            self.refused.pop(kind.name.lower(), None)
        if nack is not None:
            self._service.refused(self, kind, nack.why)
        self._service.tell(self)

    def _end(self, code: Code, why: str) -> None:
        self.call.finish(Status(code, why))
        self.gone(Status(code, why))

    def half_closed(self) -> None:
        self.call.finish()
        self.gone(Status(Code.OK))

    def gone(self, ended: Status) -> None:
        self._service.left(self)

    def drained(self) -> None:
        self._service.tell(self)


class Reports:
    """A stream of load reports."""

    def __init__(self, service: ControlService, call: Call) -> None:
        self._service, self._call, self._asked, self.location = service, call, False, -1

    def message(self, data: bytes) -> None:
        try:
            request = lrs_pb2.LoadStatsRequest.FromString(data)
        except DecodeError as fault:
            self._call.finish(Status(Code.INVALID_ARGUMENT, str(fault)))
            return
        if not self._asked:
            wrong = self._service.allowed(request.node.id)
            if wrong is not None:
                self._call.finish(Status(Code.PERMISSION_DENIED, wrong))
                return
            self._asked = True
            self.location = self._service.location(request.node.locality.zone)
            answer = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
            answer.load_reporting_interval.FromSeconds(REPORT_S)
            self._call.send(answer.SerializeToString())
        found = list[Load]()
        for cluster in request.cluster_stats:
            for place in cluster.upstream_locality_stats:
                named = [
                    (f"{e.address.socket_address.address}:{e.address.socket_address.port_value}", e)
                    for e in place.upstream_endpoint_stats
                ]
                for address, one in named or [("", place)]:
                    found.append(
                        Load(
                            cluster.cluster_name,
                            place.locality.zone,
                            address,
                            one.total_requests_in_progress,
                            one.total_successful_requests + one.total_error_requests,
                            one.total_error_requests,
                            one.total_issued_requests,
                        )
                    )
        if found:
            self._service.reported(self, found)

    def half_closed(self) -> None:
        self._call.finish()
        self.gone(Status(Code.OK))

    def gone(self, ended: Status) -> None:
        self._service.loads.left(self)

    def drained(self) -> None:
        """Nothing waits for that here."""


class ControlService:
    """All proxies, and what they are told."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        parts: XdsConfig,
        host: ExtensionHost,
        terms: Terms,
        locations: Sequence[str],
    ) -> None:
        self._reactor, self._clock, self._parts, self._served, self._terms = (
            reactor,
            clock,
            parts,
            host,
            terms,
        )
        self._locations = list(locations)
        self.loads = Loads([group.name for group in terms.groups])
        self._census = Census(clock.now(), parts.expected)
        self.streams: dict[Stream, None] = {}
        self._views: dict[int, View] = {}
        self._draining: dict[str, tuple[str, int, int]] = {}
        self._untold: deque[Stream] = deque()
        self._queued: set[Stream] = set()
        self._serial, self._telling = itertools.count(1), False
        self._timer: Any = None
        self._refusal = RateLimitedLog(reactor, "a proxy refuses what it was told")
        self._server = Server(reactor, clock, parts.limits, parts.most, self._opened)
        self._port: Any = None

    def start(self) -> None:
        """Listens. Raises CannotListenError."""
        host, _, port = self._parts.listen.rpartition(":")
        tls = self._parts.tls
        if tls is None:
            self._port = self._reactor.listenTCP(int(port), self._server, interface=host)
        else:
            from vanerelay.xds.tls import options

            self._port = self._reactor.listenSSL(int(port), self._server, options(tls), interface=host)
        log.info("control service", listen=f"{host}:{self._port.getHost().port}")
        self._look()

    def stop(self) -> None:
        if self._port is not None:
            self._port.stopListening()
        self._server.drain()
        for stream in list(self.streams):
            stream.call.finish(Status(Code.UNAVAILABLE, "this gateway ends"))
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def now(self) -> int:
        return self._clock.now()

    # Proxies.

    def _opened(self, call: Call) -> Listener | Status:
        if call.path == LOADS:
            return Reports(self, call)
        if call.path not in PATHS:
            return Status(Code.UNIMPLEMENTED, f"no method {call.path[:200]}")
        return Stream(self, call, *PATHS[call.path])

    def allowed(self, node: str) -> str | None:
        if node and any(fnmatch.fnmatchcase(node, pattern) for pattern in self._parts.nodes):
            return None
        return f"node id {node[:100]!r} may not connect"

    def location(self, zone: str) -> int:
        return self._locations.index(zone) if zone in self._locations else -1

    def joined(self, stream: Stream, node: Any) -> str | None:
        wrong = self.allowed(node.id)
        if wrong is None:
            stream.node, stream.location = node.id, self.location(node.locality.zone)
            self.streams[stream] = None
            self._census.joined(stream.node)
            self._again(SOON)
        return wrong

    def left(self, stream: Stream) -> None:
        if self.streams.pop(stream, self) is not self:
            self._census.left(self.now(), stream.node)

    def refused(self, stream: Stream, kind: Type, why: str) -> None:
        self._refusal.warn(node=stream.node, type=kind.name.lower(), why=why[:300])

    def reported(self, reports: Reports, found: list[Load]) -> None:
        """Load of a proxy goes into the module's decisions."""
        now, gateway = self.now(), self._served.gateway
        weights = self._views[reports.location].weights if reports.location in self._views else {}
        work = [gateway.typical_work(row) for row in range(len(self._terms.groups))]
        ended = self.loads.report(now, reports, found, weights, work)
        engines = {address: engine for engine, address in self._served.engine_addresses().items()}
        for address, running in self.loads.running(now).items():
            if address in engines:
                done, errors = ended.get(address, (0.0, 0.0))
                gateway.update_proxy_load(engines[address], running, done, errors)

    # What they are told.

    def listed(self, change: EngineListChange) -> None:
        """The list changed: plans are made anew at once."""
        for member in change.engines:
            if member.state is EngineState.DRAINING:
                self._draining[member.name] = (member.address, member.zone, member.machine_kind)
            else:
                self._draining.pop(member.name, None)
        if change.complete:
            named = {member.name for member in change.engines}
            self._draining = {name: one for name, one in self._draining.items() if name in named}
        self._again(0)

    def _again(self, delay: int) -> None:
        seconds = delay / SECOND
        if self._timer is not None and self._timer.active():
            if self._timer.getTime() <= self._reactor.seconds() + seconds:
                return
            self._timer.cancel()
        self._timer = self._reactor.callLater(seconds, self._look)

    def _look(self) -> None:
        self._again(LOOK)  # before anything that may fail
        now = self.now()
        count = self._census.count(now)
        gateway = self._served.gateway
        gateway.set_proxy_share(self._parts.handed.part if self.streams else 0.0)
        wanted = {stream.location for stream in self.streams}
        for gone in self._views.keys() - wanted:
            del self._views[gone]
        if wanted:
            held, addresses = gateway.engine_statuses(), self._served.engine_addresses()
            rows = range(len(self._terms.groups))
            shed, peaks = (
                [gateway.shed_share(row) for row in rows],
                [gateway.typical_grant(row) for row in rows],
            )
            draining = [(name, *one) for name, one in self._draining.items()]
            for location in wanted:
                found = plan(
                    self._terms,
                    held,
                    addresses,
                    self._parts.handed,
                    count,
                    location if location >= 0 else None,
                    self.loads.demand(),
                    shed,
                    peaks,
                    draining,
                )
                self._hold(now, location, found)

    def _hold(self, now: int, location: int, found: Plan) -> None:
        view = self._views.setdefault(location, View(Steady(self._parts.handed)))
        if not view.steady.take(now, found):
            return
        view.hold(now, resources.resources(found, self._parts.listener, self._parts.bind, self._locations))
        view.weights = {}
        for group in found:
            for name, parts in ((group.name, group.warm), (group.name + resources.COLD, group.cold)):
                for part in parts:
                    place = (
                        self._locations[part.location]
                        if part.location < len(self._locations)
                        else "elsewhere"
                    )
                    view.weights[name, place] = {one.address: one.weight for one in part.endpoints}
        for stream in self.streams:
            if stream.location == location:
                self.tell(stream)

    def tell(self, stream: Stream) -> None:
        """Tells a stream what it is to have, with the others that wait for that."""
        if stream not in self._queued:
            self._queued.add(stream)
            self._untold.append(stream)
        if not self._telling:
            self._telling = True
            self._reactor.callLater(0, self._tell)

    def _tell(self) -> None:
        for _ in range(min(AT_ONCE, len(self._untold))):
            stream = self._untold.popleft()
            self._queued.discard(stream)
            self._tell_one(stream)
        self._telling = bool(self._untold)
        if self._telling:
            self._reactor.callLater(0, self._tell)

    def _tell_one(self, stream: Stream) -> None:
        view = self._views.get(stream.location)
        if view is None or not view.at or stream not in self.streams:
            return
        for kind in order(stream.types, view.versions):
            if stream.call.waiting:
                return  # told the newest state once that has left
            told = stream.types[kind]
            send = told.due(view.versions[kind], view.version(told))
            if send is not None:
                encoded = self._encoded(view, told, send)
                if not stream.call.send(encoded.data, encoded.packed):
                    stream.call.cancel()
                    self.left(stream)
                    return
                told.sent(encoded.nonce, send)
                stream.sent_at = self.now()

    def _encoded(self, view: View, told: Told, send: Send) -> Encoded:
        """The response, made once for all streams that are to have the same."""
        key = told.type, told.incremental, send.version, frozenset(send.resources.items()), send.removed
        found = view.encoded.get(key)
        if found is None or found.nonce in told.out:
            make = resources.delta if told.incremental else resources.world
            found = make(told.type, send, view.there[told.type], str(next(self._serial)))
            view.encoded[key] = found
            while len(view.encoded) > ENCODED:
                view.encoded.popitem(last=False)
        return found

    # What operators ask.

    def answer(self, asked: Request) -> Reply:
        """A row a stream."""
        now = self.now()
        return Reply(
            (self._row(now, stream) for stream in list(self.streams)[: asked.limit]),
            proxies=self._census.count(now),
            streams=len(self.streams),
        )

    def _row(self, now: int, stream: Stream) -> dict[str, Any]:
        view = self._views.get(stream.location)
        behind = view is not None and any(
            told.behind(view.versions[kind]) for kind, told in stream.types.items()
        )
        return {
            "node": stream.node,
            "locality": self._locations[stream.location] if stream.location >= 0 else "",
            "protocol": "incremental" if stream.incremental else "world",
            "versions": {kind.name.lower(): told.acked for kind, told in stream.types.items()},
            "behind_s": round((now - view.at) / SECOND, 1) if behind and view is not None else 0.0,
            "unsent": stream.call.waiting,
            "nacks": stream.nacks,
            "refused": dict(stream.refused),
        }
