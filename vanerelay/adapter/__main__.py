"""Runs the simulator's protocol on standard input and output: one JSON line is answered by one JSON line."""

from __future__ import annotations

import json
import sys
from typing import IO, Any

from vanerelay.adapter import wire
from vanerelay.adapter.instance import Instance, Pages
from vanerelay.adapter.orders import Order


class Host:
    """The simulated gateways of one process. They share the pages of the engine list and nothing else."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance] = {}
        self._pages: Pages = {}

    def reply(self, message: Any) -> dict[str, Any]:
        """Handles all events of a message, and returns the reply with the resulting orders."""
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
            raise ValueError(f"{verb!r} event for a gateway that was not started")


def main(lines: IO[str], out: IO[str]) -> int:
    """Answers each line until the input ends or a line is malformed. Returns the exit code, 0 or 1."""
    host = Host()
    for line in lines:
        if not line.strip():
            continue
        try:
            reply = host.reply(json.loads(line))
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            print(f"vanerelay: malformed input: {type(error).__name__}: {error}", file=sys.stderr)
            return 1
        out.write(json.dumps(reply, separators=(",", ":")) + "\n")
        out.flush()
    return 0


if __name__ == "__main__":
    sys.stdin.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8")  # type: ignore[union-attr]
    sys.exit(main(sys.stdin, sys.stdout))
