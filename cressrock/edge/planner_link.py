"""Keeps an edge connected to one of its planners: connects, serves the link until it ends, and reconnects."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from cressrock.edge.decisions import EdgeDecisions
from cressrock.edge.reconnect import ReconnectBackoff
from cressrock.http.channel import BROKEN, Stream
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

Connect = Callable[[str, int], Awaitable[Stream]]
CONNECT_FAILED = "could not connect to the planner"


class PlannerLink:
    """Keeps an edge connected to one planner of its list."""

    def __init__(
        self,
        edge: EdgeDecisions,
        backoff: ReconnectBackoff,
        connect: Connect,
        wake_driver: Callable[[], None],
        *,
        name: str,
        incarnation: str,
        clock: Callable[[], float],
        limits: LinkLimits,
        log: EventLog,
    ) -> None:
        """`wake_driver` makes the driver process a batch; `clock` is the driver's clock, in milliseconds."""
        self.edge = edge
        self.backoff = backoff
        self.connect = connect
        self.wake_driver = wake_driver
        self.name = name
        self.incarnation = incarnation
        self.clock = clock
        self.limits = limits
        self.log = log

    async def run(self) -> None:
        """Connect, serve the link until it ends, and reconnect with backoff, until cancelled."""
        while True:
            attempt = self.backoff.next_attempt()
            await anyio.sleep(max(0.0, attempt.at_ms - self.clock()) / 1000)
            reason = await self._connect_and_serve(attempt.planner)
            self.edge.planner_lost(self.clock())
            self.backoff.planner_lost(self.clock())
            self.wake_driver()
            self.log.warning("edge.planner_lost", planner=attempt.planner, reason=reason)

    async def _connect_and_serve(self, address: str) -> str:
        """Serve one connection until it ends; return why it ended or could not be opened."""
        host, _, port = address.rpartition(":")
        try:
            with anyio.move_on_after(self.limits.handshake_timeout_ms / 1000) as timeout:
                stream = await self.connect(host, int(port))
        except BROKEN as error:
            return str(error) or CONNECT_FAILED
        if timeout.cancelled_caught:
            return CONNECT_FAILED
        try:
            return await self._serve(stream, address)
        except Exception as error:  # noqa: BLE001  the edge has to answer its clients even if the link's code fails
            self.log.error("defect", error=repr(error), exc_info=error)
            return "an internal error of this edge"

    async def _serve(self, stream: Stream, address: str) -> str:
        capabilities = []
        if self.edge.quota is not None:
            capabilities.append(LIMIT_LEASES)
        if self.edge.knows_versions:
            capabilities.append(RULE_VERSIONS)
        link = Link(
            Role.EDGE,
            self.name,
            self.clock(),
            incarnation=self.incarnation,
            capabilities=tuple(capabilities),
            limits=self.limits,
        )
        connection = LinkConnection(link, stream, EdgeLinkHandler(self, link, address), self.clock)
        self.edge.outbox.on_added = connection.wake
        return await connection.run()


class EdgeLinkHandler:
    """Passes the planner's orders from a link to the edge's decisions, and queued events to the link."""

    def __init__(self, planner_link: PlannerLink, link: Link, address: str) -> None:
        """Handle `link`, which connects to the planner at `address`."""
        self._planner_link = planner_link
        self._edge = planner_link.edge
        self._link = link
        self._address = address

    def handle_events(self, events: list[LinkEvent]) -> str | None:
        """Handle the link's events; return why the link ended, or None while it is up."""
        for event in events:
            match event:
                case Opened():
                    if (reason := self._join(event)) is not None:
                        return reason
                case Closed(reason):
                    return reason
                case _ if isinstance(event, messages.PlannerOrder):
                    self._edge.receive_order(self._address, event)
                    self._link.return_credit(1)
                    self._planner_link.wake_driver()
        return None

    def _join(self, opened: Opened) -> str | None:
        """Join the planner in its epoch; return why the link was closed instead, if it was."""
        owner, edge, address = self._planner_link, self._edge, self._address
        if (LIMIT_LEASES in opened.capabilities) != (edge.quota is not None):
            self._link.close("pair.edges: set it at this planner and its edges, or at neither")
            return "only one of planner and edge has pair.edges set, so they disagree on who enforces limits"
        versioned = RULE_VERSIONS in opened.capabilities
        if not edge.planner_joined(address, opened.epoch, owner.clock(), versioned=versioned):
            newest = edge.grants.newest_epochs.get(address, 0)
            self._link.close(f"epoch {opened.epoch} is over, {newest} was seen")
            return "the planner's epoch is older than one already seen"
        owner.backoff.planner_joined()
        owner.log.info("edge.planner_joined", planner=address, epoch=opened.epoch)
        owner.wake_driver()
        return None

    def send_pending(self) -> None:
        """Send as many queued events as the credit allows; report this edge's clock when that is due."""
        edge = self._edge
        if not edge.session.is_open or self._link.state is not LinkState.OPEN:
            return
        now_ms = self._planner_link.clock()
        edge.tick(now_ms)
        while edge.outbox and self._link.credit > 0:
            self._link.send(edge.outbox.pop_next(self._planner_link.clock()))

    def next_send_ms(self) -> float:
        """Return when (ms) this edge's clock has to be reported next; infinity if it does not."""
        return self._edge.next_tick_ms()
