"""Prefetch orders as gateways accepted and carried them out: by token, and within the budget."""

from collections import defaultdict

SECOND = 10_000
WINDOWS_S = (2, 10)


def violations(rows, cost, budget, saves):
    """What is wrong.

    `cost`: core seconds of one prefetch; `budget`: core seconds a second that one task may order; `saves`:
    seconds of it that are saved up.
    """
    accepted, begun = defaultdict(list), defaultdict(list)
    for row in rows:
        if row["op"] == "order" and row["result"] == "ok":
            accepted[row["party"], row["task"]].append(row)
        elif row["op"] == "warm":
            begun[row["party"], row["task"]].append(row)
    found, moments = [], defaultdict(list)
    for (gateway, task), prefetches in sorted(begun.items()):
        moments[task] += [row["begin"] for row in prefetches]
        texts = _token_violations(prefetches, accepted[gateway, task])
        found += [f"{gateway}, {task}: {text}" for text in texts]
    for task, at in sorted(moments.items()):
        found += [f"{task}: {text}" for text in _budget_violations(sorted(at), cost, budget, saves)]
    return found


def _token_violations(prefetches, orders):
    known = {(row["number"], row["serial"]) for row in orders}
    for row in prefetches:
        mark = row["number"], row["serial"]
        if mark not in known:
            yield f"{mark} was never taken"
        later = max((order["number"] for order in orders if order["end"] < row["begin"]), default=0)
        if later > row["number"]:
            yield f"{mark} begins after {later} was taken"


def _budget_violations(moments, cost, budget, saves):
    for place, moment in enumerate(moments):
        for window in WINDOWS_S:
            first = next(n for n, one in enumerate(moments) if one > moment - window * SECOND)
            spent = (place - first + 1) * cost
            if spent > budget * (window + saves) + cost:
                yield f"{spent:.1f} core seconds in {window} s before {moment}"
