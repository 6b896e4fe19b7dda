"""Operations under a lease as receivers accepted them: one holder at a time, rising tokens, no repeats."""

from collections import defaultdict


def violations(rows):
    """What is wrong with the operations that receivers accepted."""
    by_receiver, holders = defaultdict(list), defaultdict(set)
    for row in rows:
        if row["op"] == "order" and row["result"] == "ok":
            by_receiver[row["party"], row["task"]].append(row)
            holders[row["task"], row["number"]].add(row["holder"])
    found = [
        f"{task}: number {token} is of {' and '.join(sorted(names))}"
        for (task, token), names in sorted(holders.items())
        if len(names) > 1
    ]
    for (receiver, task), accepted in sorted(by_receiver.items()):
        accepted.sort(key=lambda row: (row["begin"], row["end"]))
        found += [f"{receiver}, {task}: {text}" for text in _receiver_violations(accepted)]
    return found


def _receiver_violations(accepted):
    """Of one task at one receiver, by the begin of the operations."""
    latest_end = {}  # by holder: the last end of an operation
    highest = (0, 0)  # token and serial
    for row in accepted:
        mark = row["number"], row["serial"]
        if row["end"] < row["begin"]:
            yield f"{mark} ends before it begins"
        if row["number"] < highest[0]:
            yield f"number {row['number']} after {highest[0]}"
        elif mark <= highest:
            yield f"{mark} after {highest}"
        others = [end for holder, end in latest_end.items() if holder != row["holder"]]
        if others and max(others) > row["begin"]:
            yield f"{row['holder']} acts at {row['begin']} while another does"
        latest_end[row["holder"]] = max(latest_end.get(row["holder"], 0), row["end"])
        highest = max(highest, mark)


def outdated(rows):
    """Operations that holders began after one with a later token had begun anywhere.

    A receiver that refuses has to refuse them; one that can't is exposed to them.
    """
    begun = defaultdict(list)
    for row in rows:
        if row["op"] == "deed":
            begun[row["task"]].append(row)
    found = []
    for of_task in begun.values():
        of_task.sort(key=lambda row: row["begin"])
        highest = 0
        for row in of_task:
            if row["number"] < highest:
                found.append(row)
            highest = max(highest, row["number"])
    return found


def gaps(rows, task, until):
    """Spans without an operation anywhere, the longest first: (length, from)."""
    ends = sorted(row["end"] for row in rows if row["op"] == "order" and row["task"] == task)
    spans = [(b - a, a) for a, b in zip(ends, [*ends[1:], until], strict=True)]
    return sorted(spans, reverse=True)
