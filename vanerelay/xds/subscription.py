"""What one stream subscribes to, was sent and has acknowledged: the xDS protocol's state. Pure.

State-of-the-world and incremental, aggregated or a stream for each type, as the xDS protocol's specification
describes them. A `Subscription` is one resource type on one stream. It is handed what there is (versions by
name) and says what to send now. Versions name content: a resource that a proxy says it has is not sent again,
whichever gateway sent it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MAX_NAMES = 10_000
"""Resource names that one stream may subscribe to for one type, to bound the memory."""

MAX_UNACKNOWLEDGED = 8
"""Unacknowledged responses of one type that are remembered. The newest state goes out all the same."""

WILDCARD = "*"
"""The name that subscribes to all resources of a type."""


class ResourceType(Enum):
    """Kinds of resource, in the order in which new ones are sent: make before break."""

    CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
    ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    LISTENER = "type.googleapis.com/envoy.config.listener.v3.Listener"
    ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"


WILDCARD_TYPES = frozenset({ResourceType.CLUSTER, ResourceType.LISTENER})
"""Types whose every resource is subscribed to by naming none; a response holds all of them."""

Versions = Mapping[str, str]
"""Versions of resources, by name."""


@dataclass(frozen=True, slots=True)
class Update:
    """The content of one response.

    Attributes:
        resources: Versions of the resources it carries, by name.
        removed: Names of resources that are gone.
        version: Names the content of the whole subscription.
    """

    resources: Versions
    removed: tuple[str, ...]
    version: str


@dataclass(frozen=True, slots=True)
class Nack:
    """A proxy's rejection of a response, in its own words."""

    version: str
    reason: str


