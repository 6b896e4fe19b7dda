"""Encodes an assignment as xDS resources, and responses that carry them. Values in, bytes out.

The message types come from xds-protos.
"""

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
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.message import Message

from vanerelay.grpc_wire.frames import gzip_compress
from vanerelay.interface import MILLISECOND
from vanerelay.xds.assignment import (
    MAX_EJECTION_PERCENT,
    ROUTE_WEIGHT_TOTAL,
    Assignment,
    ClassAssignment,
    EndpointHealth,
    LocalityEndpoints,
    RetryPolicy,
)
from vanerelay.xds.subscription import ResourceType, Update, Versions

SLOW_START_SUFFIX = "/cold"
"""Ends the name of the cluster that holds a service class's engines in slow start."""

ROUTE_TABLE = "vanerelay"
"""The name of the one route table."""

SERVICE_CLASS_HEADER = "service"
"""The request header whose value is a query's service class."""

BIND_SUFFIX = "/bind"
"""Ends the name of the listener for proxies that listen themselves."""

UNKNOWN_ZONE = "elsewhere"
"""The locality of engines in a zone that the settings do not name."""

DROP_CATEGORY = "door"
"""The category under which proxies count what they drop."""

CONNECT_TIMEOUT_MS = 250
"""How long a proxy waits for a connection: far above a round trip, below any deadline."""

EJECTION_ERRORS = 5
"""Errors in a row after which a proxy may eject an engine: Envoy's default."""

EJECTION_S = 10
"""How long a first ejection lasts: several of the intervals at which proxies report errors to us."""

DIGEST_BYTES = 8
"""The length of a version: short, and long enough for the few resources that are compared."""

PER_MILLION = 2
"""The denominator MILLION of xDS's fractional percentages."""

HEALTH_STATUSES = {EndpointHealth.HEALTHY: 1, EndpointHealth.UNHEALTHY: 2, EndpointHealth.DRAINING: 3}
"""The numbers of `envoy.config.core.v3.HealthStatus`."""

RETRY_CONDITIONS = {
    RetryPolicy.ONLY_IF_NEVER_RAN: "connect-failure,refused-stream",
    RetryPolicy.AFTER_ANY_FAILURE: "connect-failure,refused-stream,reset,unavailable,gateway-error",
}
"""Envoy's `retry_on` conditions."""

Resources = dict[ResourceType, dict[str, "Resource"]]
"""Resources by type and name."""


@dataclass(frozen=True, slots=True)
class Resource:
    """One encoded resource.

    Attributes:
        version: Names its content.
        encoded: A google.protobuf.Any.
    """

    name: str
    version: str
    encoded: bytes


@dataclass(frozen=True, slots=True)
class EncodedResponse:
    """A response as it goes out to each stream that is to have it, and the same compressed by gzip."""

    nonce: str
    data: bytes
    compressed: bytes


def combined_version(versions: Versions) -> str:
    """Names the content of several resources together."""
    lines = "\n".join(f"{name} {version}" for name, version in sorted(versions.items()))
    return hashlib.blake2b(lines.encode(), digest_size=DIGEST_BYTES).hexdigest()


def zone_name(zones: Sequence[str], zone: int) -> str:
    """The locality under which proxies know a zone."""
    return zones[zone] if zone < len(zones) else UNKNOWN_ZONE


def build_resources(assignment: Assignment, listener_name: str, bind: str, zones: Sequence[str]) -> Resources:
    """Encodes all resources of an assignment.

    Args:
        assignment: What proxies are handed.
        listener_name: The name under which gRPC clients ask for it.
        bind: Host and port where a proxy that listens itself is to do so; empty for none.
        zones: The names of the zones, by their rows.
    """
    found: Resources = {kind: {} for kind in ResourceType}
    for one in assignment:
        for name, localities, limit in (
            (one.name, one.warm, one.max_queries),
            (one.name + SLOW_START_SUFFIX, one.slow_start, max(0, one.max_slow_start_queries)),
        ):
            _add(found, ResourceType.CLUSTER, name, _cluster(name, one, limit))
            endpoints = _load_assignment(name, localities, one.drops_per_million, zones)
            _add(found, ResourceType.ENDPOINTS, name, endpoints)
    _add(found, ResourceType.ROUTES, ROUTE_TABLE, _routes(assignment))
    _add(found, ResourceType.LISTENER, listener_name, _api_listener(listener_name))
    if bind:
        bind_name = listener_name + BIND_SUFFIX
        _add(found, ResourceType.LISTENER, bind_name, _listener(bind_name, bind))
    return found


def _add(found: Resources, kind: ResourceType, name: str, message: Message) -> None:
    encoded = _any(message).SerializeToString(deterministic=True)
    version = hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()
    found[kind][name] = Resource(name, version, encoded)


def _any(message: Message) -> any_pb2.Any:
    wrapped = any_pb2.Any()
    wrapped.Pack(message, deterministic=True)
    return wrapped


def _aggregated_source() -> config_source_pb2.ConfigSource:
    source = config_source_pb2.ConfigSource(resource_api_version=config_source_pb2.V3)
    source.ads.SetInParent()
    return source


