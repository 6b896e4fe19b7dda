"""Reads with hints, checked by the source's own record of loads.

Never older than asked, sessions that never go back, loads that are read once they have ended. Knows the words
of hints and of answers, and nothing of who decided.
"""

import re
from collections import defaultdict

UNITS = {"ms": 10, "s": 10_000, "m": 600_000, "h": 36_000_000}
MILLISECOND = 10
DEFAULT_SESSION_TIME = 300_000.0


def parse_hint(text):
    """What a hint asks, by its word and sign; durations in tenths of a millisecond."""
    found = {}
    for word, sign, value in re.findall(r"(\w+)(<=|>=|=)(\S+)", text):
        span = re.fullmatch(r"([\d.]+)(ms|s|m|h)", value)
        found[word + sign] = float(span[1]) * UNITS[span[2]] if span else value
    return found


def parse_position(text):
    incarnation, _, number = text.partition(":")
    return int(incarnation), int(number)


class Checker:
    """One history: `commits` by table (position, end), `loads` by reference, `reads` by query and engine."""

    def __init__(self, rows):
        self.commits, self.loads = defaultdict(list), {}
        self.reads, self.seen = defaultdict(list), defaultdict(list)
        for row in rows:
            position = (row["life"], row["number"]) if row["op"] in ("commit", "read") else None
            if row["op"] == "commit":
                self.commits[row["table"]].append((position, row["end"]))
                self.loads[row["ref"]] = row["table"], position
            elif row["op"] == "read":
                self.reads[row["ref"], row["party"]].append(position)
        asked = [row for row in rows if row["op"] == "query" and row["result"] == "returned" and row["hint"]]
        self.found = list(self.source_violations())
        for row in sorted(asked, key=lambda row: row["begin"]):
            self.found += [f"{row['ref']}: {text}" for text in self.read_violations(row)]

    def source_violations(self):
        for table, ended in sorted(self.commits.items()):
            ended.sort(key=lambda commit: commit[1])
            positions = [position for position, _ in ended]
            if positions != sorted(set(positions)):
                yield f"table {table}: the source's record itself falls or repeats"

    def read_violations(self, row):
        """Of one read, which then counts as seen by its session."""
        read_at = self.reads[row["ref"], row["engine"]]
        position = parse_position(row["at"]) if "at" in row else None
        if not read_at or position is not None and position not in read_at:
            yield f"answered at {row.get('at')}, {row['engine']} read at {read_at}"
            return
        position = position or min(read_at)
        hint = parse_hint(row["hint"])
        lacking = [(one, end) for one, end in self.commits[row["table"]] if one > position]
        if "age" in row:
            yield from age_violations(row, hint, lacking)
        else:
            yield from staleness_violations(row, hint, position, lacking)
            yield from self.load_violations(row, hint, position)
        if row["session"]:
            yield from self.session_violations(row, hint, position)
            self.seen[row["session"], row["table"]].append((position, row["end"]))

    def load_violations(self, row, hint, position):
        if hint.get("after=") in self.loads:
            table, load = self.loads[hint["after="]]
            if table == row["table"] and position < load:
                yield f"{row['hint']} at {position}, the load ended at {load}"
        if "at>=" in hint and position < parse_position(hint["at>="]):
            yield f"{row['hint']} at {position}"

    def session_violations(self, row, hint, position):
        if "age" in row and hint.get("else=") == "freshest":
            return
        lasts = hint.get("for=", DEFAULT_SESSION_TIME)
        before = [
            one
            for one, end in self.seen[row["session"], row["table"]]
            if end < row["begin"] and row["begin"] - end < lasts
        ]
        if before and position < max(before):
            yield f"session {row['session']} at {position} after {max(before)}"


def age_violations(row, hint, lacking):
    """Of an answer that says how old it is."""
    if hint.get("else=") not in ("source", "freshest"):
        yield f"may not be older than asked, says {row['age']} ms"
    elif row["age"] != "unknown":
        since = row["end"] - int(row["age"]) * MILLISECOND
        for position, end in lacking:
            if end < since:
                yield f"says {row['age']} ms, lacks {position} of before"


def staleness_violations(row, hint, position, lacking):
    """Of an answer that is to be as fresh as asked."""
    if "stale<=" not in hint and "behind<=" not in hint:
        return
    since = row["begin"] - hint.get("stale<=", 0.0)
    allowed = (position[0], position[1] + int(hint.get("behind<=", 0)))
    for one, end in lacking:
        if end < since and one > allowed:
            yield f"{row['hint']} at {position}, lacks {one}"


def violations(rows):
    """What is wrong."""
    return Checker(rows).found


def older(rows):
    """Reads that are older than their hint asked, whatever they were answered with.

    Scenarios without hints in force have to show some.
    """
    without_age = [{key: value for key, value in row.items() if key != "age"} for row in rows]
    return sorted({text.partition(":")[0] for text in violations(without_age) if "lacks" in text})
