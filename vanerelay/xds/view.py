"""What the proxies of one zone are told, encoded once for all of them."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass

from vanerelay.xds import resources
from vanerelay.xds.assignment import Assignment, ProxyShareConfig
from vanerelay.xds.resources import EncodedResponse, Resource, Resources, zone_name
from vanerelay.xds.subscription import ResourceType, Subscription, Update
from vanerelay.xds.update_throttle import UpdateThrottle

MAX_CACHED_RESPONSES = 64
"""Responses kept for further streams that are to have the same: a few of each type."""


@dataclass(frozen=True, slots=True)
class _ResponseKey:
    """What makes two streams' responses the same."""

    type: ResourceType
    incremental: bool
    version: str
    resources: frozenset[tuple[str, str]]
    removed: tuple[str, ...]


class View:
    """What the proxies of one zone are told.

    Attributes:
        throttle: Holds small changes back.
        versions: Versions of all resources, by type and name.
        weights: Weights of the endpoints by address; the key is cluster and zone.
        updated_at: When the resources last changed; 0 before there were any.
    """

    def __init__(self, config: ProxyShareConfig) -> None:
        self.throttle = UpdateThrottle(config)
        self.versions: dict[ResourceType, dict[str, str]] = {kind: {} for kind in ResourceType}
        self.weights: dict[tuple[str, str], dict[str, int]] = {}
        self.updated_at = 0
        self._resources: Resources = {kind: {} for kind in ResourceType}
        self._subscription_versions: dict[tuple[ResourceType, frozenset[str] | None], str] = {}
        self._responses: OrderedDict[_ResponseKey, EncodedResponse] = OrderedDict()

    def replace(self, now: int, built: Resources, assignment: Assignment, zones: Sequence[str]) -> None:
        """An assignment is in force, with the resources built from it."""
        self._resources, self.updated_at = built, now
        self.versions = {
            kind: {name: resource.version for name, resource in by_name.items()}
            for kind, by_name in built.items()
        }
        self._subscription_versions.clear()
        self.weights = _endpoint_weights(assignment, zones)

    def version_of(self, subscription: Subscription) -> str:
        """Names the content of all that a subscription selects."""
        names = None if subscription.wildcard else frozenset(subscription.names)
        key = subscription.type, names
        if key not in self._subscription_versions:
            if len(self._subscription_versions) >= MAX_CACHED_RESPONSES:
                self._subscription_versions.clear()
            selected = subscription.select(self.versions[subscription.type])
            self._subscription_versions[key] = resources.combined_version(selected)
        return self._subscription_versions[key]

    def response(self, subscription: Subscription, update: Update, nonces: Iterator[int]) -> EncodedResponse:
        """The response that carries an update, shared by all streams that are to have the same.

        A stream that has not acknowledged that very response gets one under a nonce of its own.
        """
        key = _ResponseKey(
            subscription.type,
            subscription.incremental,
            update.version,
            frozenset(update.resources.items()),
            update.removed,
        )
        cached = self._responses.get(key)
        if cached is not None and cached.nonce not in subscription.unacknowledged:
            return cached
        encode = resources.encode_delta_response if subscription.incremental else resources.encode_response
        available: Mapping[str, Resource] = self._resources[subscription.type]
        encoded = encode(subscription.type, update, available, str(next(nonces)))
        self._responses[key] = encoded
        while len(self._responses) > MAX_CACHED_RESPONSES:
            self._responses.popitem(last=False)
        return encoded


def _endpoint_weights(assignment: Assignment, zones: Sequence[str]) -> dict[tuple[str, str], dict[str, int]]:
    return {
        (cluster, zone_name(zones, locality.zone)): {
            endpoint.address: endpoint.weight for endpoint in locality.endpoints
        }
        for one in assignment
        for cluster, localities in (
            (one.name, one.warm),
            (one.name + resources.SLOW_START_SUFFIX, one.slow_start),
        )
        for locality in localities
    }
