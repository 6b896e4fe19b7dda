"""gRPC over HTTP/2: two sessions fed each other's bytes: whole, in pieces, malformed, flooded."""

from __future__ import annotations

import gzip

import pytest
from hyperframe.frame import HeadersFrame, PingFrame, RstStreamFrame, SettingsFrame

from vanerelay.grpc_wire import frames, status
from vanerelay.grpc_wire.call import Call
from vanerelay.grpc_wire.client_session import ClientSession
from vanerelay.grpc_wire.frames import PREFACE, Malformed, MessageDecoder
from vanerelay.grpc_wire.limits import Limits
from vanerelay.grpc_wire.server_session import ServerSession
from vanerelay.grpc_wire.status import Code, Status
from vanerelay.interface import SECOND


class RecordingListener:
    """A listener that records what happens to its call; a server's replies come from `respond`."""

    def __init__(self, call=None, respond=None):
        self.call, self.respond = call, respond
        self.messages, self.statuses, self.half_closes, self.emptied = [], [], 0, 0

    def message_received(self, data):
        self.messages.append(data)
        if self.respond:
            self.respond(self.call, data)

    def half_closed(self):
        self.half_closes += 1
        if self.respond:
            self.call.finish()

    def ended(self, status):
        self.statuses.append(status)

    def send_queue_emptied(self):
        self.emptied += 1


class ConnectedSessions:
    def __init__(self, respond=None, server=None, client=None, handler=None):
        self.now, self.server_listeners = 1000 * SECOND, []

        def call_opened(call):
            self.server_listeners.append(RecordingListener(call, respond))
            return self.server_listeners[-1]

        self.server = ServerSession(self.now, server or Limits(), lambda: None, handler or call_opened)
        self.client = ClientSession(self.now, client or Limits(), lambda: None, "x")
        self.exchange()

    def exchange(self, size=0, max_rounds=10**6):
        """Carries all bytes across, in pieces of a size, until both are quiet."""
        for _ in range(max_rounds):
            moved = False
            for one, other in ((self.client, self.server), (self.server, self.client)):
                data = one.data_to_send()
                moved = moved or bool(data)
                for at in range(0, len(data), size or max(1, len(data))):
                    other.feed(self.now, data[at : at + (size or len(data))])
            if not moved:
                return

    def call(self, path="/s/m", **options):
        listener = RecordingListener()
        listener.call = self.client.call(path, listener, **options)
        return listener


def echo(call, data):
    call.send(data + b"!")


@pytest.mark.parametrize("size", [0, 1, 7, 1000])
def test_calls_of_every_kind_in_pieces_of_every_size(size):
    pair = ConnectedSessions(echo)
    one, two = pair.call(), pair.call()
    for n in range(3):
        one.call.send(b"%d" % n)
    two.call.send(b"x" * 40_000 if size != 1 else b"xx")
    one.call.half_close()
    pair.exchange(size)
    assert one.messages == [b"0!", b"1!", b"2!"] and one.statuses == [status.OK]
    assert two.messages[0].endswith(b"x!") and not two.statuses and len(pair.server.calls) == 1
    two.call.send(b"")
    two.call.half_close()
    pair.exchange(size)
    assert two.messages[1] == b"!" and two.statuses == [status.OK] and not pair.client.calls


@pytest.mark.parametrize(
    ("handler", "options", "code", "may_have_run"),
    [
        (lambda call: Status(Code.UNIMPLEMENTED, "no \u00fc % method\n"), {}, Code.UNIMPLEMENTED, True),
        (None, {"metadata": {"grpc-encoding": "snappy"}}, Code.UNIMPLEMENTED, True),
        (None, {"metadata": {"grpc-timeout": "soon"}}, Code.INTERNAL, True),
    ],
)
def test_calls_that_end_at_once(handler, options, code, may_have_run):
    pair = ConnectedSessions(handler=handler)
    listener = pair.call(**options)
    pair.exchange()
    assert [(e.code, e.may_have_run) for e in listener.statuses] == [
        (code, may_have_run)
    ] and not pair.server.calls
    assert handler is None or listener.statuses[0].message == "no \u00fc % method\n"


def test_a_deadline_ends_a_call_at_both_sides():
    pair = ConnectedSessions()
    listener = pair.call(deadline=pair.now + 5 * SECOND)
    pair.exchange()
    assert pair.server_listeners[0].call.deadline == pair.now + 5 * SECOND == pair.server.next_tick_at()
    pair.now += 5 * SECOND
    pair.server.tick(pair.now)
    assert [e.code for e in pair.server_listeners[0].statuses] == [Code.DEADLINE_EXCEEDED]
    pair.exchange()
    assert [e.code for e in listener.statuses] == [Code.DEADLINE_EXCEEDED] and not pair.server.calls
    late = pair.call(deadline=pair.now + SECOND)
    pair.client.tick(pair.now + SECOND)
    assert [e.code for e in late.statuses] == [Code.DEADLINE_EXCEEDED]
    pair.exchange()
    assert not pair.server.calls


