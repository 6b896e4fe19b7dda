"""The lease as a register: is there an order of all that was done, each at some moment between its begin and
its end, that a lease kept in one place could have gone through?

Wing and Gong's search (1993) with Lowe's memory of what was tried (2017), task by task: leases of different
tasks have nothing to do with each other (P-compositionality, Horn and Kroening 2015)."""

from collections import defaultdict

NEVER = float("inf")


def operations(rows):
    """By task: (begin, end, op, holder, number, sure). What nobody knows the end of may have happened at any
    time since, or not at all."""
    by, known = defaultdict(list), set()
    for row in rows:
        if row["op"] in ("acquire", "renew"):
            known.add((row["task"], row["holder"], row["number"]))
            by[row["task"]].append((row["begin"], row["end"], row["op"], row["holder"], row["number"], True))
        elif row["op"] == "release":
            by[row["task"]].append((row["begin"], NEVER, "release", row["holder"], row["number"], False))
    for row in rows:
        if row["op"] == "asked" and (row["task"], row["holder"], row["number"]) not in known:
            by[row["task"]].append((row["begin"], NEVER, "acquire", row["holder"], row["number"], False))
    return by


def step(state, op, holder, number):
    """The register after it; None where it could not have done so."""
    highest, held = state
    if op == "acquire":
        return (number, holder) if number > highest else None
    if (number, holder) != (highest, held):
        return None
    return (highest, "") if op == "release" else state


def linearizable(ops):
    """Whether one task's operations are. Long histories of sure operations in turn are settled quickly; the
    search grows with how many go on at once."""
    ops = sorted(ops, key=lambda op: (op[0], op[1]))
    count, tried = len(ops), set()
    sure = sum(1 << place for place, op in enumerate(ops) if op[5])
    stack = [(0, (0, ""), 0)]  # done, the register, all before `first` are done
    while stack:
        done, state, first = stack.pop()
        if done & sure == sure:
            return True
        while first < count and done >> first & 1:
            first += 1
        key = done >> first, first, state
        if key in tried:
            continue
        tried.add(key)
        # What may come next: whatever began before everything left that is sure has ended.
        limit, place, after = NEVER, first, []
        while place < count and ops[place][0] <= limit:
            if not done >> place & 1:
                begin, end, op, holder, number, is_sure = ops[place]
                new = step(state, op, holder, number)
                if new is not None:
                    after.append((end, done | 1 << place, new))
                if is_sure:
                    limit = min(limit, end)
            place += 1
        stack += [(one, new, first) for _, one, new in sorted(after, key=lambda one: -one[0])]
    return False


def wrong(rows):
    return [
        f"{task}: no order of what was done"
        for task, ops in operations(rows).items()
        if not linearizable(ops)
    ]
