"""A client sends much at once and goes; its requests are still sent on to a storage server long after."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from play import TROUBLE, Attempt, Client, Discovery, Dispatcher, Record, Storage, hex16, play, settings

SMALL, REFUSED, LARGE, LARGE_BYTES = 63, 236, 60, 60000
LEAVES_AFTER_S = 0.05
ALLOWED_S = 0.1 + 0.05  # after the close; every time limit is 50 ms longer on sockets


async def work(server: Storage, attempt: Attempt) -> bytes:
    """Serve after 60 ms, at most two at once, as a machine with two cores does."""
    await slots.acquire()
    try:
        await asyncio.sleep(0.06)
        return server.run(attempt)
    finally:
        slots.release()


slots = asyncio.Semaphore(2)


async def case(record: Record) -> str:
    rng = random.Random(7)
    config = settings()
    config["balancers"] = 4
    discovery = Discovery(record)
    await discovery.start()
    servers = [Storage(record, f"s-{shard}", shard, 4.0) for shard in range(4)]
    for server in servers:
        server.behaviour = work
        await server.start()
        discovery.put(server.name, server.dial, server.shard)
    dispatcher = Dispatcher(record, discovery, config)
    try:
        dispatcher.start()
        await dispatcher.ready(rng)
        await asyncio.sleep(1.0)
        client = await Client(record, dispatcher.address, rng, "client").connect()
        assert client.writer is not None
        # The volume `limited` uses up what its plan's limit allows this dispatcher; its next request waits.
        limited = {"t": "base", "volume": "00000003b4d60022", "hosts": "3"}
        for _ in range(9):
            asked = client.ask("scrittura", 1, 1000.0, key=hex16(rng), size=100, **limited)
            await client.answered(asked, 2.0)
        burst = [client.command("scrittura", 1, 4000.0, key=hex16(rng), size=100, **limited | {"units": "8"})]
        burst += [client.command("scrittura", 0, 4000.0, key=hex16(rng), size=100) for _ in range(SMALL)]
        if TROUBLE:  # much at once; otherwise the client goes behind its first 64 commands
            burst += [client.command("lettura", 0, 1500.0) for _ in range(REFUSED)]
            burst += [
                client.command("scrittura", 0, 4000.0, key=hex16(rng), size=LARGE_BYTES) for _ in range(LARGE)
            ]
        ids = {asked.id for asked, _ in burst}
        client.writer.write(b"".join(data for _, data in burst))
        for asked, _ in burst:
            client.note_sent(asked)
        await asyncio.sleep(LEAVES_AFTER_S)
        client.abort()
        left_at = time.monotonic()
        record("client", "closed its connection")
        await asyncio.sleep(6)
        begun = [
            attempt
            for server in servers
            for attempt in server.attempts
            if attempt.id in ids and attempt.at > left_at + ALLOWED_S
        ]
        for attempt in begun:
            record(
                "BREAK",
                f"{attempt.id} was begun at {attempt.server} at {record.at(attempt.at)}, "
                f"{(attempt.at - left_at) * 1000:.0f} ms after its client's close at {record.at(left_at)}",
            )
        late = [f"{a.id} at {a.server} {(a.at - left_at) * 1000:.0f} ms after" for a in begun]
        record("case", f"{sum(len(server.attempts) for server in servers)} attempts, {len(late)} too late")
        return f"{len(late)} attempts began too late after the client had gone: {late[-3:]}" if late else ""
    finally:
        dispatcher.end()
        for part in (*servers, discovery):
            await part.stop()


RULE = "no attempt begins more than 0.1 s (and 50 ms on sockets) after its client has closed its connection"
play(Path(__file__).resolve().parent, RULE, case)
