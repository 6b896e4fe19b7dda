"""A controller's lease: of all controllers one drives a change of this fleet at a time, and its number is the
fence that goes with each order. A thin shell round `leases.service`; voters are asked where the plan says."""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from vanerelay.fleet.failure_detector import Member
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.service import Leases

TASK = "rollout"


@dataclass(slots=True)
class _Alone:
    """All that a controller sees of the fleet's membership: itself."""

    own: Member
    members: dict[str, Member]
    replaced: bool = False
    has_joined: bool = True


class _Asking:
    """What leases ask of a fleet, by a controller's own links."""

    def __init__(self, links: RpcNode, name: str, addresses: Mapping[str, str]) -> None:
        self.rpc, self.name, self._addresses = links, name, addresses
        own = Member(name, 1, state="serving")
        self.detector = _Alone(own, {name: own})

    def call(self, name: str, kind: str, body: bytes, patience_s: float) -> Deferred[bytes]:
        address = self._addresses.get(name)
        if address is None:
            failed: Deferred[bytes] = Deferred()
            failed.errback(RequestRefusedError(f"no address of {name} is known"))
            return failed
        return self.rpc.call(address, kind, body, patience_s)


class ControllerLease:
    """`lost` is called when the lease was ours and is no more."""

    def __init__(
        self,
        reactor: Any,
        links: RpcNode,
        name: str,
        parts: LeasesConfig,
        addresses: Mapping[str, str],
        lost: Callable[[], None],
    ) -> None:
        fleet: Any = _Asking(links, f"controller {name}", addresses)
        process = int.from_bytes(os.urandom(6), "big")
        self._leases = Leases(reactor, fleet, parts, random.Random(process), process, None)
        self._hold = self._leases.add_task(TASK, lambda hold: None, lambda hold: lost())

    def start(self) -> None:
        self._leases.start()

    def fence(self) -> int | None:
        """The number under which orders may be given now; None where another may be giving them."""
        return self._hold.token if self._hold.may_act(self._leases.clock()) else None

    def stop(self) -> Deferred[Any]:
        return self._leases.release_all().addCallback(lambda _: self._leases.stop())
