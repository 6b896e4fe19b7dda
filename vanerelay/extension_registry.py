"""Which subsystems join the served program, and in which order: above `net/` and all of them. Nothing chooses
here, and of what operators did not switch on nothing is imported."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from vanerelay.extension import Host, Part


def joins(options: Mapping[str, Any]) -> Callable[[Host], list[Part]] | None:
    """`options`: the parts of each subsystem that is on, by the name of its block; None where none is."""
    return (lambda host: _parts(host, options)) if options else None


def _parts(host: Host, options: Mapping[str, Any]) -> list[Part]:
    """Each before those that stand on it."""
    found, members, fleet, leases, freshness = list[Part](), None, None, None, None
    if "membership" in options:
        from vanerelay.membership.extension import MembersPart

        members = MembersPart(host, options["membership"])
        found.append(members)
    if "xds" in options:
        from vanerelay.xds.extension import ControlPart

        found.append(ControlPart(host, options["xds"], members))
    if "fleet" in options:
        from vanerelay.fleet.extension import FleetPart

        fleet = FleetPart(host, options["fleet"])
        found.append(fleet)
    if "rollout" in options and fleet is not None:
        from vanerelay.rollout.extension import OrdersPart

        found.append(OrdersPart(host, options["rollout"], fleet))
    if "leases" in options and fleet is not None:
        from vanerelay.leases.extension import LeasesPart

        leases = LeasesPart(host, options["leases"], fleet)
        found.append(leases)
    if "freshness" in options and fleet is not None and leases is not None:
        from vanerelay.freshness.extension import FreshnessPart

        freshness = FreshnessPart(host, options["freshness"], fleet, leases)
        found.append(freshness)
    if "warming" in options and fleet is not None and leases is not None:
        from vanerelay.warming.extension import WarmingPart

        found.append(WarmingPart(host, options["warming"], fleet, leases, freshness))
    return found
