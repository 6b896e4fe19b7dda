"""The fields of an engine's answer that report the work done and the engine's load."""

from __future__ import annotations

from collections.abc import Mapping

from vanerelay.net import request_codec
from vanerelay.received_numbers import number_in_range

MAX_VALUES = 32
"""Maximum number of values of a load report that are read; the settings name four at most."""
SETTINGS_NAMES = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
"""The names of reported values in the settings, by their names on the wire."""


def work(fields: Mapping[str, str]) -> int:
    """Returns the work that an answer reports, in ticks; 0 if it is missing or invalid."""
    return round(_value_or_zero(fields, "elapsed") * request_codec.TICKS_PER_MS)


def peak_memory(fields: Mapping[str, str]) -> float:
    """Returns the memory peak that an answer reports, in MB; 0 if it is missing or invalid."""
    return _value_or_zero(fields, "rss")


def load_values(fields: Mapping[str, str]) -> dict[str, float]:
    """Returns the load that an answer reports, by the names in the settings; invalid numbers are left out."""
    return parse_load(fields.get("l", ""))


def parse_load(text: str) -> dict[str, float]:
    """Parses reported values of the form `name:value;name:value`; invalid numbers are left out."""
    values = {}
    for pair in text.split(";", MAX_VALUES)[:MAX_VALUES]:
        name, _, value = pair.partition(":")
        number = number_in_range(value)
        if number is not None:
            values[SETTINGS_NAMES.get(name, name)] = number
    return values


def _value_or_zero(fields: Mapping[str, str], name: str) -> float:
    return request_codec.parse_number(fields, name) or 0.0
