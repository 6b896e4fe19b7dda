"""The bad client: half a request on each of hundreds of connections, and then a close.

Each frame states a length that the protocol allows (262,144 at most); its last ten bytes are never sent.
"""

from __future__ import annotations

import socket
import struct
import sys
import threading
import time

CONNECTIONS = 320
LENGTH = 262_144
MISSING = 10
HELD_FOR_S = 1.5
"""From the last byte to the close; the pages allow the gateway 3 s from the connect to end such a client."""


def main() -> None:
    port = int(sys.argv[1])
    half = struct.pack(">IBI", LENGTH, 2, 1) + b"x" * (LENGTH - 5 - MISSING)
    opened = [socket.create_connection(("127.0.0.1", port)) for _ in range(CONNECTIONS)]
    started = time.monotonic()

    def send(sock: socket.socket) -> None:
        try:
            sock.sendall(half)
        except OSError:
            pass

    threads = [threading.Thread(target=send, args=(sock,)) for sock in opened]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    print(f"half requests={CONNECTIONS} bytes={CONNECTIONS * len(half)} sent_in_s={time.monotonic() - started:.2f}",
          flush=True)
    time.sleep(HELD_FOR_S)
    for sock in opened:
        sock.close()


if __name__ == "__main__":
    main()
