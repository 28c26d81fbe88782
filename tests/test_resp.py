"""RESP2: parsing of arbitrarily split input, and strict parsing of requests and answers."""

from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrock.interface import DeduplicationScope, Idempotency, Outcome, Plan, RequestClass, Settings
from cressrock.resp import codec
from cressrock.resp.codec import CommandParser, ErrorReply, ProtocolError, ReplyParser, StatusReply
from cressrock.resp.eviction import choose_eviction, choose_unread
from cressrock.resp.outcomes import parse_load, parse_outcome
from cressrock.resp.request import CommandReader, InvalidCommandError

WORD = st.binary(max_size=40)


def split(data, cuts):
    offsets = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[a:b] for a, b in zip(offsets, offsets[1:], strict=False)]


@given(st.lists(st.lists(WORD, min_size=1, max_size=5), max_size=4), st.lists(st.integers(0, 10**6)))
def test_commands_parse_the_same_however_input_is_split(commands, cuts):
    data = b"".join(codec.command(*words) for words in commands)
    parser, got = CommandParser(), []
    for part in split(data, cuts):
        found, error = parser.feed(part)
        assert error is None
        got += found
    assert got == commands and not parser.is_partial


@pytest.mark.parametrize("how", ["parsed", "discarded", "invalid", "reply"])
def test_an_emptied_buffer_keeps_nothing_of_a_long_value_on_the_heap(how):
    """Regression: a remnant stayed in the place of each long value, and the heap grew with each."""
    value = codec.command(b"IO.OUT", b"p", b"i", b"n", b"v" * 60_000)
    if how == "reply":
        parser = ReplyParser()
        parser.feed(codec.bulk(b"v" * 60_000))
        assert parser.next() == (b"v" * 60_000,)
    else:
        parser = CommandParser()
        parser.feed(value[:50_000])
        if how == "discarded":
            assert parser.discard_value()
        else:
            parser.feed(value[50_000:] if how == "parsed" else b"v" * 10_100 + b"not CRLF")
    assert parser.buffered_bytes == 0
    assert parser._buffer.__alloc__() == bytearray().__alloc__()


REPLY = st.one_of(
    st.none(), WORD, st.integers(-(10**12), 10**12), st.lists(st.one_of(st.none(), WORD), max_size=4)
)


def encode_reply(reply):
    if reply is None:
        return b"$-1\r\n"
    if isinstance(reply, bytes):
        return codec.bulk(reply)
    if isinstance(reply, int):
        return b":%d\r\n" % reply
    return b"*%d\r\n" % len(reply) + b"".join(map(encode_reply, reply))


@given(st.lists(REPLY, max_size=4), st.lists(st.integers(0, 10**6)))
def test_replies_parse_the_same_however_input_is_split(replies, cuts):
    parser, got = ReplyParser(), []
    for part in split(b"".join(map(encode_reply, replies)), cuts):
        parser.feed(part)
        while (found := parser.next()) is not None:
            got += found
    assert got == replies and not parser.is_partial


@given(st.binary(max_size=300), st.lists(st.integers(0, 10**6), max_size=5))
def test_arbitrary_bytes_raise_only_protocol_errors(data, cuts):
    commands, replies = CommandParser(), ReplyParser()
    for part in split(data, cuts):
        if commands.feed(part)[1] is not None:
            break
    try:
        for part in split(data, cuts):
            replies.feed(part)
            while replies.next() is not None:
                pass
    except ProtocolError:
        pass


@pytest.mark.parametrize(
    "data",
    [
        b"PING\r\n",
        b"*0\r\n",
        b"*-1\r\n",
        b"*9\r\n",
        b"*99999999999999999999\r\n",
        b"*1\r\n$-1\r\n",
        b"*1\r\n$-5\r\n",
        b"*1\r\n$x\r\n",
        b"*1\r\n$70000\r\n",
        b"*2\r\n$1\r\na\r\n$62914560\r\n",
        b"*1\r\n:1\r\n",
        b"*2\r\n$3\r\nabcd\r\n",
        b"*" + b"1" * 600,
    ],
)
def test_a_command_over_a_limit_is_rejected_before_its_payload(data):
    parser = CommandParser()
    found, error = parser.feed(data)
    assert not found and isinstance(error, ProtocolError)
    assert not parser.is_partial  # the input is discarded


