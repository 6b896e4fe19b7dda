"""Deeds under a lease, as receivers took them: never two holders, numbers that never fall, nothing twice."""

from collections import defaultdict


def wrong(rows):
    """What is wrong with the orders that receivers took, in words; rows as written, in any order."""
    found, by = [], defaultdict(list)
    owners = defaultdict(set)
    for row in rows:
        if row["op"] == "order" and row["result"] == "ok":
            by[row["party"], row["task"]].append(row)
            owners[row["task"], row["number"]].add(row["holder"])
    for (task, number), holders in sorted(owners.items()):
        if len(holders) > 1:
            found.append(f"{task}: number {number} is of {' and '.join(sorted(holders))}")
    for (party, task), taken in sorted(by.items()):
        taken.sort(key=lambda row: (row["begin"], row["end"]))
        latest = {}  # by holder: the last end of a deed of his
        highest = (0, 0)
        for row in taken:
            mark = row["number"], row["serial"]
            if row["end"] < row["begin"]:
                found.append(f"{party}, {task}: {mark} ends before it begins")
            if row["number"] < highest[0]:
                found.append(f"{party}, {task}: number {row['number']} after {highest[0]}")
            elif mark <= highest:
                found.append(f"{party}, {task}: {mark} after {highest}")
            others = [end for holder, end in latest.items() if holder != row["holder"]]
            if others and max(others) > row["begin"]:
                found.append(f"{party}, {task}: {row['holder']} acts at {row['begin']} while another does")
            latest[row["holder"]] = max(latest.get(row["holder"], 0), row["end"])
            highest = max(highest, mark)
    return found


def beyond(rows):
    """Deeds that holders began after one of a later number had begun anywhere: what a receiver that refuses
    has to refuse, and what one that can't is exposed to."""
    begun = defaultdict(list)
    for row in rows:
        if row["op"] == "deed":
            begun[row["task"]].append(row)
    found = []
    for rows_ in begun.values():
        rows_.sort(key=lambda row: row["begin"])
        highest = 0
        for row in rows_:
            if row["number"] < highest:
                found.append(row)
            highest = max(highest, row["number"])
    return found


def gaps(rows, task, until):
    """Spans without a deed anywhere, the longest first: (length, from)."""
    ends = sorted(row["end"] for row in rows if row["op"] == "order" and row["task"] == task)
    spans = [(b - a, a) for a, b in zip(ends, [*ends[1:], until], strict=True)]
    return sorted(spans, reverse=True)