def test_a_cancelled_call_is_reported_once():
    pair = ConnectedSessions(echo)
    listener = pair.call()
    listener.call.send(b"a")
    pair.exchange()
    listener.call.cancel()
    pair.exchange()
    assert [e.code for e in pair.server_listeners[0].statuses] == [Code.CANCELLED] and not listener.statuses
    assert not pair.server_listeners[0].call.send(b"late") and pair.server.data_to_send() == b""


def test_a_closed_window_holds_up_its_own_call_alone_and_what_waits_is_bounded():
    pair = ConnectedSessions(server=Limits(max_queued_bytes=300_000))
    slow, quick = pair.call(), pair.call()
    pair.exchange()
    sends, other = (listener.call for listener in pair.server_listeners)
    assert sends.send(b"a" * 250_000) and not sends.send(b"b" * 100_000)  # too much waits
    sent = pair.server.data_to_send()
    while more := pair.server.data_to_send():
        sent += more
    assert 60_000 < len(sent) < 70_000 and sends.queued_bytes > 150_000  # HTTP/2's first window
    other.send(b"through")
    small = pair.server.data_to_send()
    pair.client.feed(pair.now, sent)
    pair.client.feed(pair.now, small)
    assert quick.messages == [b"through"] and not slow.messages
    pair.exchange()
    assert slow.messages == [b"a" * 250_000] and sends.queued_bytes == 0 and pair.server_listeners[0].emptied


def test_a_compressed_message_goes_only_to_a_peer_that_decompresses():
    pair = ConnectedSessions()
    listener = pair.call()
    pair.exchange()
    body = b"engine " * 1000
    pair.server_listeners[0].call.send(body, frames.gzip_compress(body))
    assert pair.server_listeners[0].call.queued_bytes < 200
    pair.exchange()
    assert listener.messages == [body]
    plain = Call(pair.server, 9, "", {}, None, False)
    assert plain.send(body, frames.gzip_compress(body)) and plain.queued_bytes == len(body) + 5


def test_goaway_lets_open_calls_end_and_marks_what_never_ran():
    pair = ConnectedSessions(echo)
    (open_,) = [pair.call()]
    pair.exchange()
    pair.server.drain()
    late = pair.call()  # crosses the GOAWAY
    pair.exchange()
    assert [(e.code, e.may_have_run) for e in late.statuses] == [(Code.UNAVAILABLE, False)]
    assert isinstance(pair.client.call("/s/m", RecordingListener()), Status)
    open_.call.send(b"on")
    open_.call.half_close()
    pair.exchange()
    assert open_.messages == [b"on!"] and open_.statuses == [status.OK] and len(pair.server_listeners) == 1


def test_a_lost_connection_ends_all_calls_once():
    pair = ConnectedSessions()
    listeners = [pair.call() for _ in range(3)]
    pair.exchange()
    for side, own_listeners in ((pair.client, listeners), (pair.server, pair.server_listeners)):
        side.connection_lost("gone")
        side.connection_lost("again")
        assert [[e.code for e in one.statuses] for one in own_listeners] == [[Code.UNAVAILABLE]] * 3
    assert all(one.statuses[0].may_have_run for one in listeners) and pair.server.data_to_send() == b""


def test_a_quiet_peer_is_pinged_and_a_silent_one_given_up():
    pair = ConnectedSessions()
    listener = pair.call()
    pair.exchange()
    assert pair.server.next_tick_at() == pair.now + 30 * SECOND
    pair.now += 30 * SECOND
    pair.server.tick(pair.now)
    pair.exchange()  # the ping and its answer
    assert pair.server.next_tick_at() == pair.now + 30 * SECOND and not pair.server.end_reason
    pair.now += 30 * SECOND
    pair.server.tick(pair.now)
    pair.server.data_to_send()
    pair.server.tick(pair.now + 10 * SECOND)
    assert (
        pair.server.end_reason == "silent"
        and [e.code for e in pair.server_listeners[0].statuses] == [Code.UNAVAILABLE]
        and not listener.statuses
    )


def test_our_limits_are_sent_with_the_first_bytes():
    pair = ConnectedSessions(server=Limits(max_calls=3, max_header_bytes=5000))
    settings = pair.client._h2.remote_settings
    assert (settings.max_concurrent_streams, settings.max_header_list_size) == (3, 5000)
    calls = [pair.client.call("/s/m", RecordingListener()) for _ in range(4)]
    assert [isinstance(one, Status) and one.may_have_run is False for one in calls] == [
        False,
        False,
        False,
        True,
    ]