def test_commands_before_invalid_input_are_returned():
    found, error = CommandParser().feed(codec.command(b"PING") + b"garbage")
    assert found == [[b"PING"]] and error is not None


def test_a_value_may_have_at_most_64_kib():
    words = [b"IO.OUT", b"x" * codec.MAX_VALUE_BYTES]
    assert CommandParser().feed(codec.command(*words)) == ([words], None)
    assert CommandParser().feed(codec.command(b"IO.OUT", b"x" * (codec.MAX_VALUE_BYTES + 1)))[1] is not None


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"$3000000000\r\n",
        b"*9\r\n",
        b"$5\r\nhelloworld",
        b":1x\r\n",
        b"*1\r\n*1\r\n$1\r\na\r\n",
        b"-" + b"x" * 600,
        b"\x00\x01",
        b"$--1\r\n",
    ],
)
def test_an_invalid_reply_is_rejected(data):
    parser = ReplyParser()
    parser.feed(data)
    with pytest.raises(ProtocolError):
        parser.next()


def test_line_breaks_in_an_error_text_become_spaces():
    assert codec.error("ERR a\r\nb") == b"-ERR a  b\r\n"


# --- answers


def test_replies_are_mapped_to_outcomes():
    assert parse_outcome([b"v", None, None]) == (Outcome.OK, b"v", "")
    assert parse_outcome([b"", b"used=1", b"inflight=2"])[:2] == (Outcome.OK, b"")
    assert parse_outcome(ErrorReply("BUSY"))[0] is Outcome.FULL
    for other in (
        ErrorReply("ERR failed"),
        ErrorReply("BUSYBODY"),
        StatusReply("OK"),
        None,
        b"v",
        7,
        [],
        [None, None, None],
        [b"v"],
        [b"v", None, None, None],
    ):
        assert parse_outcome(other)[:2] == (Outcome.ERROR, None)


def test_usage_fields_are_parsed_and_invalid_ones_count_as_not_reported():
    assert parse_load([b"v", b"used=37,cost=4", None]) == (38, 4.0)
    assert parse_load([b"v", b"used=0", None]) == (1, 0.0)  # 0 % used is reported; 0 would mean not reported
    assert parse_load([b"v", b"cost=2.5", b"inflight=3"]) == (0, 2.5)
    assert parse_load(ErrorReply("ERR failed used=12,cost=3 inflight=7")) == (13, 3.0)
    for invalid in (
        None,
        b"used=",
        b"used=x,cost=-3",
        b"xused=5",
        b"\xff" * 30,
        b"used=1e9",
        b"used=5" * 100,
    ):
        assert parse_load([b"v", invalid, None]) == (0, 0.0)


# --- requests

SETTINGS = Settings(
    classes=(
        RequestClass(300, 1500, idempotency=Idempotency.ALWAYS),
        RequestClass(
            500,
            4000,
            idempotency=Idempotency.KEYED,
            deduplication_scope=DeduplicationScope.SHARD,
            is_write=True,
        ),
    ),
    plans=(Plan(), Plan(weight=2)),
    hosts=3,
    most_units=8,
)
READER = CommandReader(SETTINGS, ["read", "write"], ["silver", "gold"], 9)
NAMES = {
    "c": "read",
    "t": "gold",
    "d": "480",
    "volume": "00000003b4d60021",
    "units": "2",
    "shard": "5",
    "hosts": "3",
}
PIECE, ID = b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41"


def words(verb=b"IO.IN", piece=PIECE, name=ID, body=(), **changes):
    names = {k: v for k, v in (NAMES | changes).items() if v is not None}
    return [verb, piece, name, ",".join(f"{k}={v}" for k, v in names.items()).encode(), *body]


