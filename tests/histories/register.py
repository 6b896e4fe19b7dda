"""The lease as a register: whether its history is linearizable.

That is: whether there is an order of all operations, each at some moment between its begin and its end, that
a lease kept in one place could have gone through. Wing and Gong's search (1993) with Lowe's memory of what
was tried (2017), task by task: leases of different tasks have nothing to do with each other
(P-compositionality, Horn and Kroening 2015).
"""

from collections import defaultdict
from typing import NamedTuple

NEVER = float("inf")


class Operation(NamedTuple):
    """One operation. What is not sure may have happened at any time since its begin, or not at all."""

    begin: float
    end: float
    op: str
    holder: str
    token: int
    is_sure: bool


class Register(NamedTuple):
    """The highest token that was acquired, and who holds the lease; nobody where it was released."""

    token: int = 0
    holder: str = ""


def operations(rows):
    """The operations by task; of those whose end nobody knows, what may have happened."""
    by_task, known = defaultdict(list), set()
    for row in rows:
        task, holder, token = row.get("task"), row.get("holder"), row.get("number")
        if row["op"] in ("acquire", "renew"):
            known.add((task, holder, token))
            by_task[task].append(Operation(row["begin"], row["end"], row["op"], holder, token, True))
        elif row["op"] == "release":
            by_task[task].append(Operation(row["begin"], NEVER, "release", holder, token, False))
    for row in rows:
        if row["op"] == "asked" and (row["task"], row["holder"], row["number"]) not in known:
            attempted = Operation(row["begin"], NEVER, "acquire", row["holder"], row["number"], False)
            by_task[row["task"]].append(attempted)
    return by_task


def apply(register, operation):
    """The register after an operation; None where it could not have happened."""
    if operation.op == "acquire":
        acquired = Register(operation.token, operation.holder)
        return acquired if operation.token > register.token else None
    if (operation.token, operation.holder) != register:
        return None
    return Register(register.token) if operation.op == "release" else register


def linearizable(ops):
    """Whether one task's operations are.

    Long histories of sure operations in turn are settled quickly; the search grows with how many go on at
    once.
    """
    ops = sorted(ops, key=lambda op: (op.begin, op.end))
    sure = sum(1 << place for place, op in enumerate(ops) if op.is_sure)
    tried = set()
    stack = [(0, Register(), 0)]  # operations done as bits, the register, all before `first` are done
    while stack:
        done, register, first = stack.pop()
        if done & sure == sure:
            return True
        while first < len(ops) and done >> first & 1:
            first += 1
        key = done >> first, first, register
        if key not in tried:
            tried.add(key)
            stack += _next_states(ops, done, register, first)
    return False


def _next_states(ops, done, register, first):
    """What may come next: whatever began before everything left that is sure has ended."""
    limit, place, after = NEVER, first, []
    while place < len(ops) and ops[place].begin <= limit:
        if not done >> place & 1:
            op = ops[place]
            new = apply(register, op)
            if new is not None:
                after.append((op.end, done | 1 << place, new))
            if op.is_sure:
                limit = min(limit, op.end)
        place += 1
    return [(bits, new, first) for _, bits, new in sorted(after, key=lambda state: -state[0])]


def violations(rows):
    """What is wrong."""
    return [
        f"{task}: no order of what was done"
        for task, ops in operations(rows).items()
        if not linearizable(ops)
    ]
