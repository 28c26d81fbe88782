"""Fuzzed input on the front, seeded: bytes that nearly are WebDAV, thrown at a dispatcher in simulated time.

What must hold: no crash of a handler, no hang, no slot or payload lost, and a sound request is served after
each batch.  The parsers of untrusted bytes are fuzzed directly as well.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from cressrock.dispatch.node_list import NodeListError, NodeListState
from cressrock.dispatch.node_response import reported_load
from cressrock.dispatch.spool import PayloadStore
from cressrock.http.channel import BROKEN, Stream
from cressrock.lab.day import EPOCH_MS, simulate
from cressrock.lab.hall import Close, Hall, Serve
from cressrock.lab.listing import Listing
from cressrock.lab.model import Meter
from cressrock.lab.node import Rates
from cressrock.lab.serve import lab_settings
from cressrock.lab.simnet import SimNet
from cressrock.programs.composition import Environment
from cressrock.programs.gateway import Gateway
from cressrock.settings.load import convert
from cressrock.webdav import conditions, xml
from cressrock.webdav.paths import InvalidPathError, parse, parse_url

METHODS = b"GET HEAD PUT DELETE MKCOL COPY MOVE PROPFIND PROPPATCH LOCK UNLOCK OPTIONS BREW".split()
PATHS = (
    b"/demo/a",
    b"/demo/b/",
    b"/demo",
    b"/",
    b"*",
    b"/demo/%2e%2e/x",
    b"/demo/%",
    b"/demo//x",
    b"/none/x",
    b"http://gw/demo/a",
    b"/demo/" + b"d/" * 90,
    b"/demo/\xc3\xa9",
    b"/demo/%00",
    b"/archive/a",
)
FIELDS = (
    b"depth: 0",
    b"depth: 1",
    b"depth: infinity",
    b"depth: -1",
    b"overwrite: F",
    b"overwrite: x",
    b"destination: /demo/c",
    b"destination: http://gw/demo/b/x",
    b"destination: //",
    b"destination: http://[",
    b"if: (<urn:a>)",
    b"if: (((",
    b'if: </demo/a> (Not <urn:x>) (["1"])',
    b"lock-token: <urn:x>",
    b"if-match: *",
    b'if-none-match: "x"',
    b"range: bytes=0-1",
    b"range: bytes=-",
    b"timeout: Second-9",
    b"expect: 100-continue",
    b"prefer: wait=1",
    b"idempotency-key: k",
    b"content-range: bytes 0-1/2",
    b"transfer-encoding: chunked",
    b"transfer-encoding: gzip",
    b"content-length: 5",
    b"content-length: x",
    b"connection: close",
    b"x: " + b"y" * 9000,
    b"bad\x01name: 1",
    b" folded",
)
BODIES = (
    b"",
    b"hello",
    b"5\r\nhello\r\n0\r\n\r\n",
    b"zz\r\n",
    b"<propfind xmlns='DAV:'><allprop/></propfind>",
    b"<!DOCTYPE x [<!ENTITY a 'b'>]><x>&a;</x>",
    b"<a>" * 500,
    b"\x00" * 100,
    b"<lockinfo xmlns='DAV:'><lockscope><exclusive/></lockscope><locktype><write/></locktype></lockinfo>",
    b"<propertyupdate xmlns='DAV:'><set><prop><a xmlns='x:'>1</a></prop></set></propertyupdate>",
)


LIST = b'{"version_info": "1", "resources": [{"cluster_name": "storage"}]}'


@dataclass(slots=True)
class Found:
    """What a fuzz run saw."""

    inputs: int = 0
    statuses: Counter[str] = field(default_factory=Counter)
    defects: list[str] = field(default_factory=list)


def message(draw: random.Random) -> bytes:
    """Draw bytes that nearly are a request."""
    fields = [b"host: gw"] + [draw.choice(FIELDS) for _ in range(draw.randrange(5))]
    body = draw.choice(BODIES)
    if draw.random() < 0.6:
        fields.append(b"content-length: " + str(len(body)).encode())
    data = b"%s %s HTTP/1.1\r\n%s\r\n\r\n%s" % (
        draw.choice(METHODS),
        draw.choice(PATHS),
        b"\r\n".join(fields),
        body,
    )
    for _ in range(draw.choice((0, 0, 0, 1, 3))):
        at = draw.randrange(len(data))
        data = data[:at] + bytes([draw.randrange(256)]) + data[at + draw.randrange(3) :]
    return data[: draw.randrange(1, len(data))] if draw.random() < 0.15 else data


class _Log:
    """Keeps defects."""

    def __init__(self, found: Found) -> None:
        self.found = found

    def error(self, event: str, **fields: Any) -> None:
        self.found.defects.append(f"{event}: {fields.get('error') or fields}")

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *args, **fields: None


async def _front(seed: int, inputs: int, found: Found) -> None:
    draw = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        net = SimNet(tasks, seed)

        def clock() -> float:
            return anyio.current_time() * 1000

        def wall() -> float:
            return EPOCH_MS + clock()

        async def opened(address: str, serve: Serve) -> tuple[str, Close]:
            net.listen(address, serve)

            async def close() -> None:
                net.close(address)

            return address, close

        store = PayloadStore(memory_bytes=1 << 26, spill_bytes=1 << 20)
        listing = Listing(clock=clock, seed=seed)
        hall = Hall(
            tasks, opened, clock, wall, seed, [None], 10000.0, Meter(1000.0, 0.0), Rates(), store, listing
        )
        for shard in range(3):
            await hall.start(shard, f"n{shard}:7000")
        hall.publish()
        net.listen("list:9000", listing.serve)
        settings = convert("fuzz", lab_settings("list:9000", "127.0.0.1:0", 3))
        gateway = Gateway(settings, Environment(net.connect, wall, seed, _Log(found)))
        await tasks.start(gateway.run)
        net.listen("gw:80", gateway.serve)
        await anyio.sleep(1)
        while found.inputs < inputs:
            async with anyio.create_task_group() as batch:
                for _ in range(20):
                    found.inputs += 1
                    data = b"".join(message(draw) for _ in range(draw.choice((1, 1, 2))))
                    batch.start_soon(_throw, net, data, draw.random() < 0.3, found)
            await anyio.sleep(60)  # what is owed has its time; then nothing may be left
            _left_over(gateway, found)
            await _probe(net, found)
        tasks.cancel_scope.cancel()


async def _throw(net: SimNet, data: bytes, leave: bool, found: Found) -> None:
    stream: Stream = await net.connect("gw", 80)
    got = b""
    try:
        await stream.send(data)
        with anyio.move_on_after(0.002 if leave else 50):
            while True:
                got += await stream.receive()
                if not leave and len(got) > 12:
                    with anyio.move_on_after(0.5):
                        got += await stream.receive()
                    break
    except BROKEN:
        pass
    await stream.aclose()
    found.statuses[got[9:12].decode("latin-1") or ("left" if leave else "closed")] += 1
    if got and not got.startswith(b"HTTP/1.1 "):
        found.defects.append(f"an answer that is none: {got[:40]!r}")
    if got[9:12] == b"500":
        found.defects.append(f"500 for {data[:200]!r}")


def _left_over(gateway: Gateway, found: Found) -> None:
    assert gateway.driver is not None and gateway.front is not None and gateway.server is not None
    left = {
        "operations": len(gateway.driver.ledger.entries),
        "attempts": len(gateway.driver.in_flight),
        "requests": gateway.front.open,
        "payload bytes": gateway.payload_store.memory_used_bytes,
        "connections": gateway.server.connections,
    }
    for name, count in left.items():
        if count:
            found.defects.append(f"{count} {name} left over after {found.inputs} inputs")


async def _probe(net: SimNet, found: Found) -> None:
    stream = await net.connect("gw", 80)
    await stream.send(b"GET / HTTP/1.1\r\nhost: gw\r\n\r\n")
    with anyio.move_on_after(5):
        if (await stream.receive()).startswith(b"HTTP/1.1 200"):
            await stream.aclose()
            return
    found.defects.append(f"a sound request was not served after {found.inputs} inputs")


def fuzz_front(seed: int, inputs: int) -> Found:
    """Throw so many inputs at a dispatcher's socket."""
    found = Found()

    async def program() -> None:
        await _front(seed, inputs, found)

    simulate(program, seed)
    return found


