"""Which subsystems join the served program, and in which order: above `net/` and all of them. Nothing chooses
here, and of what operators did not switch on nothing is imported."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from vanerelay.extension import Extension, ExtensionHost


def joins(options: Mapping[str, Any]) -> Callable[[ExtensionHost], list[Extension]] | None:
    """`options`: the parts of each subsystem that is on, by the name of its block; None where none is."""
    return (lambda host: _parts(host, options)) if options else None


def _parts(host: ExtensionHost, options: Mapping[str, Any]) -> list[Extension]:
    """Each before those that stand on it."""
    found, members, fleet, leases, freshness = list[Extension](), None, None, None, None
    if "membership" in options:
        from vanerelay.membership.extension import MembershipExtension

        members = MembershipExtension(host, options["membership"])
        found.append(members)
    if "xds" in options:
        from vanerelay.xds.extension import XdsExtension

        found.append(XdsExtension(host, options["xds"], members))
    if "fleet" in options:
        from vanerelay.fleet.extension import FleetExtension

        fleet = FleetExtension(host, options["fleet"])
        found.append(fleet)
    if "rollout" in options and fleet is not None:
        from vanerelay.rollout.extension import RolloutExtension

        found.append(RolloutExtension(host, options["rollout"], fleet))
    if "leases" in options and fleet is not None:
        from vanerelay.leases.extension import LeasesExtension

        leases = LeasesExtension(host, options["leases"], fleet)
        found.append(leases)
    if "freshness" in options and fleet is not None and leases is not None:
        from vanerelay.freshness.extension import FreshnessExtension

        freshness = FreshnessExtension(host, options["freshness"], fleet, leases)
        found.append(freshness)
    if "warming" in options and fleet is not None and leases is not None:
        from vanerelay.warming.extension import WarmingExtension

        found.append(WarmingExtension(host, options["warming"], fleet, leases, freshness))
    return found
