"""At a planned restart a client's connection is ended although the dispatcher owes it answers."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from play import TROUBLE, Client, Discovery, Dispatcher, Record, Storage, hang, hex16, play, settings

COMMANDS = 480


async def case(record: Record) -> str:
    rng = random.Random(9)
    discovery = Discovery(record)
    await discovery.start()
    servers = [Storage(record, f"s-{shard}", shard, 4.0) for shard in range(4)]
    for server in servers:
        await server.start()
        discovery.put(server.name, server.dial, server.shard)
    dispatcher = Dispatcher(record, discovery, settings())
    try:
        dispatcher.start()
        await dispatcher.ready(rng)
        await asyncio.sleep(1.0)
        servers[0].behaviour = hang
        client = await Client(record, dispatcher.address, rng, "client").connect()
        assert client.writer is not None
        assert dispatcher.process is not None
        burst = [client.command("scrittura", 0, 4000.0, key=hex16(rng), size=100)]
        burst += [client.command("lettura", 1 + number % 3, 1500.0) for number in range(COMMANDS - 1)]
        client.writer.write(b"".join(data for _, data in burst))
        for asked, _ in burst:
            client.note_sent(asked)
        await asyncio.sleep(0.3)
        if TROUBLE:
            dispatcher.process.send_signal(signal.SIGTERM)
            record("case", "SIGTERM")
        await asyncio.sleep(4.2)
        missing = [asked for asked in client.asked if asked.replied_at is None]
        for asked in missing:
            record(
                "BREAK",
                f"{asked.id} was written at {record.at(asked.sent_at)}, the dispatcher ended its connection "
                f"at {record.at(asked.ended_at)} without an answer",
            )
        return f"{len(missing)} of {COMMANDS} requests without an answer" if missing else ""
    finally:
        dispatcher.end()
        for part in (*servers, discovery):
            await part.stop()


RULE = (
    "each request whose last byte was written to a connection of the dispatcher gets an answer there, also "
    "beside SIGTERM, which SIGKILL follows 3.7 s later at the earliest"
)
play(Path(__file__).resolve().parent, RULE, case)
