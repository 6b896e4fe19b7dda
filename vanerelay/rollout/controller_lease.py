"""The lease that lets one controller at a time carry out a change of a fleet.

The fencing token of the lease is the fence that each order carries. The protocol is that of `leases.service`;
the voters are called at the addresses in the plan.
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
"""The name of the leased task. Voters store it."""


@dataclass(slots=True)
class _SingleMemberDetector:
    """The failure detector of a controller, which has no membership but its own."""

    own: Member
    members: dict[str, Member]
    replaced: bool = False
    has_joined: bool = True


class _ControllerFleet:
    """The interface of a fleet that leases need, on the controller's own connections."""

    def __init__(self, node: RpcNode, name: str, addresses: Mapping[str, str]) -> None:
        self.rpc, self.name, self._addresses = node, name, addresses
        own = Member(name, 1, state="serving")
        self.detector = _SingleMemberDetector(own, {name: own})

    def call(self, name: str, kind: str, body: bytes, timeout_s: float) -> Deferred[bytes]:
        """Sends a request to a gateway; the reply fails if the plan has no address for it."""
        address = self._addresses.get(name)
        if address is None:
            return fail(RequestRefusedError(f"no address of {name} is known"))
        return self.rpc.call(address, kind, body, timeout_s)


class ControllerLease:
    """A controller's lease on the task of carrying out a change."""

    def __init__(
        self,
        reactor: Any,
        node: RpcNode,
        name: str,
        config: LeasesConfig,
        addresses: Mapping[str, str],
        on_lost: Callable[[], None],
    ) -> None:
        """Sets up the lease; `on_lost` is called whenever this controller held the lease and loses it."""
        fleet: Any = _ControllerFleet(node, f"controller {name}", addresses)
        process_id = int.from_bytes(os.urandom(PROCESS_ID_BYTES), "big")
        self._leases = Leases(reactor, fleet, config, random.Random(process_id), process_id, None)

        def acquired(_: LeaseHolder) -> None:
            """Does nothing: the controller polls `fence` in each of its cycles."""

        def lost(_: LeaseHolder) -> None:
            on_lost()

        self._holder = self._leases.add_task(TASK, acquired, lost)

    def start(self) -> None:
        """Starts to request the lease."""
        self._leases.start()

    def fence(self) -> int | None:
        """Returns the fence for orders given now, or None if another controller may be acting."""
        return self._holder.token if self._holder.may_act(self._leases.clock()) else None

    def stop(self) -> Deferred[None]:
        """Releases the lease; the Deferred fires once it is released."""
        return self._leases.release_all().addCallback(lambda _: self._leases.stop())
