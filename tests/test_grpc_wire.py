"""gRPC over HTTP/2: two machines fed each other's bytes, whole, in pieces, broken, flooded."""

from __future__ import annotations

import gzip

import pytest
from hyperframe.frame import HeadersFrame, PingFrame, RstStreamFrame, SettingsFrame

from vanerelay.grpc_wire import frames, status
from vanerelay.grpc_wire.frames import PREFACE, Broken, Messages
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.session import Call, ClientSession, ServerSession
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.interface import SECOND


class Ear:
    """A listener that keeps what it hears; a server's answers by `does`."""

    def __init__(self, call=None, does=None):
        self.call, self.does, self.heard, self.ends, self.half, self.left = call, does, [], [], 0, 0

    def message(self, data):
        self.heard.append(data)
        if self.does:
            self.does(self.call, data)

    def half_closed(self):
        self.half += 1
        if self.does:
            self.call.finish()

    def gone(self, ended):
        self.ends.append(ended)

    def drained(self):
        self.left += 1


class Pair:
    def __init__(self, does=None, server=None, client=None, opener=None):
        self.now, self.ears = 1000 * SECOND, []

        def opened(call):
            self.ears.append(Ear(call, does))
            return self.ears[-1]

        self.server = ServerSession(self.now, server or Limits(), lambda: None, opener or opened)
        self.client = ClientSession(self.now, client or Limits(), lambda: None, "x")
        self.carry()

    def carry(self, size=0, most=10**6):
        """Brings all bytes across, in pieces of a size, until both are quiet."""
        for _ in range(most):
            moved = False
            for one, other in ((self.client, self.server), (self.server, self.client)):
                data = one.outgoing()
                moved = moved or bool(data)
                for at in range(0, len(data), size or max(1, len(data))):
                    other.feed(self.now, data[at : at + (size or len(data))])
            if not moved:
                return

    def call(self, path="/s/m", **told):
        ear = Ear()
        ear.call = self.client.call(path, ear, **told)
        return ear


def echo(call, data):
    call.send(data + b"!")


@pytest.mark.parametrize("size", [0, 1, 7, 1000])
def test_calls_of_every_kind_in_pieces_of_every_size(size):
    pair = Pair(echo)
    one, two = pair.call(), pair.call()
    for n in range(3):
        one.call.send(b"%d" % n)
    two.call.send(b"x" * 40_000 if size != 1 else b"xx")
    one.call.half_close()
    pair.carry(size)
    assert one.heard == [b"0!", b"1!", b"2!"] and one.ends == [status.OK]
    assert two.heard[0].endswith(b"x!") and not two.ends and len(pair.server.calls) == 1
    two.call.send(b"")
    two.call.half_close()
    pair.carry(size)
    assert two.heard[1] == b"!" and two.ends == [status.OK] and not pair.client.calls


@pytest.mark.parametrize(
    ("opener", "told", "code", "ran"),
    [
        (lambda call: Status(Code.UNIMPLEMENTED, "no \u00fc % method\n"), {}, Code.UNIMPLEMENTED, True),
        (None, {"metadata": {"grpc-encoding": "snappy"}}, Code.UNIMPLEMENTED, True),
        (None, {"metadata": {"grpc-timeout": "soon"}}, Code.INTERNAL, True),
    ],
)
def test_calls_that_end_at_once(opener, told, code, ran):
    pair = Pair(opener=opener)
    ear = pair.call(**told)
    pair.carry()
    assert [(e.code, e.ran) for e in ear.ends] == [(code, ran)] and not pair.server.calls
    assert opener is None or ear.ends[0].message == "no \u00fc % method\n"


def test_a_time_limit_ends_a_call_at_both_sides():
    pair = Pair()
    ear = pair.call(until=pair.now + 5 * SECOND)
    pair.carry()
    assert pair.ears[0].call.until == pair.now + 5 * SECOND == pair.server.due()
    pair.now += 5 * SECOND
    pair.server.tick(pair.now)
    assert [e.code for e in pair.ears[0].ends] == [Code.DEADLINE_EXCEEDED]
    pair.carry()
    assert [e.code for e in ear.ends] == [Code.DEADLINE_EXCEEDED] and not pair.server.calls
    late = pair.call(until=pair.now + SECOND)
    pair.client.tick(pair.now + SECOND)
    assert [e.code for e in late.ends] == [Code.DEADLINE_EXCEEDED]
    pair.carry()
    assert not pair.server.calls


