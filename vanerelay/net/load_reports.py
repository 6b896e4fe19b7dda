"""What an engine's answer tells beside its rows: figures of the work, and its load."""

from __future__ import annotations

from collections.abc import Mapping

from vanerelay.net import request_codec

LOADS = ("inflight", "queue", "util", "latency_ms", "qps", "eps")  # the page's words for reported values
REPORTED = dict(
    zip(LOADS, ("busy_reqs", "pending", "cpu_share", "svc_ms", "served_ps", "failed_ps"), strict=True)
)


def told(fields: Mapping[str, str], name: str) -> float:
    """A figure of an answer; 0 where none is told that can be used."""
    return request_codec.figure(fields, name) or 0.0


def loads(text: str) -> dict[str, float]:
    """The reported values by the names of the settings; what is no figure is left out."""
    values = {}
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        try:
            values[REPORTED.get(name, name)] = float(value)
        except ValueError:
            continue
    return values
