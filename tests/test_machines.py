"""Tests of parsers and state machines of the network code, with complete, split and malformed input."""

from __future__ import annotations

import itertools
import random
import re

import pytest

from tests.regex_work import WorkCounter
from vanerelay import attempt_outcome
from vanerelay.attempt_outcome import AttemptStage, EndCause
from vanerelay.clock import Clock
from vanerelay.engine_list import EngineListChange
from vanerelay.freshness import hints
from vanerelay.interface import NEVER_RAN, EngineState, Outcome, ProgressKind
from vanerelay.net import discovery_codec, frames, request_codec, resp_codec, statements
from vanerelay.net.buffers import BLOCK_BYTES, BufferPool, ReceiveBuffer
from vanerelay.net.frames import FrameKind
from vanerelay.net.incomplete_frames import IncompleteFrames
from vanerelay.net.memory_budget import MemoryBudget, MemoryUse
from vanerelay.net.recent_references import MAX_AGE, MAX_COUNT, RecentReferences
from vanerelay.net.statements import MAX_SCANNED_CHARACTERS, MAX_TOKENS, table_group, table_groups


def pieces(data, size):
    return [data[at : at + size] for at in range(0, len(data), size)] if size else [data]


SIZES = pytest.mark.parametrize("size", [0, 1, 2, 7])


# Buffers.