def test_a_cancelled_call_is_heard_of_once():
    pair = Pair(echo)
    ear = pair.call()
    ear.call.send(b"a")
    pair.carry()
    ear.call.cancel()
    pair.carry()
    assert [e.code for e in pair.ears[0].ends] == [Code.CANCELLED] and not ear.ends
    assert not pair.ears[0].call.send(b"late") and pair.server.outgoing() == b""


def test_a_closed_window_holds_up_its_own_call_alone_and_what_waits_is_bounded():
    pair = Pair(server=Limits(waiting=300_000))
    slow, quick = pair.call(), pair.call()
    pair.carry()
    sends, other = (ear.call for ear in pair.ears)
    assert sends.send(b"a" * 250_000) and not sends.send(b"b" * 100_000)  # too much waits
    sent = pair.server.outgoing()
    while more := pair.server.outgoing():
        sent += more
    assert 60_000 < len(sent) < 70_000 and sends.waiting > 150_000  # HTTP/2's first window
    other.send(b"through")
    small = pair.server.outgoing()
    pair.client.feed(pair.now, sent)
    pair.client.feed(pair.now, small)
    assert quick.heard == [b"through"] and not slow.heard
    pair.carry()
    assert slow.heard == [b"a" * 250_000] and sends.waiting == 0 and pair.ears[0].left


def test_a_packed_message_goes_only_to_a_peer_that_unpacks():
    pair = Pair()
    ear = pair.call()
    pair.carry()
    body = b"engine " * 1000
    pair.ears[0].call.send(body, frames.pack(body))
    assert pair.ears[0].call.waiting < 200
    pair.carry()
    assert ear.heard == [body]
    plain = Call(pair.server, 9, "", {}, None, False)
    assert plain.send(body, frames.pack(body)) and plain.waiting == len(body) + 5


def test_going_away_lets_open_calls_end_and_tells_what_never_ran():
    pair = Pair(echo)
    (open_,) = [pair.call()]
    pair.carry()
    pair.server.drain()
    late = pair.call()  # crosses the word of going away
    pair.carry()
    assert [(e.code, e.ran) for e in late.ends] == [(Code.UNAVAILABLE, False)]
    assert isinstance(pair.client.call("/s/m", Ear()), Status)
    open_.call.send(b"on")
    open_.call.half_close()
    pair.carry()
    assert open_.heard == [b"on!"] and open_.ends == [status.OK] and len(pair.ears) == 1


def test_a_lost_connection_ends_all_calls_once():
    pair = Pair()
    ears = [pair.call() for _ in range(3)]
    pair.carry()
    for side, listeners in ((pair.client, ears), (pair.server, pair.ears)):
        side.lost("gone")
        side.lost("again")
        assert [[e.code for e in one.ends] for one in listeners] == [[Code.UNAVAILABLE]] * 3
    assert all(one.ends[0].ran for one in ears) and pair.server.outgoing() == b""


def test_a_quiet_peer_is_asked_and_a_silent_one_given_up():
    pair = Pair()
    ear = pair.call()
    pair.carry()
    assert pair.server.due() == pair.now + 30 * SECOND
    pair.now += 30 * SECOND
    pair.server.tick(pair.now)
    pair.carry()  # the ping and its answer
    assert pair.server.due() == pair.now + 30 * SECOND and not pair.server.ended
    pair.now += 30 * SECOND
    pair.server.tick(pair.now)
    pair.server.outgoing()
    pair.server.tick(pair.now + 10 * SECOND)
    assert (
        pair.server.ended == "silent"
        and [e.code for e in pair.ears[0].ends] == [Code.UNAVAILABLE]
        and not ear.ends
    )


def test_our_limits_are_told_with_the_first_bytes():
    pair = Pair(server=Limits(streams=3, headers=5000))
    told = pair.client._h2.remote_settings
    assert (told.max_concurrent_streams, told.max_header_list_size) == (3, 5000)
    calls = [pair.client.call("/s/m", Ear()) for _ in range(4)]
    assert [isinstance(one, Status) and one.ran is False for one in calls] == [False, False, False, True]


def test_nothing_within_the_greeting_ends_a_connection():
    server = ServerSession(0, Limits(), lambda: None, lambda call: Status(Code.OK))
    server.feed(0, PREFACE[:5])
    server.tick(5 * SECOND)
    assert "in time" in server.ended


def headers(stream, **other):
    from hpack import Encoder

    told = {
        ":method": "POST",
        ":scheme": "http",
        ":path": "/s/m",
        ":authority": "x",
        "content-type": "application/grpc",
        **other,
    }
    return HeadersFrame(stream, Encoder().encode(list(told.items())), flags=["END_HEADERS"]).serialize()


