"""Drills on volumes with copies: zones of stand-in nodes, clients with histories, and what goes wrong.

The volume `cv` has one shard in each zone.  Its clients write values that come once each, and read; what they
saw is judged by `lab.histories`, each path apart.  Node stores outlive node processes (a rack); `older` puts
one back as a backup held it.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

import anyio

from cressrock.lab.client import Client, Seen
from cressrock.lab.common import Common, Told
from cressrock.lab.drill import Drill
from cressrock.lab.histories import FOREVER, Operation, Verdict, judge
from cressrock.lab.rack import Rack

VOLUME = "cv"
ZONES = {"za": ("za", "r0"), "zb": ("zb", "r0"), "zc": ("zc", "r1")}


@dataclass(frozen=True, slots=True)
class Load:
    """What clients do: `clients` of each gateway, over `paths` paths, a part of them writes."""

    clients: int = 3
    paths: int = 4
    writes: float = 0.5
    deletes: float = 0.1
    pause_ms: float = 25.0
    patience_ms: float = 4000.0


def common(
    shards: Mapping[str, list[int]], seats: list[str], edges: int, *, hold_ms: float = 4000.0, **figures: Any
) -> Common:
    """Return the settings of such a drill: `shards` are the volume's copies by zone, the first zone's first.

    Gateways and planners stand in the zones in turn.
    """
    names = list(shards)
    zones = {f"d{i}": (z, ZONES[z][1]) for i in range(edges) for z in [names[i % len(names)]]}
    zones |= {seat: (z, ZONES[z][1]) for i, seat in enumerate(seats) for z in [names[i % len(names)]]}

    def more(drill: Drill, name: str, value: dict[str, Any]) -> None:
        value["copies"] = {
            "regions": {zone: ZONES[zone][1] for zone in names},
            "back_least_ms": 500.0,
            **figures,
        }
        value["volumes"][VOLUME] = {
            "shards": shards[names[0]],
            "plan": sorted(value["plans"])[-1],
            "copies": dict(shards),
        }

    return Common(seats=seats, zones=zones, hold_ms=hold_ms, more=more)


class CopyDrill(Told):
    """A told drill whose volume `cv` has copies; `shards` gives them by zone."""

    def __init__(
        self, *given: Any, shards: Mapping[str, list[int]], load: Load | None = None, **more: Any
    ) -> None:
        """All else is as for `Told`."""
        super().__init__(*given, **more)
        self.copies = shards
        self.client_load = load or Load()
        self.history: list[tuple[str, Operation]] = []  # with the gateway's name
        self.asked = 0
        self.over_by: dict[str, int] = {}
        self.running = True
        self.draw = random.Random(self.script.seed * 977 + 5)
        self.gone: dict[str, dict[int, str]] = {}
        self.acked = anyio.Event()
        self.pauses_ms: list[tuple[float, str]] = []  # when each write was acknowledged

    def _facts(self) -> dict[str, Any]:
        facts = super()._facts()
        first = next(iter(self.copies.values()))
        plan = sorted(facts["plans"])[-1]
        facts["volumes"][VOLUME], facts["lies"][VOLUME] = plan, first
        facts["shards"][VOLUME], facts["writers"][VOLUME] = len(first), 1
        return facts

    # --- clients

    async def serve_clients(self) -> None:
        """Let clients work until `running` is false; each gateway has its own."""
        async with anyio.create_task_group() as tasks:
            for dispatcher in self.dispatchers:
                for _ in range(self.client_load.clients):
                    tasks.start_soon(self._client, dispatcher, random.Random(self.draw.getrandbits(60)))

    def _line(self, dispatcher: Any) -> Client:
        return Client(
            self._connect, dispatcher.address, dispatcher.name, self.tasks, self.clock, lambda row: None
        )

    async def _client(self, dispatcher: Any, draw: random.Random) -> None:
        load = self.client_load
        line = self._line(dispatcher)
        while self.running:
            line.address = dispatcher.address
            path = f"/{VOLUME}/p{draw.randrange(load.paths)}"
            kind = "GET"
            if draw.random() < load.writes:
                kind = "DELETE" if draw.random() < load.deletes else "PUT"
            await self.one(line, dispatcher.name, kind, path)
            await anyio.sleep(load.pause_ms / 1000 * draw.uniform(0.5, 1.5))

    async def one(self, line: Client, gateway: str, kind: str, path: str) -> Seen:
        """Make one request and enter what was seen."""
        self.asked += 1
        value = f"{gateway}-{self.asked}"
        called = self.clock()
        seen = await line.request(
            f"c{self.asked}",
            kind,
            path,
            body=value.encode() if kind == "PUT" else b"",
            patience_ms=self.client_load.patience_ms,
        )
        now = self.clock()
        self._enter(gateway, kind, path, value, called, now, seen)
        what = "ok" if seen.status in (200, 201, 204, 404) else f"{kind} {seen.status}"
        self.over_by[what] = self.over_by.get(what, 0) + 1
        return seen

    def _enter(
        self, gateway: str, kind: str, path: str, value: str, called: float, now: float, seen: Seen
    ) -> None:
        status = seen.status
        if kind == "GET":
            if status in (200, 404) and seen.how == "answered":
                found = seen.body.decode() if status == 200 else None
                self.history.append((gateway, Operation(path, "read", called, now, result=found)))
        elif kind == "DELETE" and status == 404:
            self.history.append((gateway, Operation(path, "read", called, now, result=None)))
        elif status == 503 or (status == 0 and seen.how == "not connected"):
            pass  # refused: it promised that nothing ran, so its value must never be read
        else:
            known = status in (201, 204)
            if known:
                self.pauses_ms.append((now, gateway))
                acked, self.acked = self.acked, anyio.Event()
                acked.set()
            self.history.append(
                (
                    gateway,
                    Operation(
                        path, "write", called, now if known else FOREVER, None if kind == "DELETE" else value
                    ),
                )
            )

    # --- what goes wrong

    async def lose(self, zone: str) -> None:
        """End all nodes of a zone at once."""
        for shard in self.copies[zone]:
            name = self.hall.node_of(shard).name
            self.gone.setdefault(zone, {})[shard] = name
            await self.hall.kill(name)
        self.hall.publish()

    async def back(self, zone: str, older: Mapping[int, Rack] | None = None) -> None:
        """Start the nodes of a zone again, on their stores or on older ones."""
        for shard, name in self.gone.pop(zone).items():
            if older is not None:
                self.hall.racks[shard] = older[shard]
            await self.hall.start(shard, name)
        self.hall.publish()

    def backup(self, zone: str) -> dict[int, Rack]:
        """Return a zone's stores as they are now."""
        return {
            shard: self.hall.racks[shard].snapshot(f"backup{self.clock():.0f}") for shard in self.copies[zone]
        }

    # --- what is seen

    @property
    def reads(self) -> int:
        """How many reads were answered."""
        return sum(one.kind == "read" for _, one in self.history)

    async def answered_by_copies(self, count: int) -> None:
        """Wait until so many further operations on the volume with copies were answered."""
        wanted = len(self.history) + count

        async def enough() -> bool:
            return len(self.history) >= wanted

        await self.until(f"{count} answers by copies", enough)

    async def acknowledged(self) -> None:
        """Wait until the next write is acknowledged."""
        with anyio.fail_after(30):
            await self.acked.wait()

    async def sets(self) -> list[dict[str, Any]]:
        """Return the sets of all shards as the newest of any gateway."""
        best: dict[str, dict[str, Any]] = {}
        for dispatcher in self.dispatchers:
            status = await self.ask(dispatcher.name)
            for topic, found in (((status or {}).get("copies") or {}).get("sets") or {}).items():
                if found and found["epoch"] > best.get(topic, {"epoch": 0})["epoch"]:
                    best[topic] = found
        return [best[topic] for topic in sorted(best)]

    async def all_in(self) -> bool:
        """Whether every copy of every shard is in, for every gateway that answers."""
        for dispatcher in self.dispatchers:
            status = await self.ask(dispatcher.name)
            sets = ((status or {}).get("copies") or {}).get("sets") or {}
            if len(sets) != len(next(iter(self.copies.values()))):
                return False
            for found in sets.values():
                if not found or not found["counts"] or set(found["copies"].values()) != {"in"}:
                    return False
        return True

    async def firsts(self) -> list[str]:
        """Return the zone of each shard's first copy."""
        return [found["first"] for found in await self.sets()]

    def at_nodes(self) -> dict[str, dict[str, str | None]]:
        """Return what the stores themselves hold of each path, by zone."""
        found: dict[str, dict[str, str | None]] = {}
        for zone, shards in self.copies.items():
            mine = found.setdefault(zone, {})
            for shard in shards:
                fence = self.hall.racks[shard].copies.fences.get(VOLUME)
                for key, record in (fence.records if fence is not None else {}).items():
                    mine[key] = f"{record.at} {record.kind}"
        return found

    async def read_all(self) -> int:
        """Read every path by every gateway; returns how many were not answered."""
        unread = 0
        for dispatcher in self.dispatchers:
            line = self._line(dispatcher)
            for index in range(self.client_load.paths):
                seen = await self.one(line, dispatcher.name, "GET", f"/{VOLUME}/p{index}")
                unread += seen.status not in (200, 404)
        return unread

    def verdicts(self, stale: Mapping[str, list[tuple[float, float]]] | None = None) -> dict[str, Verdict]:
        """Judge the history.  `stale`: spans in which a gateway was cut off from the council's word.

        Its reads then are held to bounded staleness: current at some moment since the span's begin.
        """
        found = []
        for gateway, one in self.history:
            for begin, end in (stale or {}).get(gateway, ()):
                if one.kind == "read" and begin <= one.called <= end:
                    one = replace(one, called=begin)
            found.append(one)
        return judge(found, 300_000)

    def longest_gap_ms(self, begin: float, end: float) -> float:
        """Return the longest time without any acknowledged write."""
        times = [begin, *sorted(t for t, _ in self.pauses_ms if begin <= t <= end), end]
        return max(b - a for a, b in zip(times, times[1:], strict=False))
