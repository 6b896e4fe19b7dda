"""Loaded by the interpreter of a process under test: steps its wall clock and makes system calls fail.

`tests/faults.py` holds the other side. The shared file is a row of doubles, named by `faults.FIELDS`.
"""

from __future__ import annotations

import datetime
import errno
import mmap
import os
import random
import socket
import struct
import time

WALL, ACCEPT, CONNECT, SOCKET, SHORT = range(5)
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ENOBUFS)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.EMFILE)


def install(path: str) -> None:
    with open(path, "r+b") as file:
        shared = mmap.mmap(file.fileno(), 0)
    chance = random.Random(os.getpid())

    def value(field: int) -> float:
        return struct.unpack_from("d", shared, 8 * field)[0]

    def fails(field: int) -> bool:
        rate = value(field)
        return rate > 0 and chance.random() < rate

    _step_wall_clock(value)
    _break_sockets(chance, fails)


def _step_wall_clock(value) -> None:
    real_time, real_ns, real_clock, real_clock_ns = (
        time.time,
        time.time_ns,
        time.clock_gettime,
        time.clock_gettime_ns,
    )
    time.time = lambda: real_time() + value(WALL)
    time.time_ns = lambda: real_ns() + int(value(WALL) * 1e9)

    def clock_gettime(clock: int) -> float:
        return real_clock(clock) + (value(WALL) if clock == time.CLOCK_REALTIME else 0.0)

    def clock_gettime_ns(clock: int) -> int:
        return real_clock_ns(clock) + (int(value(WALL) * 1e9) if clock == time.CLOCK_REALTIME else 0)

    time.clock_gettime, time.clock_gettime_ns = clock_gettime, clock_gettime_ns

    class Stepped(datetime.datetime):
        @classmethod
        def now(cls, tz=None):
            return cls.fromtimestamp(time.time(), tz)

    datetime.datetime = Stepped


def _break_sockets(chance: random.Random, fails) -> None:
    real = {name: getattr(socket.socket, name) for name in ("accept", "connect_ex", "recv", "send")}

    def accept(self):
        if fails(ACCEPT):
            raise OSError(chance.choice(ACCEPT_ERRORS), "injected")
        return real["accept"](self)

    def connect_ex(self, address):
        return chance.choice(CONNECT_ERRORS) if fails(CONNECT) else real["connect_ex"](self, address)

    def recv(self, size, *flags):
        return real["recv"](self, max(1, size // 4096) if fails(SHORT) else size, *flags)

    def send(self, data, *flags):
        return real["send"](self, data[: max(1, len(data) // 3)] if fails(SHORT) else data, *flags)

    made = socket.socket.__init__

    def init(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and fails(SOCKET):
            raise OSError(chance.choice(SOCKET_ERRORS), "injected")
        made(self, family, type, proto, fileno)

    socket.socket.accept, socket.socket.connect_ex = accept, connect_ex
    socket.socket.recv, socket.socket.send, socket.socket.__init__ = recv, send, init


if os.environ.get("TEST_FAULTS"):
    install(os.environ["TEST_FAULTS"])
