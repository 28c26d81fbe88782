"""Recorded RESP2 cases: encoded bytes, commands, answers, and every kind of error."""

from __future__ import annotations

import random
from typing import Any

from cressrock.interface import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from cressrock.resp import codec
from cressrock.resp.outcomes import parse_load, parse_outcome
from cressrock.resp.request import CommandReader, InvalidCommandError
from tests.compatibility.canonical import canonical

FIXTURE = "resp"
LABELS = {codec.ErrorReply: "error", codec.StatusReply: "status"}
HEX = "5c0f6e1a2b3d4c59"
SETTINGS = Settings(
    (
        RequestClass(300, 1500, 1.0, 0.0, Idempotency.ALWAYS),
        RequestClass(500, 4000, 1.0, 0.0, Idempotency.KEYED, DeduplicationScope.SHARD, 0.0, False, True),
        RequestClass(500, 4000, 1.0, 0.0, Idempotency.NEVER, DeduplicationScope.SHARD, 0.0, False, True),
    ),
    (Plan(), Plan(2)),
    3,
    most_units=8,
)
READER = CommandReader(SETTINGS, ["read", "write", "append"], ["silver", "gold"], 9)
OPEN_READER = CommandReader(SETTINGS, ["read", "write", "append"], ["silver", "gold"], 0)
READ_NAMES = f"c=read,t=gold,d=480,volume={HEX},units=2,shard=5,hosts=3"
WRITE_NAMES = f"c=write,t=gold,d=480,k={HEX},volume={HEX},units=2,shard=5,hosts=3"
CLIENT_WORDS = [b"PING", b"SELECT", b"IO.IN", b"IO.OUT", b"", b"a b", b"\r\n", b"\xff\x00", b"x" * 512]

