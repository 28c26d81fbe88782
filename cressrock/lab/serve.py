"""`cressrock lab serve`: a dispatcher and its stand-ins on loopback, until interrupted."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import anyio

from cressrock import net
from cressrock.dispatch.spool import PayloadStore
from cressrock.http.server import Server
from cressrock.lab.hall import Close, Hall, Serve
from cressrock.lab.listing import Listing
from cressrock.lab.model import Machine, Meter
from cressrock.lab.node import Rates
from cressrock.programs.composition import Environment
from cressrock.programs.gateway import Gateway
from cressrock.settings.load import convert, evaluate_text

SETTINGS = """
local c = import 'cressrock.libsonnet';
{
  name: 'lab',
  classes: c.classes,
  plans: c.plans {
    base: { weight: 1, rate: 20, reserve: 10, limit_rate: 60, limit_burst: 60, limit_slack: 8 },
  },
  volumes: {
    demo: c.volume(std.range(0, SHARDS - 1)),
    memories: c.volume(std.range(0, SHARDS - 1)),
    archive: c.volume([0], plan='base'),
  },
  node_list: { address: 'LIST', poll_ms: 200 },
  front: { listen: 'LISTEN' },
  observe: OBSERVE,
}
"""


def lab_settings(
    listing: str, listen: str, shards: int, admin: str | None = None, level: str = "info"
) -> Any:
    """Return the settings of the laboratory's dispatcher, evaluated."""
    text = (
        SETTINGS.replace("SHARDS", str(shards))
        .replace("LIST'", f"{listing}'")
        .replace("LISTEN'", f"{listen}'")
    )
    observe = {"level": level} | ({"admin": admin} if admin else {})
    return evaluate_text("lab.jsonnet", text.replace("OBSERVE", json.dumps(observe)))


async def serve_lab(
    *,
    listen: str,
    seed: int,
    shards: int,
    modelled: bool,
    admin: str,
    log: Any,
    ready: Callable[[dict[str, Any]], None],
    settings: Any = None,
) -> None:
    """Serve until cancelled.  `modelled` gives the nodes a queue and a speed; else they answer at once."""
    async with anyio.create_task_group() as tasks:
        hall, listing_address = await open_hall(tasks, seed=seed, shards=shards, modelled=modelled)
        value = settings or lab_settings(listing_address, listen, shards)
        value["node_list"]["address"] = listing_address
        checked = convert("lab settings", value)
        gateway = Gateway(checked, Environment(net.connect, net.wall_ms, seed, log))
        await tasks.start(gateway.run)
        address, _ = await net.listen(listen, gateway.serve, tasks, setting="--listen", log=log)
        admin_server = Server(
            gateway.admin.handle, checked.front.bounds, max_connections=64, failed=_failed(log)
        )
        admin_address, _ = await net.listen(admin, admin_server.serve, tasks, setting="--admin", log=log)
        while gateway.not_ready_reasons():
            await anyio.sleep(0.01)
        ready(
            {
                "address": address,
                "url": f"http://{address}/demo/",
                "admin": admin_address,
                "nodes": sorted(hall.places),
                "seed": seed,
            }
        )
        await anyio.sleep_forever()


async def open_hall(
    tasks: anyio.abc.TaskGroup, *, seed: int, shards: int, modelled: bool, listen: str = "127.0.0.1:0"
) -> tuple[Hall, str]:
    """Start the stand-ins on loopback; returns the hall and the address of its list."""

    def clock() -> float:
        return anyio.current_time() * 1000

    async def open_address(address: str, serve: Serve) -> tuple[str, Close]:
        return await net.listen(address, serve, tasks, setting="a stand-in")

    machine = Machine() if modelled else None
    store = PayloadStore(memory_bytes=1 << 28, spill_bytes=1 << 20)
    listing = Listing(clock=clock, seed=seed)
    hall = Hall(
        tasks,
        open_address,
        clock,
        net.wall_ms,
        seed,
        [machine],
        10000.0,
        Meter(1000.0, 300.0),
        Rates({"archive": 20.0}),
        store,
        listing,
    )
    for shard in range(shards):
        await hall.start(shard, "127.0.0.1:0")
    hall.publish()
    address, _ = await net.listen(listen, listing.serve, tasks, setting="--listen")
    return hall, address


def _failed(log: Any) -> Callable[[BaseException], None]:
    return lambda error: log.error("defect", error=repr(error), exc_info=error)
