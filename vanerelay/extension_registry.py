"""Creates the extensions of the served program, one for each subsystem that operators switched on.

This module may import `net/` and all subsystems. It imports a subsystem only if it is switched on.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from vanerelay.extension import Extension, ExtensionHost


def extension_factory(options: Mapping[str, Any]) -> Callable[[ExtensionHost], list[Extension]] | None:
    """Returns a function that creates the extensions, or None if no subsystem is switched on.

    Args:
        options: The configuration of each subsystem that is switched on, by the name of its block.
    """
    return (lambda host: _create_extensions(host, options)) if options else None


def _create_extensions(host: ExtensionHost, options: Mapping[str, Any]) -> list[Extension]:
    """Returns the extensions, each before those that depend on it."""
    extensions, membership, fleet, leases, freshness = list[Extension](), None, None, None, None
    if "membership" in options:
        from vanerelay.membership.extension import MembershipExtension

        membership = MembershipExtension(host, options["membership"])
        extensions.append(membership)
    if "xds" in options:
        from vanerelay.xds.extension import XdsExtension

        extensions.append(XdsExtension(host, options["xds"], membership))
    if "fleet" in options:
        from vanerelay.fleet.extension import FleetExtension

        fleet = FleetExtension(host, options["fleet"])
        extensions.append(fleet)
    if "rollout" in options and fleet is not None:
        from vanerelay.rollout.extension import RolloutExtension

        extensions.append(RolloutExtension(host, options["rollout"], fleet))
    if "leases" in options and fleet is not None:
        from vanerelay.leases.extension import LeasesExtension

        leases = LeasesExtension(host, options["leases"], fleet)
        extensions.append(leases)
    if "freshness" in options and fleet is not None and leases is not None:
        from vanerelay.freshness.extension import FreshnessExtension

        freshness = FreshnessExtension(host, options["freshness"], fleet, leases)
        extensions.append(freshness)
    if "warming" in options and fleet is not None and leases is not None:
        from vanerelay.warming.extension import WarmingExtension

        extensions.append(WarmingExtension(host, options["warming"], fleet, leases, freshness))
    return extensions
