"""A plan in xDS's own messages, encoded once. Machine: values in, bytes out. The messages come from
xds-protos."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2, outlier_detection_pb2
from envoy.config.core.v3 import config_source_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import (
    http_connection_manager_pb2 as manager_pb2,
)
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.message import Message

from vanerelay.grpc_wire.frames import pack
from vanerelay.xds.assignment import EJECTED, Group, Health, Part, Plan, Retry
from vanerelay.xds.streams import Send, Type

COLD = "/cold"
ROUTES = "vanerelay"  # the one table of routes
HEADER = "service"  # whose value is a batch's service group
MILLISECONDS = 10  # of the module's units
STATUSES = {Health.HEALTHY: 1, Health.UNHEALTHY: 2, Health.DRAINING: 3}
NEVER_RAN = "connect-failure,refused-stream"
HARMLESS = "connect-failure,refused-stream,reset,unavailable,gateway-error"


@dataclass(frozen=True, slots=True)
class Resource:
    """One resource, encoded. `version` names its content."""

    name: str
    version: str
    encoded: bytes  # a google.protobuf.Any


@dataclass(frozen=True, slots=True)
class Encoded:
    """A response as it goes out to each stream that is to have it, and the same packed."""

    nonce: str
    data: bytes
    packed: bytes


def version(parts: Mapping[str, str]) -> str:
    """A name for the content of several resources together."""
    told = "\n".join(f"{name} {one}" for name, one in sorted(parts.items()))
    return hashlib.blake2b(told.encode(), digest_size=8).hexdigest()


def resources(
    plan: Plan, listener: str, bind: str, locations: Sequence[str]
) -> dict[Type, dict[str, Resource]]:
    """All resources of a view. `listener`: the name under which gRPC clients ask for it; `bind`: host and
    port where a proxy that listens itself is to do so, or nothing."""
    found: dict[Type, dict[str, Resource]] = {one: {} for one in Type}
    for group in plan:
        for name, parts, most in (
            (group.name, group.warm, group.most),
            (group.name + COLD, group.cold, max(0, group.most_cold)),
        ):
            _add(found, Type.CLUSTER, name, _cluster(name, group, most))
            _add(found, Type.ENDPOINTS, name, _assignment(name, parts, group.dropped, locations))
    _add(found, Type.ROUTES, ROUTES, _routes(plan))
    _add(found, Type.LISTENER, listener, _api_listener(listener))
    if bind:
        _add(found, Type.LISTENER, f"{listener}/bind", _listener(f"{listener}/bind", bind))
    return found


def _add(found: dict[Type, dict[str, Resource]], kind: Type, name: str, message: Message) -> None:
    wrapped = _any(message).SerializeToString(deterministic=True)
    named = hashlib.blake2b(wrapped, digest_size=8).hexdigest()
    found[kind][name] = Resource(name, named, wrapped)


def _any(message: Message) -> any_pb2.Any:
    found = any_pb2.Any()
    found.Pack(message, deterministic=True)
    return found


def _ads() -> config_source_pb2.ConfigSource:
    found = config_source_pb2.ConfigSource(resource_api_version=config_source_pb2.V3)
    found.ads.SetInParent()
    return found


def _cluster(name: str, group: Group, most: int) -> cluster_pb2.Cluster:
    found = cluster_pb2.Cluster(
        name=name, type=cluster_pb2.Cluster.EDS, lb_policy=cluster_pb2.Cluster.ROUND_ROBIN
    )
    found.eds_cluster_config.eds_config.CopyFrom(_ads())
    found.connect_timeout.FromMilliseconds(250)
    threshold = found.circuit_breakers.thresholds.add()
    assert isinstance(threshold, circuit_breaker_pb2.CircuitBreakers.Thresholds)
    for limit in (threshold.max_requests, threshold.max_connections):
        limit.value = most
    threshold.max_pending_requests.value = most
    threshold.max_retries.value = max(group.retries, int(most * group.retry_percent / 100))
    threshold.retry_budget.budget_percent.value = group.retry_percent
    threshold.retry_budget.min_retry_concurrency.value = group.retries
    outlier = outlier_detection_pb2.OutlierDetection()
    outlier.max_ejection_percent.value = EJECTED
    outlier.consecutive_5xx.value = 5
    outlier.base_ejection_time.FromSeconds(10)
    found.outlier_detection.CopyFrom(outlier)
    return found


def _assignment(
    name: str, parts: Sequence[Part], dropped: int, locations: Sequence[str]
) -> endpoint_pb2.ClusterLoadAssignment:
    found = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    if dropped:
        drop = found.policy.drop_overloads.add(category="door")
        drop.drop_percentage.numerator = dropped
        drop.drop_percentage.denominator = 2  # of a million
    for part in parts:
        place = found.endpoints.add(priority=part.priority)
        place.locality.zone = locations[part.location] if part.location < len(locations) else "elsewhere"
        place.load_balancing_weight.value = part.weight
        for one in part.endpoints:
            endpoint = place.lb_endpoints.add(health_status=STATUSES[one.health])
            host, _, port = one.address.rpartition(":")
            endpoint.endpoint.address.socket_address.address = host
            endpoint.endpoint.address.socket_address.port_value = int(port)
            endpoint.load_balancing_weight.value = one.weight
    return found


def _routes(plan: Plan) -> route_pb2.RouteConfiguration:
    found = route_pb2.RouteConfiguration(name=ROUTES)
    host = found.virtual_hosts.add(name=ROUTES, domains=["*"])
    for group in plan:
        route = host.routes.add(name=group.name)
        route.match.prefix = ""
        route.match.headers.add(name=HEADER).string_match.exact = group.name
        _action(route.route, group)
    return found


def _action(action: route_components_pb2.RouteAction, group: Group) -> None:
    for name, weight in ((group.name, 10_000 - group.cold_share), (group.name + COLD, group.cold_share)):
        action.weighted_clusters.clusters.add(name=name).weight.value = weight
    action.timeout.FromMilliseconds(group.time_limit // MILLISECONDS)
    if group.dispatches > 1:
        action.retry_policy.retry_on = HARMLESS if group.retry is Retry.HARMLESS else NEVER_RAN
        action.retry_policy.num_retries.value = group.dispatches - 1


def _manager() -> manager_pb2.HttpConnectionManager:
    found = manager_pb2.HttpConnectionManager(stat_prefix="vanerelay")
    found.rds.route_config_name = ROUTES
    found.rds.config_source.CopyFrom(_ads())
    router = found.http_filters.add(name="router")
    router.typed_config.CopyFrom(_any(router_pb2.Router()))
    return found


def _api_listener(name: str) -> listener_pb2.Listener:
    found = listener_pb2.Listener(name=name)
    found.api_listener.api_listener.CopyFrom(_any(_manager()))
    return found


def _listener(name: str, bind: str) -> listener_pb2.Listener:
    found = listener_pb2.Listener(name=name)
    host, _, port = bind.rpartition(":")
    found.address.socket_address.address = host
    found.address.socket_address.port_value = int(port)
    chain = found.filter_chains.add()
    chain.filters.add(name="manager").typed_config.CopyFrom(_any(_manager()))
    return found


def world(kind: Type, send: Send, there: Mapping[str, Resource], nonce: str) -> Encoded:
    """A response of the state of the world."""
    found = discovery_pb2.DiscoveryResponse(version_info=send.version, type_url=kind.value, nonce=nonce)
    for name in sorted(send.resources):
        found.resources.add().MergeFromString(there[name].encoded)
    data = found.SerializeToString()
    return Encoded(nonce, data, pack(data))


def delta(kind: Type, send: Send, there: Mapping[str, Resource], nonce: str) -> Encoded:
    """An incremental response."""
    found = discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=send.version, type_url=kind.value, nonce=nonce, removed_resources=send.removed
    )
    for name in sorted(send.resources):
        one = found.resources.add(name=name, version=there[name].version)
        one.resource.MergeFromString(there[name].encoded)
    data = found.SerializeToString()
    return Encoded(nonce, data, pack(data))
