"""The settings that the network code uses itself, and the version of them that is current."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from vanerelay import settings
from vanerelay.interface import ServiceClass

RawSettings = dict[str, Any]
"""The settings as the JSON object that was read."""


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """The settings that the network code uses, in one version of the settings.

    Attributes:
        service_class_indexes: The index of each service class, by name.
        tenant_indexes: The index of each tenant, by name.
        max_open: The number of queries that may be open; 0 for no limit.
        max_attempts: The number of attempts that a query may have.
        sends_memory_grants: True if engines are sent the memory grant of a query.
        sends_priorities: True if engines are sent the priority of a query.
        max_retry_after: The longest Retry-After that clients may be sent, in ticks; 0 if none may be sent.
        report_names: The fields of LoadReport with the names of their values on the wire.
    """

    service_classes: list[ServiceClass]
    service_class_indexes: dict[str, int]
    tenant_indexes: dict[str, int]
    max_open: int
    max_attempts: int
    sends_memory_grants: bool
    sends_priorities: bool
    max_retry_after: int
    report_names: dict[str, str]

    @classmethod
    def read(cls, raw_settings: RawSettings) -> ServiceSettings:
        """Reads settings that have been validated."""
        classes = settings.service_classes(raw_settings)
        allowed = settings.capabilities(raw_settings)
        tenants = raw_settings.get("orgs") or []
        return cls(
            service_classes=classes,
            service_class_indexes={service_class.name: index for index, service_class in enumerate(classes)},
            tenant_indexes={str(tenant.get("name")): index for index, tenant in enumerate(tenants)},
            max_open=int((raw_settings.get("limits") or {}).get("maxOpen") or 0),
            max_attempts=allowed.max_attempts,
            sends_memory_grants=allowed.sends_memory_grants,
            sends_priorities=allowed.sends_priorities,
            max_retry_after=allowed.max_retry_after if allowed.sends_retry_after else 0,
            report_names=settings.report_names(raw_settings),
        )

    def value_earned(self, name: str, duration: int) -> float:
        """Returns the fraction of its value that an answer of a service class earns after this time."""
        index = self.service_class_indexes.get(name)
        if index is None:
            return 1.0 if duration <= 0 else 0.0
        service_class = self.service_classes[index]
        if duration <= service_class.latency_objective:
            return 1.0
        return service_class.late_value / (service_class.value or 1.0)


class SettingsInForce:
    """Holds the current version of the settings, which may be replaced while the process serves."""

    def __init__(self, raw_settings: RawSettings) -> None:
        self.current = ServiceSettings.read(raw_settings)

    def replace(self, raw_settings: RawSettings) -> None:
        """Replaces the current version."""
        self.current = ServiceSettings.read(raw_settings)
