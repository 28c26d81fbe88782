"""The planner program's carrier: links of edges, the node list, and a step of the planner for each batch."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel

from cressrock.http.channel import Stream
from cressrock.interface import NodeList
from cressrock.link import messages as m
from cressrock.link.connection import LinkCarrier
from cressrock.link.protocol import (
    LENDING,
    RULE_VERSIONS,
    Closed,
    Link,
    LinkLimits,
    Opened,
    OutOfCredit,
    Role,
)
from cressrock.planner.planner import Planner

FOREVER = float("inf")


class _Session:
    """One edge's connection."""

    def __init__(self, link: Link) -> None:
        self.link = link
        self.carrier: LinkCarrier | None = None
        self.waiting: deque[m.Order] = deque()
        self.edge = ""
        self.number = 0
        self.hears_rules = False


class PlannerServer:
    """Serves edges' links.  `step` runs in one task, one step for all that came."""

    def __init__(
        self, planner: Planner, name: str, *, clock: Callable[[], float], limits: LinkLimits, log: Any
    ) -> None:
        """`clock` gives monotonic milliseconds."""
        self.planner = planner
        self.name = name
        self.clock = clock
        self.bounds = limits
        self.log = log
        self.sessions: dict[str, _Session] = {}
        self.subscribe_to_node_list: Callable[[], None] = lambda: None
        self.rules: tuple[str, ...] = ()  # versions held beside the settings' own
        self.knows_versions = False  # whether this process knows of versions at all
        self._news = anyio.Event()

    def receive_node_list(self, report: NodeList) -> None:
        """Take in news of the node list."""
        self.planner.receive_node_list(report)
        self._news.set()

    def announce_rule_versions(self, versions: tuple[str, ...]) -> None:
        """Tell all edges which versions of the rules are held here from now on."""
        if versions == self.rules:
            return
        self.rules = versions
        for session in self.sessions.values():
            if session.hears_rules:
                session.waiting.append(m.RuleVersions(list(versions)))
                if session.carrier is not None:
                    session.carrier.wake()

    async def run(self) -> None:
        """Plan until cancelled."""
        self._news.set()
        wake = FOREVER
        while True:
            with anyio.move_on_at(wake / 1000 + 1e-6):
                await self._news.wait()
            await anyio.lowlevel.checkpoint()
            self._news = anyio.Event()
            outcome = self.planner.step(self.clock())
            wake = outcome.wake_at_ms
            if outcome.subscribe:
                self.subscribe_to_node_list()
            for line in outcome.lines:
                self.log.warning("scheduler", text=line)
            for name, orders in outcome.orders.items():
                session = self.sessions.get(name)
                if session is not None:
                    session.waiting.extend(orders)
                    if session.carrier is not None:
                        session.carrier.wake()

    async def serve(self, stream: Stream) -> None:
        """Serve one edge's connection to its end."""
        link = Link(
            Role.PLANNER,
            self.name,
            self.clock(),
            epoch=self.planner.epoch,
            capabilities=((LENDING,) if self.planner.bounds.lease_ms else ())
            + ((RULE_VERSIONS,) if self.knows_versions else ()),
            bounds=self.bounds,
        )
        session = _Session(link)
        session.carrier = LinkCarrier(
            link,
            stream,
            self.clock,
            told=lambda told: self._told(session, told),
            fill=lambda: self._fill(session),
        )
        why = "cancelled"
        try:
            why = await session.carrier.run()
        finally:
            if self.sessions.get(session.edge) is session:
                del self.sessions[session.edge]
            if session.edge and self.planner.leave(session.edge, session.number):
                self.log.info("edge left", edge=session.edge, why=why)
                self._news.set()

    def _told(self, session: _Session, told: list[Any]) -> str | None:
        for one in told:
            match one:
                case Opened():
                    lends = LENDING in one.capabilities
                    if lends != bool(self.planner.bounds.lease_ms):
                        # Danger: one makes units of the limits and the other lends them: twice the limit.
                        session.link.close("pair.edges: set it at this edge and its planner, or at neither")
                        return "no agreement on who holds the limits"
                    number = self.planner.join(one.peer, one.life, self.clock())
                    if number is None:
                        session.link.close("no more edges are taken")
                        return "too many edges"
                    session.edge, session.number = one.peer, number
                    session.hears_rules = RULE_VERSIONS in one.capabilities
                    if session.hears_rules:
                        session.waiting.append(m.RuleVersions(list(self.rules)))
                    self.sessions[one.peer] = session
                    self.log.info("edge joined", edge=one.peer, life=one.life)
                case Closed(reason):
                    return reason
                case _:
                    if not self.planner.receive_event(session.edge, session.number, one, self.clock()) and (
                        self.sessions.get(session.edge) is not session
                    ):
                        session.link.close("this edge has joined by another connection")
                        return "fenced"
                    session.link.taken(1)
                    self._news.set()
        return None

    def _fill(self, session: _Session) -> None:
        while session.waiting:
            try:
                session.link.send(session.waiting[0])
            except (OutOfCredit, ValueError):
                return
            session.waiting.popleft()
