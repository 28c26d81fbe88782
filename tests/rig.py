"""One dispatcher and simulated storage nodes in simulated time, for tests that connect to its socket."""

import anyio

from cressrock.dispatch.spool import PayloadStore
from cressrock.lab.client import Client
from cressrock.lab.day import EPOCH_MS, _Silent, simulate
from cressrock.lab.hall import Hall
from cressrock.lab.listing import Listing
from cressrock.lab.model import Meter
from cressrock.lab.node import Rates
from cressrock.lab.serve import lab_settings
from cressrock.lab.simnet import SimNet
from cressrock.programs.composition import Environment
from cressrock.programs.gateway import Gateway
from cressrock.settings.load import convert


class Rig:
    """A gateway on a simulated network (`net`) with simulated nodes (`hall`).

    `rows` records the events at nodes and clients.
    """

    def __init__(self, seed=1, shards=3, machine=None, changes=None):
        self.seed, self.shards, self.machine, self.changes = seed, shards, machine, changes or {}
        self.rows = []

    async def __aenter__(self):
        self.group = anyio.create_task_group()
        self.tasks = await self.group.__aenter__()
        self.net = SimNet(self.tasks, self.seed)
        self.store = PayloadStore(memory_bytes=1 << 28, spill_bytes=1 << 20)
        self.listing = Listing(clock=self.clock, seed=self.seed)
        self.hall = Hall(
            self.tasks,
            self._open,
            self.clock,
            self.wall,
            self.seed,
            [self.machine],
            10000.0,
            Meter(1000.0, 300.0),
            Rates(),
            self.store,
            self.listing,
            self.rows.append,
        )
        for shard in range(self.shards):
            await self.hall.start(shard, f"n{shard}:7000")
        self.hall.publish()
        self.net.listen("list:9000", self.listing.serve)
        value = lab_settings("list:9000", "127.0.0.1:8080", self.shards)
        for place, part in self.changes.items():
            value[place] = value.get(place, {}) | part if isinstance(part, dict) else part
        self.settings = convert("rig", value)
        self.gateway = Gateway(self.settings, Environment(self.net.connect, self.wall, self.seed, _Silent()))
        await self.tasks.start(self.gateway.run)
        self.net.listen("gw:80", self.gateway.serve)
        self.client = self.new_client()
        while self.gateway.not_ready_reasons():
            await anyio.sleep(0.01)
        return self

    async def __aexit__(self, *error):
        self.tasks.cancel_scope.cancel()
        return await self.group.__aexit__(*error)

    def new_client(self):
        return Client(self.net.connect, "gw:80", "lab", self.tasks, self.clock, self.rows.append)

    def clock(self):
        return anyio.current_time() * 1000

    def wall(self):
        return EPOCH_MS + self.clock()

    async def _open(self, address, serve):
        self.net.listen(address, serve)

        async def close():
            self.net.close(address)

        return address, close

    async def ask(
        self, method, target, body=b"", patience_ms=30000, name=None, leave_after_ms=None, **fields
    ):
        headers = [(k.replace("_", "-").encode(), str(v).encode()) for k, v in fields.items()]
        return await self.client.request(
            name or f"t{len(self.rows)}",
            method,
            target,
            headers=headers,
            body=body,
            patience_ms=patience_ms,
            leave_after_ms=leave_after_ms,
        )

    async def raw(self, data, wait=1.0, close=False):
        """Send bytes unchanged and return everything received within `wait` seconds."""
        stream = await self.net.connect("gw", 80)
        await stream.send(data)
        got = b""
        with anyio.move_on_after(wait):
            while True:
                try:
                    got += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
        await stream.aclose()
        return got

    def home(self, path, volume="demo"):
        from cressrock.webdav.placement import home

        return home(path, tuple(self.settings.volumes[volume].shards))

    def node(self, path):
        return self.hall.node_of(self.home(path))

    def at_nodes(self, what="came", method=None):
        return [r for r in self.rows if r.side == "node" and r.what == what and method in (None, r.method)]


def run(program, **options):
    """Run an async test function with a Rig in simulated time."""

    async def main():
        async with Rig(**options) as rig:
            await program(rig)

    simulate(main, options.get("seed", 1))