@pytest.mark.parametrize("size", [1, 5, 1000, BLOCK_BYTES - 1, BLOCK_BYTES, BLOCK_BYTES + 1, 3 * BLOCK_BYTES])
def test_gather_returns_the_bytes_as_fed_and_releases_its_blocks(size):
    pool, data = BufferPool(), bytes(range(256)) * (4 * BLOCK_BYTES // 256) + b"end"
    gather, out = ReceiveBuffer(pool), b""
    for piece in pieces(data, size):
        gather.feed(piece)
        while len(gather) >= 700:
            out += gather.read(700)
        gather.store_unread()
    assert out + gather.read(len(gather)) == data
    gather.clear()
    assert pool.in_use == 0


def test_dropped_gather_returns_its_blocks_to_the_pool():
    pool = BufferPool(max_idle=1)
    gather = ReceiveBuffer(pool)
    gather.feed(bytes(3 * BLOCK_BYTES))
    gather.store_unread()
    assert pool.in_use == 3 and gather.peek(3 * BLOCK_BYTES + 1) is None
    gather.clear()
    assert (pool.in_use, len(gather)) == (0, 0)


# Clients.


def request_payload(stream, body=b"SELECT 1", **fields):
    return bytes((len(fields),)) + b"".join(
        bytes((len(n),)) + n.encode() + len(v).to_bytes(2, "big") + v.encode() for n, v in fields.items()
    ) + body, stream


def request(stream, body=b"SELECT 1", **fields):
    return frames.encode_frame(FrameKind.REQUEST, stream, request_payload(stream, body, **fields)[0])


@SIZES
def test_frames_are_parsed_alike_for_any_size_of_input_pieces(size):
    reader, long_body = frames.FrameReader(BufferPool()), b"x" * (3 * BLOCK_BYTES)
    data = (
        request(1, ref="a1", allow="1500")
        + frames.encode_frame(FrameKind.CANCEL, 1)
        + frames.encode_frame(FrameKind.READINESS_CHECK, 0, b"\0")
        + request(9, long_body)
    )
    if size:  # small pieces, except for the long body
        data, tail = data[: -len(long_body)], [long_body]
    else:
        tail = []
    got = [f for piece in pieces(data, size) + tail for f in reader.feed(piece)]
    assert got == [
        frames.Frame(FrameKind.REQUEST, 1, {"ref": "a1", "allow": "1500"}, b"SELECT 1"),
        frames.Frame(FrameKind.CANCEL, 1, {}, b""),
        frames.Frame(FrameKind.READINESS_CHECK, 0, {}, b""),
        frames.Frame(FrameKind.REQUEST, 9, {}, long_body),
    ]


INVALID_FRAMES = [
    (b"\0\0\0\4\2\0\0\0\1", "length"),
    (b"\0\4\0\1\2\0\0\0\1", "length"),
    (b"\xff" * 9, "length"),
    (frames.encode_frame(4, 1, b"\0\0"), "type"),
    (frames.encode_frame(0, 1), "type"),
    (frames.encode_frame(2, 0, b"\0"), "stream 0"),
    (request(5) + request(5), "stream 5"),
    (request(5) + request(4), "stream 4"),
    (frames.encode_frame(2, 1), "fields"),
    (frames.encode_frame(2, 1, b"\1"), "fields"),
    (frames.encode_frame(2, 1, b"\1\3ab"), "field"),
    (frames.encode_frame(2, 1, b"\1\1a\0\5xy"), "past"),
    (frames.encode_frame(2, 1, b"\2\1a\0\1x"), "fields"),
    (frames.encode_frame(2, 1, b"\1\1\xff\0\1x"), "text"),
]


@SIZES
@pytest.mark.parametrize(("data", "why"), INVALID_FRAMES)
def test_malformed_frame_ends_the_parsing(data, why, size):
    pool = BufferPool()
    reader = frames.FrameReader(pool)
    got = [f for piece in pieces(data + request(50), size) for f in reader.feed(piece)]
    assert isinstance(got[-1], frames.Malformed) and why in got[-1].why
    assert all(isinstance(frame, frames.Frame) for frame in got[:-1]) and pool.in_use == 0


def test_incomplete_frame_is_not_returned():
    reader = frames.FrameReader(BufferPool())
    assert list(reader.feed(request(1)[:-1])) == [] and len(list(reader.feed(b"1"))) == 1


class FakeFrameMemory:
    """Memory for frames that a test grants or refuses."""

    def __init__(self, granted):
        self.granted, self.kept, self.released = granted, [], 0

    def keep(self, reader, size):
        self.kept.append(size)
        return self.granted

    def release(self, reader):
        self.released += 1


@pytest.mark.parametrize("size", [100, 1000, BLOCK_BYTES, 5000])
def test_request_without_memory_is_discarded_and_those_around_it_are_read(size):
    """Guards against buffering requests of many clients that are never completed."""
    pool, memory = BufferPool(), FakeFrameMemory(False)
    reader, body = frames.FrameReader(pool, memory), b"x" * (5 * BLOCK_BYTES)
    data = request(1) + request(2, body) + request(3)
    got = []
    for piece in pieces(data, size):
        got += reader.feed(piece)
        assert pool.in_use <= 1
    assert [type(frame).__name__ for frame in got] == ["Frame", "DiscardedRequest", "Frame"]
    assert [frame.stream for frame in got] == [1, 2, 3] and not reader.partial and reader.missing == 0
    malformed = list(reader.feed(request(2)))
    assert isinstance(malformed[0], frames.Malformed)


def test_request_that_is_discarded_after_a_part_was_kept_is_told_as_discarded():
    pool, memory = BufferPool(), FakeFrameMemory(True)
    reader, data = frames.FrameReader(pool, memory), request(7, b"x" * (5 * BLOCK_BYTES), ref="a1", allow="9")
    assert list(reader.feed(data[:6000])) == [] and pool.in_use == 3 and memory.kept == [len(data)]
    reader.discard_partial()
    assert pool.in_use == 0 and memory.released == 1 and reader.partial
    assert reader.missing == len(data) - 6000
    assert isinstance(reader._discarded, bytes) and len(reader._discarded) <= BLOCK_BYTES
    discarded = frames.DiscardedRequest(7, {"ref": "a1", "allow": "9"})
    assert list(reader.feed(data[6000:-1])) == []
    assert list(reader.feed(data[-1:])) == [discarded] and not reader.partial


def test_cancel_without_memory_for_its_payload_is_still_read():
    reader = frames.FrameReader(BufferPool(), FakeFrameMemory(False))
    data = frames.encode_frame(FrameKind.CANCEL, 4, b"x" * (3 * BLOCK_BYTES))
    assert list(reader.feed(data[:100])) + list(reader.feed(data[100:])) == [
        frames.Frame(FrameKind.CANCEL, 4, {}, b"")
    ]


REF, ALL_FIELDS = {"ref": "a1"}, {"ref": "a1", "allow": "9"}


@pytest.mark.parametrize(
    ("arrived", "known"), [(9, {}), (10, {}), (17, {}), (18, REF), (26, REF), (27, ALL_FIELDS)]
)
def test_discarded_request_tells_the_fields_that_had_arrived(arrived, known):
    reader = frames.FrameReader(BufferPool(), FakeFrameMemory(False))
    data = request(7, b"x" * (3 * BLOCK_BYTES), ref="a1", allow="9")
    assert list(reader.feed(data[:arrived])) == []
    assert list(reader.feed(data[arrived:])) == [frames.DiscardedRequest(7, known)]


class FakeFrame:
    """A reader of which a part is held."""

    def __init__(self, frames_held):
        self.frames_held, self.discarded = frames_held, False

    def discard_partial(self):
        self.discarded = True
        self.frames_held.release(self)


def test_frame_without_progress_gives_its_memory_to_another_one():
    """Guards against clients that stop half way and keep all others from sending large requests."""
    now = [0.0]
    budget = MemoryBudget(1_000_000)
    held = IncompleteFrames(budget, lambda: now[0])
    first, second, third, fourth = (FakeFrame(held) for _ in range(4))
    assert held.keep(first, 200_000) and held.keep(second, 200_000)
    assert not held.keep(third, 200_000) and budget.in_use == 400_000
    now[0] = 0.2
    assert held.keep(first, 200_000)  # it goes on
    now[0] = 0.3
    assert held.keep(third, 200_000) and second.discarded and not first.discarded
    assert held.keep(fourth, 9_000)  # short ones may use what long ones leave
    for frame in (first, third, fourth, second):
        held.release(frame)
    assert budget.in_use == 0


def test_memory_is_granted_by_its_use_and_by_what_the_process_has_left():
    measured = [0]
    budget = MemoryBudget.of_process(64 * 2**20, lambda: measured[0])
    measured[0] = 30 * 2**20
    budget.calibrate(64 * 2**20)
    assert budget.capacity == 30 * 2**20  # the limit less what is used, less a headroom of a sixteenth
    assert not budget.reserve(MemoryUse.LARGE_FRAME, 16 * 2**20)
    assert budget.reserve(MemoryUse.QUERY, 16 * 2**20)
    measured[0] = 63 * 2**20
    assert not budget.reserve(MemoryUse.ANSWER, 2**20)
    budget.release(12 * 2**20)
    assert budget.reserve(MemoryUse.ANSWER, 2**20)  # a part is granted whatever the allocator has kept
    measured[0] = 40 * 2**20
    assert budget.reserve(MemoryUse.ANSWER, 20 * 2**20) and not budget.reserve(MemoryUse.ANSWER, 9 * 2**20)


def test_answer_frame_is_encoded_as_specified():
    assert frames.encode_answer(FrameKind.ANSWER, 7, 1, {"cooldown": "250"}, b"b") == (
        b"\0\0\0\x16\4\0\0\0\7\1\1\x08cooldown\0\x03250b"
    )


# Engines.


def reply(ident, answer_type, fields="-", body=b""):
    return resp_codec.command(ident, answer_type, fields.encode(), body)


def open_exchange(max_open=4, may_cancel=True):
    exchange = resp_codec.Exchange(BufferPool(), max_open, may_cancel)
    exchange.send_query(b"q", resp_codec.QueryCommand(b"report", 1500, b"SELECT 1", 96, 0))
    exchange.output.clear()
    return exchange


def test_query_command_is_encoded_as_specified():
    exchange = resp_codec.Exchange(BufferPool(), 4, True)
    exchange.send_query(b"q", resp_codec.QueryCommand(b"report", 1500, b"S", 0, 0))
    exchange.send_query(b"r", resp_codec.QueryCommand(b"report", 1500, b"S", 96, 0))
    assert (
        exchange.output[0]
        == b"*4\r\n$5\r\nserve\r\n$1\r\nq\r\n$25\r\nsort=report,patience=1500\r\n$1\r\nS\r\n"
    )
    exchange.send_query(b"s", resp_codec.QueryCommand(b"report", 1500, b"S", 96, 2))
    assert b"sort=report,patience=1500,pool=96\r\n" in exchange.output[1]
    assert b"sort=report,patience=1500,pool=96,band=2\r\n" in exchange.output[2]


RESULT_FIELDS = "total=3,elapsed=8.5,rss=40,l=queue:3;x0:0.4"


@SIZES
@pytest.mark.parametrize("order", list(itertools.permutations([1, 2])))
def test_result_pages_are_requested_and_joined_in_order(order, size):
    exchange = open_exchange()
    rows = [b"a\tb\tc\n", b"", b"d\te\tf\r\n$1\t\t\xc3\xb1\n"]
    data = reply(b"q", b"OK", RESULT_FIELDS, rows[0]) + b"".join(
        2 * reply(b"q", b"ROWS", f"index={n}", rows[n]) for n in order
    )
    # Extra answers change nothing: repeated ones, and one of an unknown identifier.
    data = reply(b"z", b"OK", RESULT_FIELDS, b"x") + reply(b"q", b"OK", RESULT_FIELDS, rows[0]) + data
    got = [end for piece in pieces(data, size) for end in exchange.feed(piece)]
    assert [(i, e.cause, e.stage, e.rows) for i, e in got] == [
        (b"q", EndCause.OK, AttemptStage.COMPLETE_ANSWER, b"".join(rows))
    ]
    assert got[0][1].fields["l"] == "queue:3;x0:0.4" and got[0][1].fields["rss"] == "40"
    assert exchange.output == [
        resp_codec.command(b"read", b"q", b"1"),
        resp_codec.command(b"read", b"q", b"2"),
        resp_codec.command(b"release", b"q"),
    ]


ROW = b"a\tb\tc\n"
PAGE = reply(b"q", b"OK", "total=3", ROW)


@pytest.mark.parametrize(
    ("data", "cause", "stage"),
    [
        (reply(b"q", b"BUSY"), EndCause.BUSY, AttemptStage.WRITTEN),
        (reply(b"q", b"ERR"), EndCause.ERROR, AttemptStage.WRITTEN),
        (reply(b"q", b"VOID"), EndCause.VOID, AttemptStage.WRITTEN),
        (reply(b"q", b"WHAT"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"OK"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"OK", "total=0"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"OK", "total=x"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"OK", "total=\u00b2"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"OK", "total=" + "9" * 5000), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (PAGE + reply(b"q", b"ROWS", "index=\u00b2", ROW), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (reply(b"q", b"OK", "total=1", b"\t\tx\n" * 1501), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (reply(b"q", b"OK", "total=1", b"a\tb\n"), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (reply(b"q", b"OK", "total=1", ROW + b"a\tb\tc"), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (
            reply(b"q", b"OK", "total=1", ROW + b"a\tb\tc\td\n"),
            EndCause.MALFORMED,
            AttemptStage.PARTIAL_ANSWER,
        ),
        (reply(b"q", b"OK", "total=1", b"a\tb\t\xff\n"), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (reply(b"q", b"OK", "total=1", b"a\tb\t\0\n"), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (reply(b"q", b"OK", "total", ROW), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"z", b"OK", "=", ROW), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*3\r\n$1\r\nq\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"x", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*x", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*4\r\n$1x", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (reply(b"q", b"ROWS", "index=1"), EndCause.MALFORMED, AttemptStage.WRITTEN),
        (PAGE + reply(b"q", b"ERR"), EndCause.ERROR, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"BUSY"), EndCause.BUSY, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"VOID"), EndCause.VOID, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"OK", "total=4", ROW), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"ROWS", "index=0", ROW + ROW), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"ROWS", "index=3", ROW), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (PAGE + reply(b"q", b"ROWS", "", ROW), EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (
            PAGE + reply(b"q", b"ROWS", "index=1", ROW) + reply(b"q", b"ROWS", "index=1", b"\t\t\n"),
            EndCause.MALFORMED,
            AttemptStage.PARTIAL_ANSWER,
        ),
        (b"nonsense\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (PAGE + b"*4\r\n$1\r\nqq", EndCause.MALFORMED, AttemptStage.PARTIAL_ANSWER),
        (b"*0\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*4\r\n$-1\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*4\r\n$99999999\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*99999999\r\n", EndCause.MALFORMED, AttemptStage.WRITTEN),
        (b"*" + b"1" * 40, EndCause.MALFORMED, AttemptStage.WRITTEN),
    ],
)
@SIZES
def test_answer_ends_its_attempt_once_with_the_expected_cause_and_stage(data, cause, stage, size):
    exchange = open_exchange()
    got = [end for piece in pieces(data + b" " * 3, size) for end in exchange.feed(piece)]
    assert [(i, e.cause, e.stage) for i, e in got] == [(b"q", cause, stage)] and not exchange.open


def test_result_above_the_maximum_size_is_malformed():
    exchange = open_exchange()
    data = reply(b"q", b"OK", "total=9", b"\t\tx\n" * 1500) + b"".join(
        reply(b"q", b"ROWS", f"index={n}", b"\t\tx\n" * 1500) for n in range(1, 9)
    )
    assert [e.cause for _, e in exchange.feed(data)] == [EndCause.MALFORMED]


@pytest.mark.parametrize("may_cancel", [True, False])
def test_late_answer_of_a_given_up_attempt_does_not_end_another_attempt(may_cancel):
    """Answers carry only the query's identifier.

    The answer of an attempt that was given up must not end a later attempt of the same query.
    """
    exchange = open_exchange(max_open=2, may_cancel=may_cancel)
    assert exchange.give_up(b"q") is AttemptStage.WRITTEN
    assert exchange.output == ([resp_codec.command(b"cancel", b"q")] if may_cancel else [])
    assert exchange.can_open(b"q") == may_cancel and exchange.can_open(b"r")
    exchange.send_query(b"r", resp_codec.QueryCommand(b"report", 1500, b"S", 0, 0))
    # An attempt that the engine may still run counts towards the limit.
    assert exchange.can_open(b"s") == may_cancel
    assert list(exchange.feed(reply(b"q", b"OK", "total=1", b"x"))) == [] and b"r" in exchange.open
    assert exchange.can_open(b"q") and exchange.can_open(b"s")


@SIZES
@pytest.mark.parametrize(
    ("fields", "note"),
    [
        ("n=frac,datum=0.5", resp_codec.ProgressNote(ProgressKind.PROGRESS, 0.5)),
        ("n=missing,datum=13", resp_codec.ProgressNote(ProgressKind.SPILL, 13.0)),
        ("n=parked,datum=2", resp_codec.ProgressNote(ProgressKind.WAITING, 2.0)),
        ("n=other,datum=2", None),
        ("n=frac,datum=x", None),
        ("n=frac", None),
        ("-", None),
    ],
)
def test_progress_note_does_not_end_its_attempt(fields, note, size):
    """Guards against a note counted as a malformed answer: the query was retried while its attempt ran on."""
    exchange, data = (
        open_exchange(),
        reply(b"q", b"NOTE", fields) + reply(b"z", b"NOTE", fields) + reply(b"q", b"ERR"),
    )
    got = [answer for piece in pieces(data, size) for _, answer in exchange.feed(piece)]
    assert got[:-1] == ([note] if note else []) and got[-1].cause is EndCause.ERROR


def test_malformed_answer_ends_all_open_attempts_and_no_new_one_can_be_opened():
    exchange = open_exchange()
    exchange.send_query(b"r", resp_codec.QueryCommand(b"report", 1500, b"S", 0, 0))
    got = list(exchange.feed(b"?"))
    assert [(i, e.cause) for i, e in got] == [(b"q", EndCause.MALFORMED), (b"r", EndCause.MALFORMED)]
    assert exchange.broken and not exchange.can_open(b"s") and list(exchange.feed(reply(b"q", b"ERR"))) == []


def test_read_progress_is_reported_until_the_result_is_complete():
    """A message that stops in the middle is detected by time only, so the read progress is needed."""
    exchange, data = open_exchange(), PAGE
    assert exchange.partial_read_progress is None
    progress_values = set()
    for piece in pieces(data, 1):
        assert list(exchange.feed(piece)) == [] and exchange.partial_read_progress is not None
        progress_values.add(exchange.partial_read_progress)
    assert len(progress_values) == 2  # after the first message the progress has another value
    assert [e.stage for _, e in exchange.fail_all("stopped")] == [
        AttemptStage.PARTIAL_ANSWER
    ] and exchange.partial_read_progress is None
    assert list(exchange.feed(PAGE)) == [] and not exchange.can_open(b"r")


def test_connection_loss_returns_the_stage_of_each_open_attempt():
    exchange = open_exchange()
    exchange.send_query(b"r", resp_codec.QueryCommand(b"report", 1500, b"S", 0, 0))
    assert list(exchange.feed(PAGE)) == []
    assert (
        exchange.connection_lost() == {b"q": AttemptStage.PARTIAL_ANSWER, b"r": AttemptStage.WRITTEN}
        and not exchange.open
    )


# Ends and outcomes.


@pytest.mark.parametrize(("cause", "stage"), list(attempt_outcome.OUTCOMES))
def test_outcome_is_never_ran_only_if_that_is_proven(cause, stage):
    outcome = attempt_outcome.OUTCOMES[cause, stage]
    proven = stage in (AttemptStage.NOT_CONNECTED, AttemptStage.PARTLY_WRITTEN) or (
        stage is AttemptStage.WRITTEN and cause in (EndCause.BUSY, EndCause.VOID)
    )
    assert (outcome in NEVER_RAN) == proven
    assert (outcome is Outcome.COMPLETED) == (stage is AttemptStage.COMPLETE_ANSWER)


def test_outcome_table_has_an_entry_for_every_possible_end():
    answered = (EndCause.BUSY, EndCause.ERROR, EndCause.VOID, EndCause.MALFORMED)
    given_up = (EndCause.TIMEOUT, EndCause.CANCELLED)
    expected_ends = {
        (EndCause.OK, AttemptStage.COMPLETE_ANSWER),
        (EndCause.CONNECTION_LOST, AttemptStage.PARTLY_WRITTEN),
    }
    expected_ends |= set(
        itertools.product(
            (*answered, *given_up, EndCause.CONNECTION_LOST),
            (AttemptStage.WRITTEN, AttemptStage.PARTIAL_ANSWER),
        )
    )
    expected_ends |= {
        (cause, AttemptStage.NOT_CONNECTED)
        for cause in (
            *given_up,
            EndCause.CONNECTION_LOST,
            EndCause.CONNECTION_REFUSED,
            EndCause.CONNECT_TIMEOUT,
            EndCause.NOT_SENT,
        )
    }
    assert set(attempt_outcome.OUTCOMES) == expected_ends


# The discovery service.

BODY = b'{"n":0,"events":[]}'
COMPLETE_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 19\r\n\r\n" + BODY


@SIZES
@pytest.mark.parametrize(
    ("data", "result"),
    [
        (COMPLETE_REPLY, discovery_codec.Reply(200, BODY, True)),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE_REPLY, discovery_codec.Reply(200, BODY, True)),
        (
            b"HTTP/1.1 200 OK\r\ncontent-length:19\r\nConnection: Close\r\n\r\n" + BODY,
            discovery_codec.Reply(200, BODY, False),
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n"
            + BODY[:5]
            + b"\r\ne;x=1\r\n"
            + BODY[5:]
            + b"\r\n0\r\nTrailer: x\r\n\r\n",
            discovery_codec.Reply(200, BODY, True),
        ),
        (b"HTTP/1.1 204 None\r\n\r\n", discovery_codec.Reply(204, b"", True)),
        (b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", discovery_codec.Reply(503, b"", True)),
        (b"HTTP/1.1 \xb2\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 5000 + b"\r\n\r\n", discovery_codec.Unreadable),
        (b"HELLO\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 abc\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nnonsense\r\n", discovery_codec.Unreadable),
        (b"x" * 9000, discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n", discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n", discovery_codec.Unreadable),
    ],
)
def test_discovery_answer_is_parsed_or_rejected(data, result, size):
    reader, got = discovery_codec.ReplyReader(BufferPool()), None
    for piece in pieces(data, size):
        got = got or reader.feed(piece)
    assert got == result if isinstance(result, discovery_codec.Reply) else isinstance(got, result)


@pytest.mark.parametrize(
    ("data", "result"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n" + BODY, discovery_codec.Reply(200, BODY, False)),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + BODY, discovery_codec.Unreadable),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab", discovery_codec.Unreadable),
        (b"HTTP/1.1 2", discovery_codec.Unreadable),
        (b"", discovery_codec.Unreadable),
    ],
)
def test_closed_connection_completes_or_invalidates_a_discovery_answer(data, result):
    reader = discovery_codec.ReplyReader(BufferPool())
    assert reader.feed(data) is None
    got = reader.connection_closed()
    assert got == result if isinstance(result, discovery_codec.Reply) else isinstance(got, result)


def row(name="e", phase="SERVING", **other):
    return {"id": name, "host_port": "127.0.0.1:9", "locality": "b", "flavor": "k", "phase": phase, **other}


def event(number, *rows, complete=False):
    return {"n": number, "members": {"revision": 1, "complete": complete, "members": list(rows)}}


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"events":5}',
        b'{"events":[5]}',
        {"events": [event(1, row(phase="WHAT"))]},
        {"events": [event(1, row(host_port="nowhere"))]},
        {"events": [event(1, row(host_port="127.0.0.1:0"))]},
        {"events": [event(1, row(host_port="a.name:9"))]},
        {"events": [event(1, row(host_port="127.0.0.1:x"))]},
        {"events": [event(1, {"id": "e"})]},
    ],
)
def test_invalid_discovery_body_is_unreadable(body):
    assert isinstance(discovery_codec.parse(body, {}, {}), discovery_codec.Unreadable)


def test_discovery_event_is_converted_to_engine_entries():
    answer = {"events": [event(1, row(phase="DRAINING", cell=2, size=1.5, up_since_ms=7)), {"n": 2, "x": 1}]}
    changes = discovery_codec.parse(answer, {"a": 0, "b": 1}, {"k": 0})
    entry = changes[0].engines[0].entry(5)
    assert (entry.index, entry.zone, entry.machine_kind, entry.cell, entry.weight, entry.started_at) == (
        5,
        1,
        0,
        2,
        1.0,
        70,
    )
    assert (changes[0].engines[0].size, changes[0].engines[0].weight) == (1.5, None)  # a size is not a weight
    assert entry.state is EngineState.DRAINING and changes[1] == EngineListChange(2, False, [])
    unknown = discovery_codec.parse({"events": [event(1, row(locality="z", flavor="z"))]}, {"a": 0}, {"k": 0})
    assert (unknown[0].engines[0].zone, unknown[0].engines[0].machine_kind) == (1, 1)


@pytest.mark.parametrize(
    ("last_applied", "numbers", "applied", "gap"),
    [
        (0, [1, 2, 3], [1, 2, 3], False),
        (2, [1, 2, 3], [3], False),
        (3, [1, 2, 3], [], False),
        (2, [4, 5], [], True),
        (2, [3, 5], [3], True),
        (2, [4, 3], [3, 4], False),
        (2, [-9], [9], False),
    ],
)
def test_events_are_applied_once_in_order_up_to_a_gap(last_applied, numbers, applied, gap):
    numbering = discovery_codec.EventNumbers()
    numbering.last_applied = last_applied
    # A negative number stands for a complete list.
    new, found_gap = numbering.take_new([EngineListChange(abs(n), n < 0, []) for n in numbers])
    assert ([change.number for change in new], found_gap) == (applied, gap)
    assert numbering.last_applied == (applied[-1] if applied else last_applied)


# Statements.


@pytest.mark.parametrize(
    ("statement", "groups"),
    [
        ("SELECT * FROM sales_17.orders", [17]),
        ("select o.a from SALES_17.Orders o where o.b = 'from other_9.x'", [17]),
        ('SELECT * FROM "sales_17"."orders"', [17]),
        ('SELECT * FROM "odd name_17".t', [17]),
        ("SELECT * FROM 'sales_17'.x", []),
        ("SELECT 'it''s from a_1.t', x -- from b_2.t\nFROM c_3.t /* , d_4.t */", [3]),
        ("SELECT x /* never closed FROM c_3.t", []),
        ("SELECT 'never closed FROM c_3.t", []),
        ("SELECT a_1.x, b_2.y FROM c_3.t a_1 JOIN d_4.t AS b_2 ON a_1.id = b_2.id", [3, 4]),
        ("SELECT * FROM a_1.t x, b_2.t AS y, c_3.t WHERE x.k_9 = y.k_9", [1, 2, 3]),
        ("SELECT * FROM (SELECT * FROM a_1.t, b_2.t) s, c_3.t", [1, 2, 3]),
        ("SELECT * FROM (a_1.t JOIN b_2.t USING (id))", [1, 2]),
        ("INSERT INTO sales_5.t (a, b) SELECT a, b FROM staging.load_7", [5]),
        ("INSERT INTO sales_5.t SELECT * FROM sales_6.t", [5, 6]),
        ("INSERT INTO sales_5.t VALUES (1, 'x_1.y'), (2, 'z')", [5]),
        ("WITH s AS (SELECT * FROM a_8.t) INSERT INTO b_9.t SELECT * FROM s", [9, 8]),
        ("UPDATE sales_5.t SET a_7.x = 1 WHERE EXISTS (SELECT 1 FROM b_6.t)", [5, 6]),
        ("DELETE FROM sales_5.t WHERE id IN (SELECT id FROM staging.t)", [5]),
        ("MERGE INTO a_1.t USING b_2.s ON t.id = s.id WHEN MATCHED THEN UPDATE SET x = s.x", [1, 2]),
        ("CREATE TABLE IF NOT EXISTS a_1.t AS SELECT * FROM b_2.t", [1, 2]),
        ("TRUNCATE TABLE a_1.t", [1]),
        ("INSERT OVERWRITE TABLE a_1.t SELECT 1", [1]),
        ("COPY INTO a_1.t FROM staging.files", [1]),
        ("SELECT EXTRACT(YEAR FROM a_1.day), TRIM(BOTH FROM a_1.n) FROM b_2.t a_1", [2]),
        ("SELECT * FROM db.sales_4.orders", [4]),
        ("SELECT * FROM sales_4_12.t", [12]),
        ("SELECT * FROM a_" + "9" * 5000 + ".t", []),
        ("SELECT * FROM a_\u00b2.t", []),
        ("SELECT * FROM staging.orders", []),
        ("SELECT * FROM STAGING.x_3", []),
        ("SELECT * FROM sales.t", []),
        ("SELECT * FROM orders_17", []),
        ("SELECT 1", []),
        ("", []),
        (")))(((,.,.;''\"", []),
        ("SELECT * FROM sales_x1.t", []),
        ("SELECT 1.5 FROM a_1.t WHERE x IN (1, 2)", [1]),
        ("SELECT * FROM a_1.t GROUP BY b_2.x, c_3.y ORDER BY d_4.z", [1]),
        ("SELECT * FROM a_1.t LEFT JOIN LATERAL (SELECT * FROM b_2.t) s ON true", [1, 2]),
    ],
)
def test_table_groups_are_found_in_the_statement(statement, groups):
    assert table_groups(statement) == groups and table_group(statement) == (groups or [0])[0]


@pytest.mark.parametrize("part", ["(from ", "from ", "'a''", "/*", "a.", "((", "join(", "x_1.", '"a".'])
def test_longest_statement_is_scanned_in_one_pass(part):
    """Guards against a search back for a bracket at each FROM, which blocked the event loop for minutes."""
    assert table_groups(part * (frames.MAX_LENGTH // len(part))) in ([], [1])


@pytest.mark.parametrize(
    ("before", "after", "group"), [("", "1," * 100_000, 1), (" " * MAX_SCANNED_CHARACTERS, "", 0)]
)
def test_only_the_beginning_of_a_long_statement_is_scanned(before, after, group):
    """Guards against a full scan, which took half a second; clients can send such statements at any rate."""
    assert table_group(f"SELECT *{before} FROM a_1.t WHERE x IN ({after}1)") == group


@pytest.mark.parametrize(
    ("beginning", "part", "group", "max_tokens"),
    [
        ("SELECT a FROM sales_17.orders WHERE box IN (", "1, ", 17, 64),
        ("SELECT a FROM sales_17.orders WHERE box IN (", "'into', ", 17, 64),
        ("SELECT a FROM sales_17.orders WHERE x = 'into' AND y IN (", "(1, 2), ", 17, MAX_TOKENS),
        ("SELECT ", "(", 0, MAX_TOKENS),
        ("SELECT into ", "from ", 0, MAX_TOKENS),
    ],
)
def test_scan_for_the_table_group_is_bounded(monkeypatch, beginning, part, group, max_tokens):
    """Guards against 10 to 20 ms for a statement of 16 kB: a burst blocked the event loop for seconds."""
    scanned, tokens = [], statements._tokens

    def count(statement):
        for token in tokens(statement):
            scanned.append(token)
            yield token

    monkeypatch.setattr(statements, "_tokens", count)
    assert table_group(beginning + part * (MAX_SCANNED_CHARACTERS // len(part))) == group
    assert len(scanned) <= max_tokens


# The work of parsers: what can be received costs in proportion to its length.

FRAGMENTS = [
    "1", ".", "1.", "-", "+", "'", "'a'", '"', ",", ", ", "(", " ", "\n", "\t", "--", "/*", "*/", "*", "=",
    "a", "e5", "FROM ", "x_1.y", "\x00",
]  # fmt: skip
SCANNED_PATTERNS = {
    "statement": statements._TOKEN_PATTERN,
    "hint": hints._STRINGS_AND_COMMENTS,
    "schema": statements._GROUP_SUFFIX,
}
MATCHED_PATTERNS = {
    "rows": re.compile(resp_codec._ROWS.pattern.decode("latin-1")),
    "number": request_codec.NUMBER_PATTERN,
}


def work(pattern, text):
    """Returns the work of a pattern, after checking that it is counted for the matches that `re` finds."""
    counter = WorkCounter(pattern)
    if pattern in MATCHED_PATTERNS.values():
        match = pattern.match(text)
        assert counter.match(text) == (match and match.group())
    else:
        assert counter.scan(text) == [match.group() for match in pattern.finditer(text) if match.group()]
    return counter.steps


@pytest.mark.parametrize("name", [*SCANNED_PATTERNS, *MATCHED_PATTERNS])
@pytest.mark.parametrize("first", FRAGMENTS)
def test_work_of_a_pattern_grows_no_faster_than_the_text(name, first):
    """Guards against statements whose scan took 140 ms each, as it began anew at each of their points."""
    pattern = (SCANNED_PATTERNS | MATCHED_PATTERNS)[name]
    for part in {first, *(first + second for second in FRAGMENTS)}:
        for begin, end in (("", ""), ("'", ""), ("SELECT ", "FROM a_1.t")):
            short, long = (work(pattern, begin + part * (size // len(part)) + end) for size in (48, 192))
            assert long <= 4 * 1.25 * short + 16, (begin, part)


@pytest.mark.parametrize("seed", range(20))
def test_work_of_the_statement_scan_is_bounded_for_each_character(seed):
    chance = random.Random(seed)
    for _ in range(20):
        text = "".join(chance.choices(FRAGMENTS, k=chance.randint(1, 80)))
        ordinary = ("a, b-1, x_1.c " * len(text))[: len(text)]
        assert work(statements._TOKEN_PATTERN, text) <= 4 * work(statements._TOKEN_PATTERN, ordinary) + 64


@pytest.mark.parametrize("total", [2, 3, 9, 100, resp_codec.MAX_RESULT_BYTES])
def test_pages_of_a_result_are_requested_as_they_arrive(total):
    """Guards against an answer of a few bytes that claims thousands of pages, each requested at once."""
    exchange = resp_codec.Exchange(BufferPool(), 32, True)
    exchange.send_query(b"q", resp_codec.QueryCommand(b"look", 1000, b"SELECT 1"))
    exchange.output.clear()
    pages = [(b"OK", b"total=%d" % total)]
    pages += [(b"ROWS", b"index=%d" % index) for index in range(1, min(total, 200))]
    ends = []
    for received, (kind, fields) in enumerate(pages, start=1):
        ends += exchange.feed(resp_codec.command(b"q", kind, fields, b""))
        requested = [command for command in exchange.output if b"read" in command]
        assert len(set(requested)) == len(requested)
        assert len(requested) == min(total - 1, received + resp_codec.MAX_PAGES_REQUESTED - 1)
    assert bool(ends) == (total <= len(pages))


@pytest.mark.parametrize("separator", [b",", b",x", b",a=", b"\xff,"])
def test_answer_of_thousands_of_fields_is_malformed(separator):
    assert resp_codec.parse_fields(b"a=1" + separator * 20_000) is None


@pytest.mark.parametrize("piece", [b"1\r\nx\r\n", b"1;a=b\r\nx\r\n", b"01\r\nx\r\n"])
def test_answer_of_short_chunks_is_parsed_in_turns(monkeypatch, piece):
    """Guards against an answer in chunks of a byte, of which one read took 65 ms of the event loop."""
    lines, read_line = [], ReceiveBuffer.read_line

    def count(self, max_size):
        line = read_line(self, max_size)
        lines.append(line)
        return line

    monkeypatch.setattr(ReceiveBuffer, "read_line", count)
    reader, size, begun = discovery_codec.ReplyReader(BufferPool()), 5000, 0
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + piece * size + b"0\r\n\r\n"
    result = reader.feed(data)
    while result is None:
        assert reader.is_paused and len(lines) - begun <= discovery_codec.MAX_LINES_AT_ONCE
        begun = len(lines)
        result = reader.resume()
    assert result == discovery_codec.Reply(200, b"x" * size, True)


# Time.


@pytest.mark.parametrize("wall", [5.0, 5.5, 3605.0, -3595.0])
def test_clock_never_goes_back_and_ignores_steps_of_the_wall_clock(wall):
    """The clock must neither go back nor stand still while the wall clock is behind."""
    readings, wall_readings = iter([5.0, 5.0, 4.0, 5.00012, 65.0]), iter([5.0])
    clock = Clock(lambda: next(readings), lambda: next(wall_readings, wall))
    assert [clock.now() for _ in range(4)] == [50_000, 50_000, 50_001, 650_000]


@pytest.mark.parametrize(
    ("error_at_start", "error_now", "start", "expected"),
    [
        (0.0, 0.0, -30.0, -30.0),  # wall clock errors, true start and expected start, in seconds
        (0.0, 3600.0, -30.0, -30.0),
        (0.0, -3600.0, -30.0, -30.0),
        (3600.0, 0.0, -30.0, -30.0),
        (-3600.0, 0.0, -30.0, -30.0),
        (0.0, 3600.0, -7200.0, -7200.0),
        (0.0, -3600.0, -7200.0, -3600.0),  # it is unknown which reading is right: the later start is taken
        (0.0, 5.0, -30.0, -30.0),
        (0.0, -5.0, -30.0, -25.0),
        (-3600.0, -3600.0, -30.0, 0.0),  # a start in the future counts as now
        (0.0, 3600.0, 0.5, 0.0),  # the clock of another machine is slightly ahead
    ],
)
def test_converted_unix_time_is_never_earlier_than_the_true_time(error_at_start, error_now, start, expected):
    time, wall_errors = 1000.0, [error_at_start, error_now]
    clock = Clock(lambda: 7.0, lambda: time + wall_errors.pop(0))
    found = clock.from_unix_time(int((time + start) * 10_000)) - clock.now()
    assert found == int(expected * 10_000)


# References of queries.


def test_recent_references_are_known_and_older_ones_leave_the_tables():
    references = RecentReferences(0)
    names = [f"{number * 7919:016x}" for number in range(3 * MAX_COUNT)]
    for name in names:
        references.record(name, 0)
    assert all(name in references for name in names[-MAX_COUNT:])
    assert not any(name in references for name in names[:MAX_COUNT])
    assert "f" * 16 not in references


def test_references_leave_the_tables_when_two_generations_have_passed():
    references = RecentReferences(0)
    references.record("0" * 16, 0)
    references.record("1" * 16, MAX_AGE + 1)
    assert "0" * 16 in references and "1" * 16 in references
    references.record("2" * 16, 2 * MAX_AGE + 2)
    assert "0" * 16 not in references and "1" * 16 in references
