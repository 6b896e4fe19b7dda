"""Speaks the simulator's wire on standard input and output: one JSON line in, one out."""

from __future__ import annotations

import json
import sys
from typing import IO, Any

from vanerelay.adapter import wire
from vanerelay.adapter.instance import Instance, Pages
from vanerelay.adapter.orders import Order


class Host:
    """The gateways of one process. They share the pages of the engine list, and no more."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pages: Pages = {}

    def reply(self, message: Any) -> dict[str, Any]:
        """Handles all events of a message; the reply has the orders that came of them."""
        orders: list[Order] = []
        now = wire.now_of(message)
        for instance in self._instances.values():
            instance.orders = orders
            instance.now = now
        for event in wire.events_of(message):
            self._handle(now, event, orders)
        return {"orders": orders}

    def _handle(self, now: int, event: wire.Event, orders: list[Order]) -> None:
        verb = wire.verb(event)
        if verb == wire.ENGINE_PAGE:
            self._pages[wire.page_number(event)] = wire.page_rows(event)
            return
        number = wire.gateway_number(event)
        if verb == wire.GATEWAY_STARTED:
            self._instances[number] = Instance(
                number, now, wire.seed(event), wire.raw_settings(event), orders
            )
        elif verb == wire.GATEWAY_KILLED:
            self._instances.pop(number, None)
        elif number in self._instances:
            self._instances[number].handle(verb, event, self._pages)
        else:
            raise ValueError(f"{verb!r} for an instance that is not up")


def main(lines: IO[str], out: IO[str]) -> int:
    """Answers each line until the input ends; the exit code is 1 where one is malformed."""
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
