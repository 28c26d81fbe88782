"""Drills on common ground: settings of fleet and council for a drill's processes, and how to ask them.

`extend` goes to a `Drill`: each process gets its place in the fleet and its way to the council, every pair by
relays of its own; planners named as seats hold one, with a store in the drill's folder.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import anyio

from cressrock import net
from cressrock.errors.lab import StepNotReachedError
from cressrock.lab.drill import Drill

PERIOD_MS = 200.0  # of the fleet's protocol; short, so that a drill is
MOST_MS = 60000.0  # how long a condition may take before it counts as never reached


@dataclass(frozen=True, slots=True)
class Common:
    """What is on in a drill.  `zones` gives (zone, region) by name; `seats` the planners that hold one."""

    seats: Sequence[str] = ()
    zones: Mapping[str, tuple[str, str]] = field(default_factory=dict)
    period_ms: float = PERIOD_MS
    election_ms: float = 600.0
    hold_ms: float = 4000.0
    more: Callable[[Drill, str, dict[str, Any]], None] = lambda drill, name, value: None

    def extend(self, drill: Drill, name: str, value: dict[str, Any]) -> None:
        """Add fleet and council to a process's settings."""
        names = [*(p.name for p in drill.planners), *(d.name for d in drill.dispatchers)]
        others = [one for one in names if one != name]
        routes = {one: drill.address(name, one, "fleet") for one in others}
        zone, region = self.zones.get(name, ("", ""))
        value["observe"] = {**(value.get("observe") or {}), "admin": "127.0.0.1:0"}
        # The first planners are the seeds; with one of them dead the others do.
        seeds = [routes[p.name] for p in drill.planners if p.name != name] or list(routes.values())
        value["fleet"] = {
            "listen": "127.0.0.1:0",
            "seeds": seeds[:64],
            "routes": routes,
            "zone": zone,
            "region": region,
            "period_ms": self.period_ms,
            "ride_out_ms": 2 * self.period_ms,
            "life_file": str(drill.kept / f"{name}.life"),
        }
        if self.seats:
            seats = {one: drill.address(name, one, "council") for one in self.seats if one != name}
            own = {name: "127.0.0.1:1"} if name in self.seats else {}
            value["council"] = {
                "seats": seats | own,
                "listen": "127.0.0.1:0",
                "store": str(drill.kept / f"{name}.seat") if own else None,
                "seen_file": str(drill.kept / f"{name}.seen"),
                "election_ms": self.election_ms,
                "heartbeat_ms": self.election_ms / 6,
                "renew_ms": self.election_ms,
                "hold_ms": max(self.hold_ms, 5 * self.election_ms),
            }
        self.more(drill, name, value)


Story = Callable[["Told"], Any]


class Told(Drill):
    """A drill whose steps are a coroutine: it may ask the processes by their admin ports, as operators do."""

    def __init__(self, *given: Any, story: Story, **more: Any) -> None:
        """`story(drill)` is awaited in place of the steps; what else it takes is as for `Drill`."""
        super().__init__(*given, **more)
        self.story = story

    async def _steps(self) -> None:
        try:
            await self.story(self)
        except StepNotReachedError as wrong:
            self.findings.append(f"{self.clock() / 1000:.2f} s: {wrong}")

    def names(self) -> list[str]:
        """Return every process's name."""
        return [*(p.name for p in self.planners), *(d.name for d in self.dispatchers)]

    async def ask(self, name: str, target: str = "/v1/status", body: Any = None, method: str = "") -> Any:
        """Return the JSON that a process's admin port answers; None where it does not answer."""
        lives = self.processes.lives.get(name)
        if not lives or lives[-1].code is not None:
            return None
        line = lives[-1].last.get("serving") or lives[-1].last.get("planning")
        if line is None or not line[1].get("admin"):
            return None
        host, _, port = str(line[1]["admin"]).rpartition(":")
        data = b"" if body is None else json.dumps(body).encode()
        verb = method or ("GET" if body is None else "POST")
        head = (
            f"{verb} {target} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(data)}\r\nconnection: close\r\n\r\n"
        )
        found = b""
        with anyio.move_on_after(5):
            try:
                stream = await net.connect(host, int(port))
                try:
                    await stream.send(head.encode() + data)
                    while True:
                        found += await stream.receive(65536)
                except anyio.EndOfStream:
                    pass
                finally:
                    await stream.aclose()
            except (OSError, anyio.BrokenResourceError):
                return None
        _, _, text = found.partition(b"\r\n\r\n")
        try:
            return json.loads(text)
        except ValueError:
            return None

    async def until(self, what: str, condition: Callable[[], Any], most_ms: float = MOST_MS) -> None:
        """Wait until an awaited condition is true.  Raises StepNotReached."""
        begin = self.run_ms()
        while not await condition():
            if self.run_ms() - begin > most_ms:
                raise StepNotReachedError(f"{what} did not come in {most_ms / 1000:g} s")
            await anyio.sleep(0.05)
        self.marks.append((self.clock(), what))

    async def answered(self, count: int, most_ms: float = MOST_MS) -> None:
        """Wait until so many further requests were answered.  Raises StepNotReached."""
        wanted = self.over + count

        async def enough() -> bool:
            return self.over >= wanted

        await self.until(f"{count} answers", enough, most_ms)

    async def states(self, name: str) -> dict[str, str]:
        """Return the states of all members as a process sees them."""
        status = await self.ask(name)
        fleet = (status or {}).get("fleet") or {}
        return {member["name"]: member["state"] for member in fleet.get("members", [])}

    async def sees(self, wanted: Mapping[str, str], *, by: Sequence[str]) -> bool:
        """Whether each of these processes sees those members in those states."""
        for name in by:
            found = await self.states(name)
            if any(found.get(other) != state for other, state in wanted.items()):
                return False
        return True

    async def until_leader(self) -> str:
        """Wait until a majority names a leader, and return it.  Raises StepNotReached."""
        named = ""

        async def is_named() -> bool:
            nonlocal named
            named = await self.leader()
            return bool(named)

        await self.until("a leader", is_named)
        return named

    async def leader(self) -> str:
        """Return the seat that leads by its own word and that of a majority; "" without one."""
        votes: dict[str, int] = {}
        for planner in self.planners:
            status = await self.ask(planner.name)
            seat = ((status or {}).get("fleet") or {}).get("seat") or {}
            if seat.get("leader"):
                votes[seat["leader"]] = votes.get(seat["leader"], 0) + 1
        for name, count in votes.items():
            if 2 * count > len(self.planners):
                return name
        return ""