GREETING = PREFACE + SettingsFrame(0).serialize()


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"GET / HTTP/1.1\r\n", "no HTTP/2"),
        (b"\x16\x03\x01", "no HTTP/2"),
        (GREETING + b"\xff\xff\xff\x00\x00\x00\x00\x00\x01", "a frame of 16777215 bytes"),
        (GREETING + b"\x00\x00\x01\x00\x00\x00\x00\x00\x05x", "Error"),  # data on no stream
        (
            GREETING + b"".join(PingFrame(0, b"12345678").serialize() for _ in range(101)),
            "101 frames of type 6",
        ),
        (GREETING + b"".join(SettingsFrame(0).serialize() for _ in range(60)), "frames of type 4"),
        (
            GREETING
            + b"".join(headers(2 * n + 1) + RstStreamFrame(2 * n + 1, 8).serialize() for n in range(301)),
            "301 frames of type 3",
        ),
        (GREETING + b"".join(headers(2 * n + 1) for n in range(201)), "101 frames of type 256"),
        (GREETING + headers(1) + b"\0\0\0\0\0\0\0\0\x01" * 201, "201 frames of type 0"),
        (GREETING + b"\0\0\0\x77\0\0\0\0\0" * 101, "type 119"),
    ],
)
def test_what_is_no_http_2_and_floods_end_the_connection_and_nothing_else(data, says):
    for size in (len(data), 3 if len(data) < 3000 else 500):
        server = ServerSession(0, Limits(), lambda: None, lambda call: Ear(call))
        for at in range(0, len(data), size):
            server.feed(0, data[at : at + size])
        assert says in server.ended and not server.calls and len(server.outgoing()) < 20_000
        server.feed(0, GREETING)
        server.tick(10 * SECOND)


def test_headers_and_calls_past_the_limits_are_refused_though_the_peer_acknowledged_none():
    server = ServerSession(0, Limits(streams=2), lambda: None, lambda call: Ear(call))
    server.feed(0, GREETING + headers(1, big="x" * 16_000) + headers(3, big="x" * 17_000))
    assert not server.ended and list(server.calls) == [1]
    server.feed(0, headers(5) + headers(7))
    assert not server.ended and list(server.calls) == [1, 5]


def test_a_request_that_is_not_grpc_s_gets_415_and_an_unknown_one_no_call():
    opened = []
    server = ServerSession(0, Limits(), lambda: None, opened.append)
    server.feed(0, GREETING + headers(1, **{"content-type": "text/html"}) + headers(3, **{":method": "GET"}))
    assert not opened and not server.ended and not server.calls


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"\2\0\0\0\0", "packed"),
        (b"\0\0\0\1\1", "257 bytes"),
        (b"\1\0\0\0\3abc", "cannot be unpacked"),
        (
            b"\1"
            + len(gzip.compress(b"x" * 9999, mtime=0)).to_bytes(4, "big")
            + gzip.compress(b"x" * 9999, mtime=0),
            "over 256",
        ),
        (b"\1\0\0\0\x0c" + gzip.compress(b"abc", mtime=0)[:12], "in part"),
    ],
)
def test_messages_that_cannot_be_read(data, says):
    for size in (len(data), 1):
        messages, found = Messages(256, True), []
        for at in range(0, len(data), size):
            found += messages.feed(data[at : at + size])
        assert isinstance(found[0], Broken) and says in found[0].why, found


def test_a_bad_message_ends_its_call_alone():
    pair = Pair(echo, server=Limits(message=100))
    bad, good = pair.call(), pair.call()
    bad.call.send(b"x" * 101)
    good.call.send(b"fine")
    pair.carry()
    assert [e.code for e in bad.ends] == [Code.RESOURCE_EXHAUSTED] and good.heard == [b"fine!"]
    assert [e.code for e in pair.ears[0].ends] == [Code.RESOURCE_EXHAUSTED]


@pytest.mark.parametrize(
    ("text", "units"),
    [
        ("5S", 50_000),
        ("1H", 36_000_000),
        ("100m", 1000),
        ("250u", 2),
        ("1n", 0),
        ("", None),
        ("5", None),
        ("123456789S", None),
        ("-5S", None),
        ("5s", None),
    ],
)
def test_time_limits_on_the_wire(text, units):
    assert status.timeout(text) == units


def test_statuses_on_the_wire():
    for code in Code:
        ended = Status(code, "a % \u00e9\nb")
        assert status.heard(dict(status.told(ended))) == ended
    assert status.heard({}).code is status.heard({"grpc-status": "99"}).code is Code.UNKNOWN
