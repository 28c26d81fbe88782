"""The edge's link to its planners: a carrier.  It connects, feeds the link's state, and keeps its times."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.disposition import ReconnectBackoff
from cressrock.http.channel import BROKEN, Stream
from cressrock.link.connection import LinkCarrier
from cressrock.link.protocol import LENDING, RULE_VERSIONS, Closed, Link, LinkLimits, Opened, Role, State

Connect = Callable[[str, int], Awaitable[Stream]]


class PlannerLink:
    """Keeps an edge joined to one planner of its list."""

    def __init__(
        self,
        core: EdgeDecisions,
        reconnect: ReconnectBackoff,
        connect: Connect,
        poke: Callable[[], None],
        *,
        name: str,
        incarnation: str,
        clock: Callable[[], float],
        limits: LinkLimits,
        log: Any,
    ) -> None:
        """`poke` asks the driver for a turn; `clock` is the driver's, in milliseconds."""
        self.core = core
        self.reconnect = reconnect
        self.connect = connect
        self.poke = poke
        self.name = name
        self.life = incarnation
        self.clock = clock
        self.bounds = limits
        self.log = log
        self.joins = 0

    async def run(self) -> None:
        """Serve until cancelled: join, serve the link to its end, join again."""
        while True:
            at, address = self.reconnect.next()
            await anyio.sleep(max(0.0, at - self.clock()) / 1000)
            host, _, port = address.rpartition(":")
            why = "not reached"
            try:
                with anyio.move_on_after(self.bounds.greeting_ms / 1000):
                    stream = await self.connect(host, int(port))
                    why = ""
            except BROKEN as failed:
                why = str(failed) or "not reached"
            if not why:
                try:
                    why = await self._serve(stream, address)
                except Exception as error:  # noqa: BLE001  a defect; the edge's promises outlive its link
                    self.log.error("defect", error=repr(error), exc_info=error)
                    why = "a defect of this edge"
            self.core.planner_lost(self.clock())
            self.reconnect.lost(self.clock())
            self.poke()
            self.log.warning("planner away", planner=address, why=why)

    async def _serve(self, stream: Stream, address: str) -> str:
        """Serve one connection to its end; returns why it ended."""
        can = {LENDING: self.core.quota is not None, RULE_VERSIONS: self.core.knows_versions}
        able = tuple(name for name, it_does in can.items() if it_does)
        link = Link(
            Role.EDGE, self.name, self.clock(), incarnation=self.life, capabilities=able, bounds=self.bounds
        )
        carrier = LinkCarrier(
            link,
            stream,
            self.clock,
            told=lambda told: self._told(link, told, address),
            fill=lambda: self._fill(link),
            due=self.core.next_tick,
        )
        self.core.when_outbox = carrier.wake
        return await carrier.run()

    def _told(self, link: Link, told: list[Any], address: str) -> str | None:
        """Hand on what the link told; returns why it is over, if it is."""
        for one in told:
            match one:
                case Opened():
                    if (LENDING in one.capabilities) != (self.core.quota is not None):
                        link.close("pair.edges: set it at this planner and its edges, or at neither")
                        return "no agreement on who holds the limits"
                    versioned = RULE_VERSIONS in one.capabilities
                    if not self.core.planner_joined(address, one.epoch, self.clock(), versioned=versioned):
                        newest = self.core.grants.newest.get(address, 0)
                        link.close(f"epoch {one.epoch} is over, {newest} was seen")
                        return "its epoch is over"
                    self.joins += 1
                    self.reconnect.reached()
                    self.log.info("planner joined", planner=address, epoch=one.epoch)
                    self.poke()
                case Closed(reason):
                    return reason
                case _:
                    self.core.receive_order(address, one)
                    link.taken(1)
                    self.poke()
        return None

    def _fill(self, link: Link) -> None:
        """Send what waits to go up, as far as the planner gave credit; else at least the time."""
        if self.core.grants.planner is None or link.state is not State.OPEN:
            return
        self.core.tick(self.clock())
        while self.core.outbox and link.credit > 0:
            link.send(self.core.next_up(self.clock()))
