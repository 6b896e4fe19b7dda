"""Which subsystems join the served program, and in which order.

Stands above `net/` and all of them. Of what operators did not switch on nothing is imported.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from vanerelay.extension import Extension, ExtensionHost


def joins(options: Mapping[str, Any]) -> Callable[[ExtensionHost], list[Extension]] | None:
    """What makes the extensions that are switched on; None where none is.

    Args:
        options: The configuration of each subsystem that is on, by the name of its block.
    """
    return (lambda host: _extensions(host, options)) if options else None


def _extensions(host: ExtensionHost, options: Mapping[str, Any]) -> list[Extension]:
    """The extensions, each before those that depend on it."""
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
