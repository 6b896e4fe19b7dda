"""What the network side itself needs of the settings, and the edition of them that is in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from vanerelay import settings
from vanerelay.interface import ServiceClass

RawSettings = dict[str, Any]
"""The settings as the JSON object that was read."""


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """What the network side needs of one edition of the settings.

    Attributes:
        rows: The rows of the service classes by their names; `tenants` likewise.
        max_open: The number of queries that may be open; 0 for no limit.
        max_retry_after: The longest Retry-After that a client may be sent; 0 where none may.
        report_names: The names of reported values on the wire against the fields of LoadReport.
    """

    service_classes: list[ServiceClass]
    rows: dict[str, int]
    tenants: dict[str, int]
    max_open: int
    max_attempts: int
    sends_memory_grants: bool
    sends_priorities: bool
    max_retry_after: int
    report_names: dict[str, str]

    @classmethod
    def read(cls, raw_settings: RawSettings) -> ServiceSettings:
        """Reads an edition of the settings that has been validated."""
        classes = settings.service_classes(raw_settings)
        allowed = settings.capabilities(raw_settings)
        tenants = raw_settings.get("orgs") or []
        return cls(
            service_classes=classes,
            rows={service_class.name: row for row, service_class in enumerate(classes)},
            tenants={str(tenant.get("name")): row for row, tenant in enumerate(tenants)},
            max_open=int((raw_settings.get("limits") or {}).get("maxOpen") or 0),
            max_attempts=allowed.max_attempts,
            sends_memory_grants=allowed.sends_memory_grants,
            sends_priorities=allowed.sends_priorities,
            max_retry_after=allowed.max_retry_after if allowed.sends_retry_after else 0,
            report_names=settings.report_names(raw_settings),
        )

    def value_earned(self, name: str, duration: int) -> float:
        """The part of its value that an answer of a service class earns after this time."""
        row = self.rows.get(name)
        if row is None:
            return 1.0 if duration <= 0 else 0.0
        service_class = self.service_classes[row]
        if duration <= service_class.latency_objective:
            return 1.0
        return service_class.late_value / (service_class.value or 1.0)


class SettingsInForce:
    """The edition of the settings in force, which is replaced while the program serves."""

    def __init__(self, raw_settings: RawSettings) -> None:
        self.current = ServiceSettings.read(raw_settings)

    def replace(self, raw_settings: RawSettings) -> None:
        """Puts another edition in force."""
        self.current = ServiceSettings.read(raw_settings)