# Parser inputs as lists of pieces; the parsed results are recorded.
COMMAND_INPUTS: list[list[bytes]] = [
    [codec.command(b"PING")],
    [codec.command(b"PING") * 3],
    [codec.command(b"SELECT", b"0") + codec.command(b"CLIENT", b"SETNAME", b"x")],
    [b"*2\r\n$5\r\nIO.", b"IN\r\n$", b"2\r\nab\r", b"\n*1\r\n$4\r\nPING\r\n"],
    [codec.command(b"PING") + b"garbage"],
    [b"PING\r\n"],
    [b"*0\r\n"],
    [b"*-1\r\n"],
    [b"*9\r\n"],
    [b"*8\r\n"],
    [b"*99999999999999999999\r\n"],
    [b"*x\r\n"],
    [b"*1\r\n$-1\r\n"],
    [b"*1\r\n$-5\r\n"],
    [b"*1\r\n$x\r\n"],
    [b"*1\r\n$513\r\n"],
    [b"*2\r\n$1\r\na\r\n$65536\r\n"],
    [b"*2\r\n$1\r\na\r\n$65537\r\n"],
    [b"*2\r\n$513\r\n"],
    [b"*2\r\n$1\r\na\r\n$62914560\r\n"],
    [b"*1\r\n:1\r\n"],
    [b"*2\r\n$3\r\nabcd\r\n"],
    [b"*1\r\n$1\r\nab\r\n"],
    [b"*1\r\n$1\r\na\rb"],
    [b"*" + b"1" * 600],
    [b"*" + b"1" * 513, b"\r"],
    [b"*1\r\n$0\r\n\r\n"],
]
REPLY_INPUTS: list[list[bytes]] = [
    [b"*3\r\n$5\r\nvalue\r\n$14\r\nused=37,cost=4\r\n$31\r\ninflight=7,queue=2,util=0.61xxx\r\n"],
    [b"*3\r\n$0\r\n\r\n$-1\r\n$-1\r\n"],
    [b"*-1\r\n$-1\r\n*0\r\n"],
    [b"*2\r\n:1\r\n+OK\r\n:-12\r\n"],
    [b"-BUSY\r\n-BUSY 30\r\n-ERR failed\r\n-ERR failed used=12,cost=3 inflight=7\r\n"],
    [b"-SYNTAX\r\n-\xff\r\n+\r\n+OK\r\n+PONG\r\n"],
    [b"$5\r\nhel", b"lo\r", b"\n$0\r\n\r\n"],
    [b":123456789012345678\r\n:1234567890123456789\r\n"],
    [b":1x\r\n"],
    [b":\r\n"],
    [b":--1\r\n"],
    [b"HTTP/1.1 200 OK\r\n"],
    [b"$3000000000\r\n"],
    [b"$65536\r\n"],
    [b"$65537\r\n"],
    [b"*9\r\n"],
    [b"*1\r\n*1\r\n$1\r\na\r\n"],
    [b"*1\r\n*0\r\n"],
    [b"$5\r\nhelloworld"],
    [b"$--1\r\n"],
    [b"-" + b"x" * 600],
    [b"-" + b"x" * 511 + b"\r\n"],
    [b"\x00\x01"],
]
# Replies of a storage server; recorded are outcome, value, text and load.
ANSWERS: list[codec.Reply] = [
    [b"v", None, None],
    [b"", b"used=1", b"inflight=2"],
    [b"v", b"used=37,cost=4", None],
    [b"v", b"cost=2.5", b"inflight=7,queue=2,util=0.61"],
    [b"v", b"used=0", None],
    [b"v", b"used=", None],
    [b"v", b"used=x,cost=-3", None],
    [b"v", b"xused=5", None],
    [b"v", b"used=1e9", None],
    [b"v", b"used=1234567890", None],
    [b"v", b"used=5.75 cost=0.000001", None],
    [b"v", b"used=5" * 100, None],
    [b"v", b"\xff" * 30, None],
    [b"v", 7, None],
    [None, None, None],
    [b"v"],
    [b"v", b"used=5"],
    [b"v", None, None, None],
    [],
    None,
    b"v",
    7,
    codec.StatusReply("OK"),
    codec.StatusReply("PONG"),
    codec.ErrorReply("BUSY"),
    codec.ErrorReply("BUSY 30"),
    codec.ErrorReply("BUSY used=3,cost=1"),
    codec.ErrorReply("BUSYBODY"),
    codec.ErrorReply("ERR failed"),
    codec.ErrorReply("ERR failed used=12,cost=3"),
    codec.ErrorReply("ERR failed used=12,cost=3 inflight=7"),
    codec.ErrorReply("ERR unknown command"),
    codec.ErrorReply("SYNTAX"),
    codec.ErrorReply(""),
]
PIECE, ID = HEX.encode(), b"9b1f03aa5c7e2d41"


def _read(names: str, *more: bytes) -> list[bytes]:
    return [b"IO.IN", PIECE, ID, names.encode(), *more]


def _write(names: str, body: bytes = b"BODY") -> list[bytes]:
    return [b"IO.OUT", PIECE, ID, names.encode(), body]


REQUESTS: list[list[bytes]] = [
    _read(READ_NAMES),
    _read(READ_NAMES + ",r=1"),
    _read(READ_NAMES.replace("shard=5", "shard=-1").replace("hosts=3", "hosts=1")),
    _read(READ_NAMES.replace("d=480", "d=480.25").replace("units=2", "units=7.5")),
    _read("d=480," + READ_NAMES.replace("d=480,", "")),
    _read(READ_NAMES.replace("d=480,", "") + ",d=999999999"),
    _write(WRITE_NAMES),
    _write(WRITE_NAMES, b""),
    _write(WRITE_NAMES, b"\r\n\x00" * 9),
    _write(WRITE_NAMES.replace("c=write", "c=append").replace(f"k={HEX},", "")),
    _read(READ_NAMES, b"BODY"),
    [b"IO.IN"],
    [b"IO.IN", b"zz", ID, READ_NAMES.encode()],
    [b"IO.IN", PIECE, ID + b"0", READ_NAMES.encode()],
    _read(""),
    _read("c=read,c=read"),
    _read(READ_NAMES + ",extra=1"),
    _write("\udcff=1".encode("utf-8", "surrogateescape").decode("latin-1")),
    *(
        _read(READ_NAMES.replace(old, new))
        for old, new in [
            ("c=read", "c=nothing"),
            ("t=gold", "t=lead"),
            ("d=480", "d=soon"),
            ("d=480", "d=-3"),
            ("d=480", "d=0"),
            ("d=480", "d=nan"),
            (",d=480", ""),
            (f"volume={HEX}", "volume=3"),
            ("units=2", "units=0"),
            ("units=2", "units=9"),
            ("units=2", "units=x"),
            ("shard=5", "shard=-2"),
            ("shard=5", "shard=9"),
            ("shard=5", "shard=1.5"),
            ("hosts=3", "hosts=0"),
            ("hosts=3", "hosts=4"),
            ("hosts=3", f"hosts=3,k={HEX}"),
            ("hosts=3", "hosts=3,r=2"),
            ("c=read", "c=write"),
        ]
    ),
    _write(WRITE_NAMES.replace(f"k={HEX},", "")),
    _write(WRITE_NAMES.replace(f"k={HEX}", "k=x")),
    _write(READ_NAMES),
]


