"""A controller's lease: of all controllers one drives a change of a fleet at a time.

The lease's fencing token is the fence that goes with each order. A thin driver of `leases.service`; voters
are asked at the addresses that the plan names.
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, fail

from vanerelay.fleet.failure_detector import Member
from vanerelay.fleet.rpc import RequestRefusedError, RpcNode
from vanerelay.leases.config import LeasesConfig
from vanerelay.leases.extension import PROCESS_ID_BYTES
from vanerelay.leases.fencing import LeaseHolder
from vanerelay.leases.service import Leases

TASK = "rollout"
"""The task that a controller holds; its name is stored by voters."""


@dataclass(slots=True)
class _SingleMemberDetector:
    """All that a controller sees of the fleet's membership: itself."""

    own: Member
    members: dict[str, Member]
    replaced: bool = False
    has_joined: bool = True


class _ControllerFleet:
    """What leases need of a fleet, over a controller's own connections."""

    def __init__(self, node: RpcNode, name: str, addresses: Mapping[str, str]) -> None:
        self.rpc, self.name, self._addresses = node, name, addresses
        own = Member(name, 1, state="serving")
        self.detector = _SingleMemberDetector(own, {name: own})

    def call(self, name: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request to a gateway of the plan."""
        address = self._addresses.get(name)
        if address is None:
            return fail(RequestRefusedError(f"no address of {name} is known"))
        return self.rpc.call(address, kind, body, timeout_s)


class ControllerLease:
    """The lease of one controller."""

    def __init__(
        self,
        reactor: Any,
        node: RpcNode,
        name: str,
        config: LeasesConfig,
        addresses: Mapping[str, str],
        on_lost: Callable[[], None],
    ) -> None:
        """`on_lost` is called when the lease was ours and is no more."""
        fleet: Any = _ControllerFleet(node, f"controller {name}", addresses)
        process_id = int.from_bytes(os.urandom(PROCESS_ID_BYTES), "big")
        self._leases = Leases(reactor, fleet, config, random.Random(process_id), process_id, None)

        def acquired(_: LeaseHolder) -> None:
            """The controller looks at `fence` in its own turn."""

        def lost(_: LeaseHolder) -> None:
            on_lost()

        self._holder = self._leases.add_task(TASK, acquired, lost)

    def start(self) -> None:
        """Begins to request the lease."""
        self._leases.start()

    def fence(self) -> int | None:
        """The fence under which orders may be given now; None where another controller may be acting."""
        return self._holder.token if self._holder.may_act(self._leases.clock()) else None

    def stop(self) -> Deferred[None]:
        """Gives the lease back; fires once that is done."""
        return self._leases.release_all().addCallback(lambda _: self._leases.stop())
