"""The planner's service: edges' links, and one step of the planner for each batch of what came by them."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

import anyio
import anyio.lowlevel

from cressrock.http.channel import Stream
from cressrock.interface import NodeList
from cressrock.link import messages
from cressrock.link.connection import EventLog, LinkConnection
from cressrock.link.protocol import (
    LIMIT_LEASES,
    RULE_VERSIONS,
    Closed,
    Link,
    LinkEvent,
    LinkLimits,
    LinkState,
    Opened,
    Role,
)
from cressrock.planner.planner import Planner

FOREVER = float("inf")
TIMER_SLACK_S = 1e-6  # a timer that fires a rounding error too early would find nothing to do


class PlannerServer:
    """Serves edges' links.  `run` steps the planner in one task, once for all that came."""

    def __init__(
        self,
        planner: Planner,
        name: str,
        *,
        clock: Callable[[], float],
        limits: LinkLimits,
        log: EventLog,
    ) -> None:
        """`clock` gives monotonic milliseconds."""
        self.planner = planner
        self.name = name
        self.clock = clock
        self.limits = limits
        self.log = log
        self.sessions: dict[str, EdgeConnection] = {}  # the present one of each edge
        self.subscribe_to_node_list: Callable[[], None] = lambda: None
        self.rule_versions: tuple[str, ...] = ()  # held beside the settings' own
        self.knows_versions = False  # whether this process knows of rule versions at all
        self._wake = anyio.Event()

    def receive_node_list(self, report: NodeList) -> None:
        """Receive a report of the node list."""
        self.planner.receive_node_list(report)
        self.wake()

    def announce_rule_versions(self, versions: tuple[str, ...]) -> None:
        """Announce to all edges which rule versions are held here from now on."""
        if versions == self.rule_versions:
            return
        self.rule_versions = versions
        for session in self.sessions.values():
            if session.hears_rule_versions:
                session.send([messages.RuleVersions(list(versions))])

    def wake(self) -> None:
        """Have the planner step on what came."""
        self._wake.set()

    async def run(self) -> None:
        """Plan until cancelled."""
        self._wake.set()
        wake_at_ms = FOREVER
        while True:
            with anyio.move_on_at(wake_at_ms / 1000 + TIMER_SLACK_S):
                await self._wake.wait()
            await anyio.lowlevel.checkpoint()
            self._wake = anyio.Event()
            result = self.planner.step(self.clock())
            wake_at_ms = result.wake_at_ms
            if result.subscribe:
                self.subscribe_to_node_list()
            for line in result.log_lines:
                self.log.warning("scheduler", text=line)
            for name, orders in result.orders.items():
                session = self.sessions.get(name)
                if session is not None:
                    session.send(orders)

    async def serve(self, stream: Stream) -> None:
        """Serve one edge's connection to its end; when cancelled, its session ends too."""
        capabilities = []
        if self.planner.limits.lease_ms:
            capabilities.append(LIMIT_LEASES)
        if self.knows_versions:
            capabilities.append(RULE_VERSIONS)
        link = Link(
            Role.PLANNER,
            self.name,
            self.clock(),
            epoch=self.planner.epoch,
            capabilities=tuple(capabilities),
            limits=self.limits,
        )
        session = EdgeConnection(self, link, stream)
        reason = "cancelled"
        try:
            reason = await session.connection.run()
        finally:
            self._end_session(session, reason)

    def _end_session(self, session: EdgeConnection, reason: str) -> None:
        if self.sessions.get(session.edge) is session:
            del self.sessions[session.edge]
        if session.edge and self.planner.leave(session.edge, session.number):
            self.log.info("planner.edge_left", edge=session.edge, reason=reason)
            self.wake()


class EdgeConnection:
    """One edge's connection: passes its events to the planner and the planner's orders to it."""

    def __init__(self, server: PlannerServer, link: Link, stream: Stream) -> None:
        """Serve one accepted stream."""
        self.connection = LinkConnection(link, stream, self, server.clock)
        self.edge = ""  # its name, once it has joined
        self.number = 0  # of its session at the planner
        self.hears_rule_versions = False
        self._server = server
        self._link = link
        self._pending: deque[messages.PlannerOrder] = deque()

    def send(self, orders: list[messages.PlannerOrder]) -> None:
        """Queue orders and have them sent."""
        self._pending.extend(orders)
        self.connection.wake()

    def handle_events(self, events: list[LinkEvent]) -> str | None:
        """Pass on what the link reported; return why it is over, if it is."""
        for event in events:
            match event:
                case Opened():
                    if (reason := self._join(event)) is not None:
                        return reason
                case Closed(reason):
                    return reason
                case _ if isinstance(event, messages.EdgeEvent):
                    if not self._receive(event):
                        self._link.close("this edge has joined by another connection")
                        return "fenced"
        return None

    def _join(self, opened: Opened) -> str | None:
        """Begin the edge's session; return why the link is over, if it is."""
        server = self._server
        if (LIMIT_LEASES in opened.capabilities) != bool(server.planner.limits.lease_ms):
            # Danger: one makes units of the limits and the other leases them: twice the limit.
            self._link.close("pair.edges: set it at this edge and its planner, or at neither")
            return "no agreement on who holds the limits"
        number = server.planner.join(opened.peer, opened.incarnation, server.clock())
        if number is None:
            self._link.close("no more edges are taken")
            return "too many edges"
        self.edge, self.number = opened.peer, number
        self.hears_rule_versions = RULE_VERSIONS in opened.capabilities
        if self.hears_rule_versions:
            self._pending.append(messages.RuleVersions(list(server.rule_versions)))
        server.sessions[opened.peer] = self
        server.log.info("planner.edge_joined", edge=opened.peer, incarnation=opened.incarnation)
        return None

    def _receive(self, event: messages.EdgeEvent) -> bool:
        """Pass an event to the planner.  False where this edge has joined by another connection."""
        server = self._server
        accepted = server.planner.receive_event(self.edge, self.number, event, server.clock())
        if not accepted and server.sessions.get(self.edge) is not self:
            return False
        self._link.return_credit(1)
        server.wake()
        return True

    def send_pending(self) -> None:
        """Send the orders that wait, as far as the edge gave credit."""
        while self._pending and self._link.state is LinkState.OPEN and self._link.credit > 0:
            self._link.send(self._pending.popleft())

    def next_send_ms(self) -> float:
        """Return infinity: orders are sent when the planner steps."""
        return FOREVER