def _cluster(name: str, assigned: ClassAssignment, limit: int) -> cluster_pb2.Cluster:
    cluster = cluster_pb2.Cluster(
        name=name, type=cluster_pb2.Cluster.EDS, lb_policy=cluster_pb2.Cluster.ROUND_ROBIN
    )
    cluster.eds_cluster_config.eds_config.CopyFrom(_aggregated_source())
    cluster.connect_timeout.FromMilliseconds(CONNECT_TIMEOUT_MS)
    threshold = cluster.circuit_breakers.thresholds.add()
    assert isinstance(threshold, circuit_breaker_pb2.CircuitBreakers.Thresholds)
    threshold.max_requests.value = limit
    threshold.max_connections.value = limit
    threshold.max_pending_requests.value = limit
    threshold.max_retries.value = max(assigned.min_retries, int(limit * assigned.retry_percent / 100))
    threshold.retry_budget.budget_percent.value = assigned.retry_percent
    threshold.retry_budget.min_retry_concurrency.value = assigned.min_retries
    outlier_detection = outlier_detection_pb2.OutlierDetection()
    outlier_detection.max_ejection_percent.value = MAX_EJECTION_PERCENT
    outlier_detection.consecutive_5xx.value = EJECTION_ERRORS
    outlier_detection.base_ejection_time.FromSeconds(EJECTION_S)
    cluster.outlier_detection.CopyFrom(outlier_detection)
    return cluster


def _load_assignment(
    name: str, localities: Sequence[LocalityEndpoints], drops_per_million: int, zones: Sequence[str]
) -> endpoint_pb2.ClusterLoadAssignment:
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
    if drops_per_million:
        drop = message.policy.drop_overloads.add(category=DROP_CATEGORY)
        drop.drop_percentage.numerator = drops_per_million
        drop.drop_percentage.denominator = PER_MILLION
    for locality in localities:
        added = message.endpoints.add(priority=locality.priority)
        added.locality.zone = zone_name(zones, locality.zone)
        added.load_balancing_weight.value = locality.weight
        for one in locality.endpoints:
            endpoint = added.lb_endpoints.add(health_status=HEALTH_STATUSES[one.health])
            host, _, port = one.address.rpartition(":")
            endpoint.endpoint.address.socket_address.address = host
            endpoint.endpoint.address.socket_address.port_value = int(port)
            endpoint.load_balancing_weight.value = one.weight
    return message


def _routes(assignment: Assignment) -> route_pb2.RouteConfiguration:
    routes = route_pb2.RouteConfiguration(name=ROUTE_TABLE)
    host = routes.virtual_hosts.add(name=ROUTE_TABLE, domains=["*"])
    for assigned in assignment:
        route = host.routes.add(name=assigned.name)
        route.match.prefix = ""
        route.match.headers.add(name=SERVICE_CLASS_HEADER).string_match.exact = assigned.name
        _fill_action(route.route, assigned)
    return routes


def _fill_action(action: route_components_pb2.RouteAction, assigned: ClassAssignment) -> None:
    for name, weight in (
        (assigned.name, ROUTE_WEIGHT_TOTAL - assigned.slow_start_weight),
        (assigned.name + SLOW_START_SUFFIX, assigned.slow_start_weight),
    ):
        action.weighted_clusters.clusters.add(name=name).weight.value = weight
    action.timeout.FromMilliseconds(assigned.deadline // MILLISECOND)
    if assigned.max_attempts > 1:
        action.retry_policy.retry_on = RETRY_CONDITIONS[assigned.retry]
        action.retry_policy.num_retries.value = assigned.max_attempts - 1


def _connection_manager() -> http_connection_manager_pb2.HttpConnectionManager:
    manager = http_connection_manager_pb2.HttpConnectionManager(stat_prefix="vanerelay")
    manager.rds.route_config_name = ROUTE_TABLE
    manager.rds.config_source.CopyFrom(_aggregated_source())
    router = manager.http_filters.add(name="router")
    router.typed_config.CopyFrom(_any(router_pb2.Router()))
    return manager


def _api_listener(name: str) -> listener_pb2.Listener:
    listener = listener_pb2.Listener(name=name)
    listener.api_listener.api_listener.CopyFrom(_any(_connection_manager()))
    return listener


def _listener(name: str, bind: str) -> listener_pb2.Listener:
    listener = listener_pb2.Listener(name=name)
    host, _, port = bind.rpartition(":")
    listener.address.socket_address.address = host
    listener.address.socket_address.port_value = int(port)
    chain = listener.filter_chains.add()
    chain.filters.add(name="manager").typed_config.CopyFrom(_any(_connection_manager()))
    return listener


def encode_response(
    kind: ResourceType, update: Update, resources: Mapping[str, Resource], nonce: str
) -> EncodedResponse:
    """A state-of-the-world response."""
    response = discovery_pb2.DiscoveryResponse(version_info=update.version, type_url=kind.value, nonce=nonce)
    for name in sorted(update.resources):
        response.resources.add().MergeFromString(resources[name].encoded)
    data = response.SerializeToString()
    return EncodedResponse(nonce, data, gzip_compress(data))


def encode_delta_response(
    kind: ResourceType, update: Update, resources: Mapping[str, Resource], nonce: str
) -> EncodedResponse:
    """An incremental response."""
    response = discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=update.version, type_url=kind.value, nonce=nonce, removed_resources=update.removed
    )
    for name in sorted(update.resources):
        added = response.resources.add(name=name, version=resources[name].version)
        added.resource.MergeFromString(resources[name].encoded)
    data = response.SerializeToString()
    return EncodedResponse(nonce, data, gzip_compress(data))
