"""A bad client: hundreds of requests at once, over many connections. It reads whatever is sent to it.

Arguments: the gateway's port, the time limit in milliseconds, the number of connections, the requests on each.

Each request is well formed: a class of the settings, an id of its own, a statement of some 16 kB.
"""

from __future__ import annotations

import contextlib
import selectors
import socket
import sys
import threading
import time

from standins import request

STATEMENT_BYTES = 15_900
READ_FOR_S = 45.0


def statement() -> bytes:
    """Returns a look-up for a long list of numbers."""
    head = b"SELECT a, b, c FROM sales_17.orders WHERE box IN ("
    numbers = b",".join(b"%d" % (number % 10) for number in range((STATEMENT_BYTES - len(head)) // 2))
    return head + numbers + b")"


def send(sock: socket.socket, message: bytes) -> None:
    """Sends at full speed; the gateway may end the connection."""
    with contextlib.suppress(OSError):
        sock.sendall(message)


def main() -> None:
    port, allow_ms, connections, requests_each = int(sys.argv[1]), sys.argv[2], int(sys.argv[3]), int(sys.argv[4])
    body = statement()
    opened, messages = [], []
    for connection in range(connections):
        parts = []
        for number in range(requests_each):
            ref = f"{0xBAD00000 + connection * requests_each + number:016x}"
            fields = {"service": "consulta-stock", "ref": ref, "allow": allow_ms, "effort": "20", "space": "20"}
            parts.append(request(number + 1, fields, body))
        messages.append(b"".join(parts))
        opened.append(socket.create_connection(("127.0.0.1", port)))
    started = time.monotonic()
    threads = [
        threading.Thread(target=send, args=(sock, message)) for sock, message in zip(opened, messages, strict=True)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    total = len(messages) * requests_each
    print(f"burst sent requests={total} bytes={sum(map(len, messages))} in_s={time.monotonic() - started:.2f}",
          flush=True)
    selector = selectors.DefaultSelector()
    for sock in opened:
        sock.setblocking(False)
        selector.register(sock, selectors.EVENT_READ)
    end = time.monotonic() + READ_FOR_S
    while selector.get_map() and time.monotonic() < end:
        for key, _ in selector.select(0.2):
            try:
                data = key.fileobj.recv(65536)  # type: ignore[union-attr]
            except OSError:
                data = b""
            if not data:
                selector.unregister(key.fileobj)
                key.fileobj.close()  # type: ignore[union-attr]
    for sock in opened:
        sock.close()


if __name__ == "__main__":
    main()
