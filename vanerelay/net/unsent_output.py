"""The output that a peer has not taken: what the transport holds, and what the system holds."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Any

PIECE_BYTES = 64
"""The memory of one piece of output beside its bytes, as small pieces are held one by one."""


def held_output_bytes(transport: Any) -> int:
    """Returns the memory that a Twisted transport of a stream uses for unsent output, in bytes."""
    pieces = transport._tempDataBuffer
    return len(transport.dataBuffer) + int(transport._tempDataLen) + PIECE_BYTES * len(pieces)


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Returns the bytes in the system's send buffer that the peer's system has not acknowledged.

    Returns 0 where the system does not tell, see tcp(7), SIOCOUTQ.
    """
    try:
        (count,) = struct.unpack("i", fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4)))
    except OSError:
        return 0
    return int(count)
