"""Speaks the simulator's wire on standard input and output: one JSON line in, one out."""

from __future__ import annotations

import json
import sys
from typing import IO, Any

from vanerelay import settings
from vanerelay.adapter.instance import Instance, Orders


class Host:
    """The instances of one process. They share the list pages that the wire numbers, and no more."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pages: dict[int, list[dict[str, Any]]] = {}

    def reply(self, message: Any) -> dict[str, Any]:
        orders: Orders = []
        now = settings.up(message["clockUs"])
        for instance in self._instances.values():
            instance.orders, instance.now = orders, now
        for event in message["input"]:
            verb = event["verb"]
            if verb == "census":
                self._pages[event["page"]] = list(event.get("items") or [])
                continue
            number = event["manager"]
            if verb == "up":
                self._instances[number] = Instance(
                    number, now, event["initSeed"], event["profileData"], orders
                )
            elif verb == "killed":
                self._instances.pop(number, None)
            elif number in self._instances:
                self._instances[number].event(verb, event, self._pages)
            else:
                raise ValueError(f"{verb!r} for an instance that is not up")
        return {"orders": orders}


def main(lines: IO[str], out: IO[str]) -> int:
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.reply(json.loads(line))
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as fault:
            print(f"vanerelay: malformed input: {type(fault).__name__}: {fault}", file=sys.stderr)
            return 1
        out.write(json.dumps(reply, separators=(",", ":")) + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(main(sys.stdin, sys.stdout))
