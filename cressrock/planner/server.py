"""Serves the edges' links and runs one planner step for each batch of their events."""

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

NEVER_MS = float("inf")
TIMER_SLACK_S = 1e-6  # without it, a timer may fire a rounding error before its deadline, when nothing is due


class PlannerServer:
    """Serves the edges' links.  A single task, `run`, steps the planner for all of them."""

    def __init__(
        self,
        planner: Planner,
        name: str,
        *,
        clock: Callable[[], float],
        limits: LinkLimits,
        log: EventLog,
    ) -> None:
        """`clock` returns monotonic milliseconds; `name` is sent to the edges in the handshake."""
        self.planner = planner
        self.name = name
        self.clock = clock
        self.limits = limits
        self.log = log
        self.sessions: dict[str, EdgeConnection] = {}  # current connection by edge name
        self.subscribe_to_node_list: Callable[[], None] = lambda: None
        self.rule_versions: tuple[str, ...] = ()  # in addition to the rules of the settings
        self.knows_versions = False  # whether this process supports rule versions
        self._wake = anyio.Event()

    def receive_node_list(self, report: NodeList) -> None:
        """Apply a node list to the planner and schedule a step."""
        self.planner.receive_node_list(report)
        self.wake()

    def announce_rule_versions(self, versions: tuple[str, ...]) -> None:
        """Tell all edges that support rule versions which ones this planner holds from now on."""
        if versions == self.rule_versions:
            return
        self.rule_versions = versions
        for session in self.sessions.values():
            if session.accepts_rule_versions:
                session.send([messages.RuleVersions(list(versions))])

    def wake(self) -> None:
        """Schedule a planner step."""
        self._wake.set()

    async def run(self) -> None:
        """Step the planner on each wake-up and timer, and send its orders, until cancelled."""
        self._wake.set()
        wake_at_ms = NEVER_MS
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
        """Serve one edge's connection until it ends, and its session with it, also on cancellation."""
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
    """One edge's connection: passes its events to the planner, and the planner's orders to the edge."""

    def __init__(self, server: PlannerServer, link: Link, stream: Stream) -> None:
        """Handle `link` over an accepted stream."""
        self.connection = LinkConnection(link, stream, self, server.clock)
        self.edge = ""  # the edge's name, empty until it has joined
        self.number = 0  # of the edge's session at the planner
        self.accepts_rule_versions = False
        self._server = server
        self._link = link
        self._pending: deque[messages.PlannerOrder] = deque()

    def send(self, orders: list[messages.PlannerOrder]) -> None:
        """Queue orders and wake the connection to send them."""
        self._pending.extend(orders)
        self.connection.wake()

    def handle_events(self, events: list[LinkEvent]) -> str | None:
        """Handle the link's events; return why the link ended, or None while it is up."""
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
        """Start the edge's session; return why the link was closed instead, if it was."""
        server = self._server
        if (LIMIT_LEASES in opened.capabilities) != bool(server.planner.limits.lease_ms):
            # If only one side used leases, both would hand out units, and twice the limit could be used.
            self._link.close("pair.edges: set it at this edge and its planner, or at neither")
            return "only one of planner and edge has pair.edges set, so they disagree on who enforces limits"
        number = server.planner.join(opened.peer, opened.incarnation, server.clock())
        if number is None:
            self._link.close("no more edges are taken")
            return "the planner has its maximum number of edges"
        self.edge, self.number = opened.peer, number
        self.accepts_rule_versions = RULE_VERSIONS in opened.capabilities
        if self.accepts_rule_versions:
            self._pending.append(messages.RuleVersions(list(server.rule_versions)))
        server.sessions[opened.peer] = self
        server.log.info("planner.edge_joined", edge=opened.peer, incarnation=opened.incarnation)
        return None

    def _receive(self, event: messages.EdgeEvent) -> bool:
        """Pass an event to the planner.  False if the edge has joined over another connection since."""
        server = self._server
        accepted = server.planner.receive_event(self.edge, self.number, event, server.clock())
        if not accepted and server.sessions.get(self.edge) is not self:
            return False
        self._link.return_credit(1)
        server.wake()
        return True

    def send_pending(self) -> None:
        """Send as many queued orders as the edge's credit allows."""
        while self._pending and self._link.state is LinkState.OPEN and self._link.credit > 0:
            self._link.send(self._pending.popleft())

    def next_send_ms(self) -> float:
        """Return infinity, since orders are sent only when the planner steps."""
        return NEVER_MS