def test_nothing_within_the_handshake_timeout_ends_a_connection():
    server = ServerSession(0, Limits(), lambda: None, lambda call: Status(Code.OK))
    server.feed(0, PREFACE[:5])
    server.tick(5 * SECOND)
    assert "in time" in server.end_reason


def headers(stream, **other):
    from hpack import Encoder

    values = {
        ":method": "POST",
        ":scheme": "http",
        ":path": "/s/m",
        ":authority": "x",
        "content-type": "application/grpc",
        **other,
    }
    return HeadersFrame(stream, Encoder().encode(list(values.items())), flags=["END_HEADERS"]).serialize()


HANDSHAKE = PREFACE + SettingsFrame(0).serialize()


@pytest.mark.parametrize(
    ("data", "says"),
    [
        (b"GET / HTTP/1.1\r\n", "no HTTP/2"),
        (b"\x16\x03\x01", "no HTTP/2"),
        (HANDSHAKE + b"\xff\xff\xff\x00\x00\x00\x00\x00\x01", "a frame of 16777215 bytes"),
        (HANDSHAKE + b"\x00\x00\x01\x00\x00\x00\x00\x00\x05x", "Error"),  # data on no stream
        (
            HANDSHAKE + b"".join(PingFrame(0, b"12345678").serialize() for _ in range(101)),
            "101 frames of type 6",
        ),
        (HANDSHAKE + b"".join(SettingsFrame(0).serialize() for _ in range(60)), "frames of type 4"),
        (
            HANDSHAKE
            + b"".join(headers(2 * n + 1) + RstStreamFrame(2 * n + 1, 8).serialize() for n in range(301)),
            "301 frames of type 3",
        ),
        (HANDSHAKE + b"".join(headers(2 * n + 1) for n in range(201)), "101 frames of type 256"),
        (HANDSHAKE + headers(1) + b"\0\0\0\0\0\0\0\0\x01" * 201, "201 frames of type 0"),
        (HANDSHAKE + b"\0\0\0\x77\0\0\0\0\0" * 101, "type 119"),
    ],
)
def test_what_is_no_http_2_and_floods_end_the_connection_and_nothing_else(data, says):
    for size in (len(data), 3 if len(data) < 3000 else 500):
        server = ServerSession(0, Limits(), lambda: None, lambda call: RecordingListener(call))
        for at in range(0, len(data), size):
            server.feed(0, data[at : at + size])
        assert says in server.end_reason and not server.calls and len(server.data_to_send()) < 20_000
        server.feed(0, HANDSHAKE)
        server.tick(10 * SECOND)


def test_headers_and_calls_past_the_limits_are_refused_though_the_peer_acknowledged_none():
    server = ServerSession(0, Limits(max_calls=2), lambda: None, lambda call: RecordingListener(call))
    server.feed(0, HANDSHAKE + headers(1, big="x" * 16_000) + headers(3, big="x" * 17_000))
    assert not server.end_reason and list(server.calls) == [1]
    server.feed(0, headers(5) + headers(7))
    assert not server.end_reason and list(server.calls) == [1, 5]


def test_a_request_that_is_not_grpc_s_gets_415_and_an_unknown_one_no_call():
    opened = []
    server = ServerSession(0, Limits(), lambda: None, opened.append)
    server.feed(0, HANDSHAKE + headers(1, **{"content-type": "text/html"}) + headers(3, **{":method": "GET"}))
    assert not opened and not server.end_reason and not server.calls


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
        decoder, found = MessageDecoder(256, True), []
        for at in range(0, len(data), size):
            found += decoder.feed(data[at : at + size])
        assert isinstance(found[0], Malformed) and says in found[0].reason, found


def test_a_bad_message_ends_its_call_alone():
    pair = ConnectedSessions(echo, server=Limits(max_message_bytes=100))
    bad, good = pair.call(), pair.call()
    bad.call.send(b"x" * 101)
    good.call.send(b"fine")
    pair.exchange()
    assert [e.code for e in bad.statuses] == [Code.RESOURCE_EXHAUSTED] and good.messages == [b"fine!"]
    assert [e.code for e in pair.server_listeners[0].statuses] == [Code.RESOURCE_EXHAUSTED]


@pytest.mark.parametrize(
    ("text", "ticks"),
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
def test_timeouts_on_the_wire(text, ticks):
    assert status.parse_timeout(text) == ticks


def test_statuses_on_the_wire():
    for code in Code:
        ended = Status(code, "a % \u00e9\nb")
        assert status.decode_trailers(dict(status.encode_trailers(ended))) == ended
    assert (
        status.decode_trailers({}).code is status.decode_trailers({"grpc-status": "99"}).code is Code.UNKNOWN
    )
