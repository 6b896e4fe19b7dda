"""What one proxy's stream has been told and has acknowledged: the protocol's state, pure.

State-of-the-world and incremental, aggregated or a stream a type, as the xDS protocol page describes them.
`Told` is one type on one stream; it is handed what there is to tell (names and versions) and says what to
send now. Versions name content: what a proxy says that it has is not sent again, whoever told it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

MOST_NAMES = 10_000  # subscribed on one stream
MOST_OUT = 8  # responses of a type out that were not answered; the newest state goes out all the same


class Type(Enum):
    """Kinds of resource, in the order in which new ones are told: make before break."""

    CLUSTER = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
    ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
    LISTENER = "type.googleapis.com/envoy.config.listener.v3.Listener"
    ROUTES = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"


WILD = {Type.CLUSTER, Type.LISTENER}  # asked for as a whole by naming nothing


@dataclass(frozen=True, slots=True)
class Send:
    """What is to go out: versions by name, names that are gone, and whether it is the whole of a
    subscription."""

    resources: Mapping[str, str]
    removed: tuple[str, ...]
    version: str


@dataclass(frozen=True, slots=True)
class Nack:
    """A proxy's refusal: the version refused, and its words."""

    version: str
    why: str


@dataclass(slots=True)
class Told:
    """One type on one stream."""

    type: Type
    incremental: bool
    wild: bool = False
    names: set[str] = field(default_factory=set)
    has: dict[str, str] = field(default_factory=dict)  # names and versions as last sent, acknowledged or not
    refused: dict[str, str] = field(default_factory=dict)  # versions that the proxy would not take, by name
    out: dict[str, Send] = field(default_factory=dict)  # by nonce, not answered yet
    acked: str = ""  # the last version acknowledged, of the world
    nacked: Nack | None = None
    asked: bool = False
    fresh: set[str] = field(default_factory=set)  # asked for since the last send: answered even if not there

    # What the proxy says.

    def world(self, version: str, names: list[str], nonce: str, error: str | None) -> Nack | None:
        """A request of the state of the world. The first on a stream may come with a version from before."""
        found = None
        if nonce:
            found = self._answered(nonce, error)
            if nonce not in self.out and self.out:
                pass  # an answer to an older response; what it subscribes to counts all the same
            self.out.pop(nonce, None)
        elif version and not self.asked:
            self.acked = version
        first, self.asked = not self.asked, True
        wanted = set(names[:MOST_NAMES])
        # Naming nothing is the whole of it, but not once something was named on this stream.
        self.wild = "*" in wanted or self.type in WILD and not wanted and (first or self.wild)
        wanted.discard("*")
        self.fresh |= wanted - self.names
        for gone in self.names - wanted:
            self.has.pop(gone, None)
            self.refused.pop(gone, None)
        self.names = wanted
        return found

    def delta(
        self,
        subscribe: list[str],
        unsubscribe: list[str],
        initial: Mapping[str, str],
        nonce: str,
        error: str | None,
    ) -> Nack | None:
        """An incremental request. `initial`: what the proxy has from an earlier stream, on the first one
        only."""
        found = self._answered(nonce, error) if nonce else None
        self.out.pop(nonce, None)
        if not self.asked:
            self.has.update(list(initial.items())[:MOST_NAMES])
            if self.type in WILD and not subscribe:
                self.wild = True
        self.asked = True
        for name in unsubscribe:
            if name == "*":
                self.wild = False
            else:
                self.names.discard(name)
            if not self.wild:
                self.has.pop(name, None)
        if "*" in unsubscribe:
            self.has = {name: version for name, version in self.has.items() if name in self.names}
        for name in subscribe:
            if name == "*":
                self.wild = True
            elif len(self.names) < MOST_NAMES:
                self.names.add(name)
                self.fresh.add(name)
                if name not in initial:
                    self.has.pop(name, None)  # asked for again: it wants to have it again
        return found

    def _answered(self, nonce: str, error: str | None) -> Nack | None:
        sent = self.out.get(nonce)
        if sent is None:
            return None
        if error is None:
            self.acked = sent.version
            self.nacked = None
            return None
        self.refused.update(sent.resources)
        for name in sent.resources:
            self.has.pop(name, None)
        found = Nack(sent.version, error)
        again, self.nacked = found == self.nacked, found
        return None if again else found

    # What there is to tell it.

    def wants(self, there: Mapping[str, str]) -> dict[str, str]:
        """Of all that there is (versions by name), what it has asked for."""
        return dict(there) if self.wild else {name: there[name] for name in self.names if name in there}

    def due(self, there: Mapping[str, str], version: str) -> Send | None:
        """What to send now, if anything. `version` names the content of all that it has asked for."""
        if not self.asked:
            return None
        wanted = self.wants(there)
        changed = {
            name: v for name, v in wanted.items() if self.has.get(name) != v and self.refused.get(name) != v
        }
        gone = tuple(sorted(name for name in self.has if name not in wanted))
        if self.incremental:
            missing = tuple(
                sorted(name for name in self.fresh if name not in wanted and name not in self.has)
            )
            self.fresh.clear()
            if not changed and not gone and not missing:
                return None
            return Send(changed, tuple(sorted({*gone, *missing})), version)
        if not self.has and not self.refused and self.acked == version and self.fresh <= set(wanted):
            self.has = wanted  # it came back with what there is
            self.fresh.clear()
            return None
        self.fresh.clear()
        if not changed and not (gone and self.type in WILD):
            return None
        # Clusters and listeners are told as a whole, what is left out is gone; of the others what has
        # changed.
        whole = (
            {n: v for n, v in wanted.items() if self.refused.get(n) != v} if self.type in WILD else changed
        )
        return Send(whole, gone, version)

    def sent(self, nonce: str, send: Send) -> None:
        if len(self.out) >= MOST_OUT:
            del self.out[next(iter(self.out))]
        self.out[nonce] = send
        self.has.update(send.resources)
        for name in send.removed:
            self.has.pop(name, None)

    def behind(self, there: Mapping[str, str]) -> bool:
        """Whether the proxy has not acknowledged what there is."""
        wanted = self.wants(there)
        return self.asked and (bool(self.out) or any(self.has.get(n) != v for n, v in wanted.items()))


def order(types: Mapping[Type, Told], there: Mapping[Type, Mapping[str, str]]) -> list[Type]:
    """The order in which types go out on an aggregated stream: clusters, endpoints, listeners, routes; but
    clusters last where some are taken away, so that no route names one that is not there."""
    found = [one for one in Type if one in types]
    clusters = types.get(Type.CLUSTER)
    if clusters is not None and any(name not in there[Type.CLUSTER] for name in clusters.has):
        found.remove(Type.CLUSTER)
        found.append(Type.CLUSTER)
    return found
