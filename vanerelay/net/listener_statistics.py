"""Measurements of the client listener since the start of the process, for the log."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ListenerStatistics:
    """The longest pieces of work of the listener, in seconds, and the largest round of accepting.

    Attributes:
        longest_accept_s: The longest round of accepting connections.
        most_accepted: The most connections that were accepted in one round.
        longest_end_s: The longest time from the decision to end a connection until the end was sent.
    """

    longest_accept_s: float = 0.0
    most_accepted: int = 0
    longest_end_s: float = 0.0

    def accepted(self, count: int, duration_s: float) -> None:
        """Records a round of accepting."""
        self.most_accepted = max(self.most_accepted, count)
        self.longest_accept_s = max(self.longest_accept_s, duration_s)

    def values(self) -> dict[str, int]:
        """Returns the measurements by their names in log lines, durations in milliseconds."""
        return {
            "longest_accept_ms": round(self.longest_accept_s * 1000),
            "most_accepted": self.most_accepted,
            "longest_end_ms": round(self.longest_end_s * 1000),
        }