def fuzz_parsers(seed: int, inputs: int) -> Found:
    """Hand drawn bytes to each parser of untrusted bytes; only its own error may come out."""
    draw, found = random.Random(seed), Found()
    state = NodeListState("storage", max_nodes=100)
    values = [one.split(b": ", 1)[-1] for one in FIELDS]
    pool = [
        *FIELDS,
        *values,
        *BODIES,
        *PATHS,
        b'{"version_info": "1", "resources": [{"cluster_name": "storage"}]}',
    ]
    parsers: list[tuple[str, Callable[[bytes], Any], type[Exception]]] = [
        ("path", lambda b: parse(b.decode("latin-1")), InvalidPathError),
        ("url", lambda b: parse_url(b.decode("latin-1"), "gw"), InvalidPathError),
        ("if", lambda b: conditions.parse_if(b.decode("latin-1")), conditions.InvalidHeaderError),
        ("etags", lambda b: conditions.etags(b.decode("latin-1")), conditions.InvalidHeaderError),
        ("range", lambda b: conditions.byte_range(b.decode("latin-1"), 100), ValueError),
        ("date", lambda b: conditions.http_date(b.decode("latin-1")), ValueError),
        ("propfind", xml.propfind, xml.InvalidXMLError),
        ("proppatch", xml.proppatch, xml.InvalidXMLError),
        ("lockinfo", xml.lockinfo, xml.InvalidXMLError),
        ("multistatus", xml.read_multistatus, xml.InvalidXMLError),
        ("list", lambda b: state.receive(b, 0, 0), NodeListError),
        ("load", lambda b: reported_load([(b"endpoint-load-metrics", b)]), ValueError),
    ]
    for _ in range(inputs):
        data = draw.choice(pool)
        for _ in range(draw.randrange(6)):
            at = draw.randrange(len(data) + 1)
            data = data[:at] + bytes([draw.randrange(256)]) * draw.choice((1, 1, 40)) + data[at:]
        name, parser, error = draw.choice(parsers)
        found.inputs += 1
        try:
            parser(data)
            found.statuses[f"{name} read"] += 1
        except error:
            found.statuses[f"{name} refused"] += 1
        except Exception as wrong:  # noqa: BLE001  this is what the fuzzer is for
            found.defects.append(f"{name}: {wrong!r} for {data[:200]!r}")
    return found