def encoded() -> list[str]:
    """Return the encoded commands, strings, error and status lines, in hex."""
    rng = random.Random(5)
    written = [
        codec.command(*(rng.choice(CLIENT_WORDS) for _ in range(rng.randint(1, 8)))) for _ in range(20)
    ]
    written += [codec.bulk(value) for value in (b"", b"value", b"\r\n", b"\x00" * 300)]
    written += [
        codec.error(text)
        for text in (
            "BUSY",
            "BUSY 30",
            "ERR failed timeout",
            "ERR unknown command",
            "ERR the id is open already",
            "ERR Protocol error: half a command",
            "ERR a\r\nb",
            "ERR \u00e9",
            "SYNTAX",
            "",
        )
    ]
    written += [codec.status(text) for text in ("OK", "PONG", "")]
    return [data.hex() for data in written]


def parsed_commands(pieces: list[bytes]) -> Any:
    """Parse commands; return for each piece the commands, the error text, and whether input is incomplete."""
    parser, results = codec.CommandParser(), []
    for piece in pieces:
        commands, error = parser.feed(piece)
        results.append([canonical(commands), None if error is None else str(error), parser.is_partial])
        if error is not None:
            break
    return results


def parsed_in_steps() -> Any:
    """Parse three commands with a limit of two per call."""
    parser = codec.CommandParser()
    first = parser.feed(codec.command(b"PING") * 3, 2)
    more = parser.has_more
    return canonical([first, more, parser.feed(b"", 2), parser.has_more])


def parsed_replies(pieces: list[bytes]) -> Any:
    """Parse replies; return them with the error text, or with whether input is incomplete."""
    parser, replies = codec.ReplyParser(), []
    try:
        for piece in pieces:
            parser.feed(piece)
            while (reply := parser.next()) is not None:
                replies.append(canonical(reply, LABELS))
    except codec.ProtocolError as error:
        return [replies, str(error)]
    return [replies, parser.is_partial]


def read_request(reader: CommandReader, words: list[bytes]) -> Any:
    """Parse a client's command; return the request and its encodings for a server, or the error text."""
    try:
        request = reader.read(words)
    except InvalidCommandError as error:
        return {"refused": str(error)}
    sent = [request.command(wait_ms).hex() for wait_ms in (0.2, 320.7, -5, 1500.0)]
    return {"request": canonical(request), "sent": sent}


def content() -> dict[str, Any]:
    """Return everything that is recorded, computed by the current code."""
    return {
        "encoded": encoded(),
        "commands": [parsed_commands(pieces) for pieces in COMMAND_INPUTS],
        "steps": parsed_in_steps(),
        "replies": [parsed_replies(pieces) for pieces in REPLY_INPUTS],
        "answers": [canonical([parse_outcome(reply), parse_load(reply)]) for reply in ANSWERS],
        "requests": [read_request(READER, words) for words in REQUESTS],
        "requests_without_shards": [read_request(OPEN_READER, words) for words in REQUESTS],
    }
