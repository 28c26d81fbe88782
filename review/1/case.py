"""A keyed write takes effect twice: it is refused, and its client's next try is held beyond the window.

One of four storage servers hangs in the middle of its work.  The write has run there, but its answer does
not come in the client's time: the dispatcher refuses it.  The client tries again once, within the window,
with a new id and the same key.  The dispatcher holds this try until the server goes on, and sends it when
the servers no longer know the key.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

GIVE_UP_MS, WINDOW_MS = 4000, 1000  # the settings of the class
SLACK_MS = 200  # the servers drop repeats for longer than the settings say: 0.15 s of hold-up and 50 ms
FIRST_TRY_MS = 500  # the client's patience for its first try
RETRY_AT_MS = 750  # when the client tries again
HANG_MS = 1400
SERVERS = 4
KEY = "5c0f6e1a2b3d4c59"
PIECE = "7f3a9c21e0b4d655"
VOLUME_A, VOLUME_B = "00000003b4d60021", "00000003b4d60022"


class Servers:
    """The storage servers' common memory of keys, and the effects of writes."""

    def __init__(self, record):
        self.record = record
        self.first_arrival_ms = {}  # by key, of the run that is remembered
        self.runs = []  # the ids whose effect took place

    async def serve(self, server, words):
        names, request, now = s.names_of(words), words[2].decode(), self.record.ms()
        key = names.get("k")
        if key is None:
            self.record(f"{server.name}: {request} arrived, a read")
            return s.answer(b"read for " + words[2])
        first = self.first_arrival_ms.get(key)
        if first is not None and now - first <= WINDOW_MS + SLACK_MS:
            self.record(f"{server.name}: {request} k={key} arrived {now - first:.0f} ms behind, dropped")
        else:
            self.first_arrival_ms[key] = now
            self.runs.append(request)
            late = "" if first is None else f" {now - first:.0f} ms behind the first"
            self.record(f"{server.name}: {request} k={key} arrived{late}, its effect takes place")
        return s.answer(b"saved for " + words[2])


async def warm_up(dispatcher, record):
    """Read from each server until all know each other."""
    client = await s.Client(dispatcher).connect()
    for number in range(10 * SERVERS):
        names = s.names("lettura", d=GIVE_UP_MS, volume=VOLUME_B, shard=number % SERVERS)
        reply = await client.ask(s.encode("IO.IN", PIECE, f"{number:016x}", names))
        if reply is None or reply[0] != "served":
            raise RuntimeError(f"a read before the trouble was answered {reply}")
        record(f"client B is answered {reply} to {number:016x}")
        await asyncio.sleep(0.02)
    return client


async def case(record):
    servers = Servers(record)
    discovery = await s.Discovery().start()
    started = [await s.StorageServer(f"s{n}", n, servers.serve).start() for n in range(SERVERS)]
    for server in started:
        discovery.put(server.name, server.address, server.block)
    settings = s.settings(
        s.profile("lettura", "free", goal_ms=300, give_up_ms=GIVE_UP_MS),
        s.profile(
            "scrittura", "guarded", goal_ms=300, give_up_ms=GIVE_UP_MS, scope="all", window_ms=WINDOW_MS
        ),
        shards=SERVERS,
    )
    dispatcher = s.Dispatcher(discovery, settings)
    try:
        record(
            f"settings: class scrittura is guarded, key_scope all, repeat_window_ms {WINDOW_MS}, "
            f"give_up_ms {GIVE_UP_MS}; class lettura is free; second_copies false; {SERVERS} storage servers"
        )
        record(f"the servers drop a repeat of a key for {WINDOW_MS + SLACK_MS} ms behind the first to arrive")
        await dispatcher.start()
        reader = await warm_up(dispatcher, record)
        writer = await s.Client(dispatcher).connect()
        loop = asyncio.get_running_loop()
        sent_at = record.ms()

        async def wait_until(ms):
            await asyncio.sleep(max(0.0, sent_at + ms - record.ms()) / 1000)

        async def write(number, patience_ms):
            request = f"{number:016x}"
            record(f"client A sends {request} k={KEY} d={patience_ms}")
            names = s.names("scrittura", d=patience_ms, k=KEY, volume=VOLUME_A)
            reply = await writer.ask(s.encode("IO.OUT", PIECE, request, names, b"a confirmed segment"))
            record(f"client A is answered {reply} to {request}")
            return reply

        async def read():
            request = f"{0xBB01:016x}"
            record(f"client B sends {request}, a read, d={GIVE_UP_MS}")
            names = s.names("lettura", d=GIVE_UP_MS, volume=VOLUME_B)
            reply = await reader.ask(s.encode("IO.IN", PIECE, request, names))
            record(f"client B is answered {reply} to {request}")

        if s.trouble():
            record("s0 hangs in the middle of its work")
            started[0].hang()
            loop.call_later(HANG_MS / 1000, started[0].go_on)
            loop.call_later(HANG_MS / 1000, record, "s0 goes on")
        reply = await write(0xAA01, FIRST_TRY_MS)
        await wait_until(RETRY_AT_MS - 100)
        reading = asyncio.create_task(read())
        if reply is None:
            raise RuntimeError("the first try got no answer")
        if reply[0] != "served":
            await wait_until(RETRY_AT_MS)
            record(f"client A tries again, {record.ms() - sent_at:.0f} ms after its first try")
            await write(0xAA02, round(sent_at + GIVE_UP_MS - record.ms()))
        await reading
        await wait_until(GIVE_UP_MS + 100)
        record(f"the effect of k={KEY} took place {len(servers.runs)} times: {servers.runs}")
        return len(servers.runs) <= 1
    finally:
        await dispatcher.stop()


s.main(Path(__file__).parent, case)
