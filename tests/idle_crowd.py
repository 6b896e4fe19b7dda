"""Crowds of clients that connect all at once, rest and leave, as a program of its own.

`python -m tests.idle_crowd HOST PORT --connections 300 --seconds 4` prints how many connections were made.
"""

from __future__ import annotations

import argparse
import errno
import json
import random
import socket
import time

from tests.abusive_clients import new_reference, request

CONNECTING = {0, errno.EINPROGRESS}


def connect_all(address: tuple[str, int], connections: int) -> list[socket.socket]:
    """Starts all connects without waiting for any of them."""
    made = [socket.socket() for _ in range(connections)]
    for one in made:
        one.setblocking(False)
    return [one for one in made if one.connect_ex(address) in CONNECTING]


def ask_once(crowd: list[socket.socket]) -> None:
    """Sends a query on each connection that is established."""
    for one in crowd:
        try:
            one.send(request(1, new_reference()))
        except OSError:
            continue


def leave(crowd: list[socket.socket]) -> None:
    for one in crowd:
        one.close()


def come_and_go(address: tuple[str, int], connections: int, seconds: float, rest_s: float, asks: bool) -> int:
    """Connects and leaves in waves, one after the other without a pause. Returns the number of connects."""
    ends_at, made = time.monotonic() + seconds, 0
    while time.monotonic() < ends_at:
        crowd = connect_all(address, connections)
        made += len(crowd)
        time.sleep(0.02)
        if asks:
            ask_once(crowd)
        time.sleep(rest_s * random.uniform(0.5, 1.5))
        leave(crowd)
    return made


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m tests.idle_crowd")
    parser.add_argument("host")
    parser.add_argument("port", type=int)
    parser.add_argument("--connections", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--rest", type=float, default=0.4, help="mean seconds until a crowd leaves")
    parser.add_argument("--ask", action="store_true", help="each client asks once")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    random.seed(told.seed)
    address = (told.host, told.port)
    made = come_and_go(address, told.connections, told.seconds, told.rest, told.ask)
    print(json.dumps({"connections": made}))


if __name__ == "__main__":
    main()
