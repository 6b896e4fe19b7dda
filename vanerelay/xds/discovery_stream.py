"""One discovery stream of a proxy: requests in, subscriptions kept."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from envoy.config.core.v3 import base_pb2
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf.message import DecodeError

from vanerelay.grpc_wire.call import Call
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.xds.subscription import ResourceType, Subscription

MAX_REASON_CHARACTERS = 200
"""How much of a proxy's reason for a rejection is kept."""


@dataclass(frozen=True, slots=True)
class DiscoveryMethod:
    """One gRPC method; `only` is its resource type, None where a stream carries all types."""

    incremental: bool
    only: ResourceType | None


_PREFIX = "/envoy.service."
_AGGREGATED = f"{_PREFIX}discovery.v3.AggregatedDiscoveryService/"
_SINGLE_TYPE = {
    ResourceType.CLUSTER: ("cluster.v3.ClusterDiscoveryService", "Clusters"),
    ResourceType.ENDPOINTS: ("endpoint.v3.EndpointDiscoveryService", "Endpoints"),
    ResourceType.LISTENER: ("listener.v3.ListenerDiscoveryService", "Listeners"),
    ResourceType.ROUTES: ("route.v3.RouteDiscoveryService", "Routes"),
}

METHODS: dict[str, DiscoveryMethod] = {
    f"{_AGGREGATED}StreamAggregatedResources": DiscoveryMethod(False, None),
    f"{_AGGREGATED}DeltaAggregatedResources": DiscoveryMethod(True, None),
    **{
        f"{_PREFIX}{service}/Stream{name}": DiscoveryMethod(False, kind)
        for kind, (service, name) in _SINGLE_TYPE.items()
    },
    **{
        f"{_PREFIX}{service}/Delta{name}": DiscoveryMethod(True, kind)
        for kind, (service, name) in _SINGLE_TYPE.items()
    },
}
"""The discovery methods, by their path."""


class StreamOwner(Protocol):
    """What a discovery stream needs of the control service."""

    def stream_identified(self, stream: DiscoveryStream, node: base_pb2.Node) -> str | None:
        """The proxy has named itself; the reason where it may not connect."""

    def stream_closed(self, stream: DiscoveryStream) -> None:
        """The stream is over."""

    def update_rejected(self, stream: DiscoveryStream, kind: ResourceType, reason: str) -> None:
        """The proxy has rejected a response, for a reason that is new."""

    def update_stream(self, stream: DiscoveryStream) -> None:
        """The stream may be due an update."""


class DiscoveryStream:
    """One discovery stream of a proxy. It listens to its call.

    Attributes:
        node: The proxy's node id; empty until the first request.
        zone: The row of its zone, -1 for none of ours.
        nacks: Rejections that came.
        rejections: The last rejection of each type that was not followed by an acknowledgement.
    """

    def __init__(self, owner: StreamOwner, call: Call, method: DiscoveryMethod) -> None:
        self._owner = owner
        self._only = method.only
        self.call = call
        self.incremental = method.incremental
        self.subscriptions: dict[ResourceType, Subscription] = {}
        self.node = ""
        self.zone = -1
        self.nacks = 0
        self.rejections: dict[str, str] = {}

    def message_received(self, data: bytes) -> None:
        """A request came."""
        try:
            request = self._parse(data)
            kind = self._resource_type(request.type_url)
        except (DecodeError, ValueError) as error:
            self._end(Code.INVALID_ARGUMENT, str(error))
            return
        if self._only is not None and kind is not self._only:
            self._end(Code.INVALID_ARGUMENT, f"{kind.value} on a stream of another type")
            return
        if not self.node:
            refusal = self._owner.stream_identified(self, request.node)
            if refusal is not None:
                self._end(Code.PERMISSION_DENIED, refusal)
                return
        self._subscribe(kind, request)
        self._owner.update_stream(self)

    def _parse(self, data: bytes) -> discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest:
        if self.incremental:
            return discovery_pb2.DeltaDiscoveryRequest.FromString(data)
        return discovery_pb2.DiscoveryRequest.FromString(data)

    def _resource_type(self, type_url: str) -> ResourceType:
        if not type_url and self._only is not None:
            return self._only
        return ResourceType(type_url)

    def _subscribe(
        self,
        kind: ResourceType,
        request: discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest,
    ) -> None:
        subscription = self.subscriptions.setdefault(kind, Subscription(kind, self.incremental))
        error = request.error_detail.message or "no reason" if request.HasField("error_detail") else None
        if isinstance(request, discovery_pb2.DeltaDiscoveryRequest):
            nack = subscription.delta_request_received(
                list(request.resource_names_subscribe),
                list(request.resource_names_unsubscribe),
                dict(request.initial_resource_versions),
                request.response_nonce,
                error,
            )
        else:
            nack = subscription.request_received(
                request.version_info, list(request.resource_names), request.response_nonce, error
            )
        if error is not None:
            self.nacks += 1
            self.rejections[kind.name.lower()] = error[:MAX_REASON_CHARACTERS]
        elif request.response_nonce:
            self.rejections.pop(kind.name.lower(), None)
        if nack is not None:
            self._owner.update_rejected(self, kind, nack.reason)

    def _end(self, code: Code, reason: str) -> None:
        status = Status(code, reason)
        self.call.finish(status)
        self.ended(status)

    def half_closed(self) -> None:
        """The proxy sends nothing more."""
        self.call.finish()
        self.ended(Status(Code.OK))

    def ended(self, status: Status) -> None:
        """The call is over."""
        self._owner.stream_closed(self)

    def send_queue_emptied(self) -> None:
        """All responses have left: the newest state may follow."""
        self._owner.update_stream(self)