def write_words(**changes):
    return words(b"IO.OUT", body=(b"BODY",), **{"c": "write", "k": "5c0f6e1a2b3d4c59"} | changes)


def test_a_request_is_parsed_by_the_names_in_the_settings():
    request = READER.read(words())
    assert (request.volume, request.key, request.shard) == (NAMES["volume"], PIECE.decode(), 5)
    assert (request.request_class, request.plan, request.units, request.dispatcher_count) == (0, 1, 2.0, 3)
    assert (request.name, request.patience_ms, request.idempotency_key) == (ID.decode(), 480, "")
    write = READER.read(write_words(shard="-1"))
    assert (write.request_class, write.idempotency_key, write.shard) == (1, "5c0f6e1a2b3d4c59", -1)


def test_a_storage_server_gets_the_clients_command_with_a_new_deadline():
    for d in ("480", "480.5"):
        for order in (("d", "c", "t"), ("c", "t", "d")):
            names = {name: NAMES[name] for name in order} | NAMES | {"d": d}
            text = ",".join(f"{k}={v}" for k, v in names.items())
            request = READER.read([b"IO.IN", PIECE, ID, text.encode()])
            expected = text.replace(f"d={d}", "d=321").encode()
            assert request.command(320.7) == codec.command(b"IO.IN", PIECE, ID, expected)
    assert READER.read(write_words()).command(0.2).endswith(b"$4\r\nBODY\r\n")
    assert b"d=1," in READER.read(words()).command(-5)


def test_patience_is_limited_to_the_deadline_of_the_class():
    assert READER.read(words(d="999999999")).patience_ms == 1500


@pytest.mark.parametrize(
    "bad",
    [
        words(c="nothing"),
        words(t="lead"),
        words(d="soon"),
        words(d="-3"),
        words(d="0"),
        words(d="nan"),
        words(d=None),
        words(volume="3"),
        words(units="0"),
        words(units="9"),
        words(units="x"),
        words(shard="-2"),
        words(shard="9"),
        words(shard="1.5"),
        words(hosts="0"),
        words(hosts="4"),
        words(k="5c0f6e1a2b3d4c59"),
        words(extra="1"),
        words(r="2"),
        words(name=b""),
        words(piece=b"zz"),
        words(name=ID + b"0"),
        words(c="write"),
        words(b"IO.OUT", body=(b"B",)),
        words(body=(b"B",)),
        write_words(k=None),
        write_words(k="x"),
        [b"IO.IN"],
        [b"IO.IN", PIECE, ID, b""],
        [b"IO.IN", PIECE, ID, b"c=read,c=read"],
        [b"IO.OUT", PIECE, ID, b"\xff=1", b""],
    ],
)
def test_invalid_commands_are_refused(bad):
    with pytest.raises(InvalidCommandError):
        READER.read(bad)


# --- evictions


def idle_connection(has_sent_command, active_at):
    return SimpleNamespace(has_sent_command=has_sent_command, active_at=active_at)


def test_order_of_evictions_for_new_connections():
    silent, new = idle_connection(False, 5), idle_connection(False, 90)
    idle, longest_idle = idle_connection(True, 9), idle_connection(True, 2)
    remaining = [new, idle, silent, longest_idle]
    order = []
    while remaining:
        evicted = choose_eviction(remaining, new_since=50)
        remaining.remove(evicted)
        order.append(evicted)
    assert order == [silent, longest_idle, idle, new] and choose_eviction([], 50) is None


def test_connections_with_most_unread_bytes_are_closed_until_the_rest_fits():
    class Peer:
        active_at = 0.0

    a, b, c = Peer(), Peer(), Peer()
    held = {a: 60, b: 30, c: 50}
    assert choose_unread(held, 140) == []
    assert choose_unread(held, 90) == [a]
    assert choose_unread(held, 0) == [a, c, b]
