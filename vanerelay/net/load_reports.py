"""The named values of an engine's answer: the work done and the engine's load."""

from __future__ import annotations

from collections.abc import Mapping

from vanerelay.net import request_codec

REPORTED = {
    "inflight": "busy_reqs",
    "queue": "pending",
    "util": "cpu_share",
    "latency_ms": "svc_ms",
    "qps": "served_ps",
    "eps": "failed_ps",
}
"""The names of reported values on the engines' wire against those of the settings."""


def work(fields: Mapping[str, str]) -> int:
    """The work that an answer reports, in ticks; 0 where none can be used."""
    return round(_figure(fields, "elapsed") * request_codec.TICKS_PER_MS)


def peak_memory(fields: Mapping[str, str]) -> float:
    """The peak of memory that an answer reports, in MB; 0 where none can be used."""
    return _figure(fields, "rss")


def load_values(fields: Mapping[str, str]) -> dict[str, float]:
    """The load that an answer reports, by the names of the settings; what is no figure is left out."""
    return parse_load(fields.get("l", ""))


def parse_load(text: str) -> dict[str, float]:
    """Reported values as they stand in one field."""
    values = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            values[REPORTED.get(name, name)] = float(value)
        except ValueError:
            continue
    return values


def _figure(fields: Mapping[str, str], name: str) -> float:
    return request_codec.parse_number(fields, name) or 0.0