@dataclass(slots=True)
class Subscription:
    """One resource type on one stream.

    Attributes:
        wildcard: Whether all resources of the type are subscribed to.
        names: The names that are subscribed to.
        sent: Versions by name as last sent, acknowledged or not.
        rejected: Versions that the proxy rejected, by name.
        unacknowledged: Updates by nonce.
        acknowledged_version: The last version acknowledged of the whole subscription.
        last_nack: The last rejection, until a response is acknowledged.
        requested: Whether a request has come.
        unanswered: Names subscribed to since the last response; answered even if there is no such resource.
    """

    type: ResourceType
    incremental: bool
    wildcard: bool = False
    names: set[str] = field(default_factory=set)
    sent: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, str] = field(default_factory=dict)
    unacknowledged: dict[str, Update] = field(default_factory=dict)
    acknowledged_version: str = ""
    last_nack: Nack | None = None
    requested: bool = False
    unanswered: set[str] = field(default_factory=set)

    # Requests.

    def request_received(self, version: str, names: list[str], nonce: str, error: str | None) -> Nack | None:
        """Takes a state-of-the-world request; returns a rejection that is new.

        The first on a stream may carry the version of an earlier stream. One that answers an older response
        subscribes all the same.
        """
        nack = None
        if nonce:
            nack = self._response_answered(nonce, error)
            self.unacknowledged.pop(nonce, None)
        elif version and not self.requested:
            self.acknowledged_version = version
        first, self.requested = not self.requested, True
        wanted = set(names[:MAX_NAMES])
        # No names stand for all resources, unless some were named on this stream before.
        names_none = self.type in WILDCARD_TYPES and not wanted and (first or self.wildcard)
        self.wildcard = WILDCARD in wanted or names_none
        wanted.discard(WILDCARD)
        self.unanswered |= wanted - self.names
        for name in self.names - wanted:
            self.sent.pop(name, None)
            self.rejected.pop(name, None)
        self.names = wanted
        return nack

    def delta_request_received(
        self, subscribe: list[str], unsubscribe: list[str], initial: Versions, nonce: str, error: str | None
    ) -> Nack | None:
        """Takes an incremental request; returns a rejection that is new.

        `initial` is what the proxy has from an earlier stream, on the first request only.
        """
        nack = self._response_answered(nonce, error) if nonce else None
        self.unacknowledged.pop(nonce, None)
        if not self.requested:
            self.sent.update(list(initial.items())[:MAX_NAMES])
            if self.type in WILDCARD_TYPES and not subscribe:
                self.wildcard = True
        self.requested = True
        for name in unsubscribe:
            self._unsubscribe(name)
        if WILDCARD in unsubscribe:
            self.sent = {name: version for name, version in self.sent.items() if name in self.names}
        for name in subscribe:
            self._subscribe(name, has_it=name in initial)
        return nack

    def _unsubscribe(self, name: str) -> None:
        if name == WILDCARD:
            self.wildcard = False
        else:
            self.names.discard(name)
        if not self.wildcard:
            self.sent.pop(name, None)

    def _subscribe(self, name: str, has_it: bool) -> None:
        if name == WILDCARD:
            self.wildcard = True
        elif len(self.names) < MAX_NAMES:
            self.names.add(name)
            self.unanswered.add(name)
            if not has_it:
                self.sent.pop(name, None)  # subscribed to again: the proxy wants it again

    def _response_answered(self, nonce: str, error: str | None) -> Nack | None:
        """Takes an ACK or NACK; returns a NACK that does not repeat the last one."""
        update = self.unacknowledged.get(nonce)
        if update is None:
            return None
        if error is None:
            self.acknowledged_version = update.version
            self.last_nack = None
            return None
        self.rejected.update(update.resources)
        for name in update.resources:
            self.sent.pop(name, None)
        nack = Nack(update.version, error)
        repeated, self.last_nack = nack == self.last_nack, nack
        return None if repeated else nack

    # Responses.

    def select(self, available: Versions) -> dict[str, str]:
        """The resources that are subscribed to, of all that there are."""
        if self.wildcard:
            return dict(available)
        return {name: available[name] for name in self.names if name in available}

    def next_update(self, available: Versions, version: str) -> Update | None:
        """What to send now, if anything. `version` names the content of the whole subscription."""
        if not self.requested:
            return None
        wanted = self.select(available)
        changed = {
            name: one
            for name, one in wanted.items()
            if self.sent.get(name) != one and self.rejected.get(name) != one
        }
        removed = tuple(sorted(name for name in self.sent if name not in wanted))
        if self.incremental:
            return self._next_delta(wanted, changed, removed, version)
        return self._next_state(wanted, changed, removed, version)

    def _next_delta(
        self, wanted: Versions, changed: Versions, removed: tuple[str, ...], version: str
    ) -> Update | None:
        missing = {name for name in self.unanswered if name not in wanted and name not in self.sent}
        self.unanswered.clear()
        if not changed and not removed and not missing:
            return None
        return Update(changed, tuple(sorted({*removed, *missing})), version)

    def _next_state(
        self, wanted: dict[str, str], changed: Versions, removed: tuple[str, ...], version: str
    ) -> Update | None:
        reconnected = not self.sent and not self.rejected and self.acknowledged_version == version
        if reconnected and self.unanswered <= set(wanted):
            self.sent = wanted  # it has all of it from an earlier stream
            self.unanswered.clear()
            return None
        self.unanswered.clear()
        is_wildcard_type = self.type in WILDCARD_TYPES
        if not changed and not (removed and is_wildcard_type):
            return None
        if not is_wildcard_type:
            return Update(changed, removed, version)
        # Clusters and listeners are sent all together: what a response leaves out is gone.
        accepted = {name: one for name, one in wanted.items() if self.rejected.get(name) != one}
        return Update(accepted, removed, version)

    def update_sent(self, nonce: str, update: Update) -> None:
        """An update has gone out."""
        if len(self.unacknowledged) >= MAX_UNACKNOWLEDGED:
            del self.unacknowledged[next(iter(self.unacknowledged))]
        self.unacknowledged[nonce] = update
        self.sent.update(update.resources)
        for name in update.removed:
            self.sent.pop(name, None)

    def is_behind(self, available: Versions) -> bool:
        """Whether the proxy has not acknowledged what there is."""
        if not self.requested:
            return False
        wanted = self.select(available)
        return bool(self.unacknowledged) or any(
            self.sent.get(name) != version for name, version in wanted.items()
        )


def update_order(
    subscriptions: Mapping[ResourceType, Subscription], available: Mapping[ResourceType, Versions]
) -> list[ResourceType]:
    """The order in which types go out on an aggregated stream.

    Clusters, endpoints, listeners, routes; but clusters last where some are removed, so that no route names
    one that is not there.
    """
    order = [one for one in ResourceType if one in subscriptions]
    clusters = subscriptions.get(ResourceType.CLUSTER)
    if clusters is not None and any(name not in available[ResourceType.CLUSTER] for name in clusters.sent):
        order.remove(ResourceType.CLUSTER)
        order.append(ResourceType.CLUSTER)
    return order
