"""Failover on an edge: publishes its reports and passes decisions to its router.

Routing decisions are made in `routing` and do not wait for this module: without gossip or consensus an edge
continues on its own evidence.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio

from cressrock.dispatch.driver import Driver
from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.attempt_observer import ObservedTransport
from cressrock.failover.evidence_feed import SUMMARY_NAME, EvidenceFeed
from cressrock.failover.routing import ZoneRouter
from cressrock.failover.runtime import Runtime
from cressrock.failover.summary import decode_zone_loads
from cressrock.interface import Node


class EdgeFailover:
    """Keeps a `router`, which routes the edge's reads, up to date by `run`."""

    def __init__(
        self,
        router: ZoneRouter,
        runtime: Runtime,
        clock: Callable[[], float],
        zone_of: Callable[[Node], str],
    ) -> None:
        """`zone_of` returns a listed node's zone; `clock` returns monotonic ms."""
        self.router, self.runtime, self.clock, self.zone_of = router, runtime, clock, zone_of
        self.feed = EvidenceFeed(router.settings, runtime, clock)
        self.unreadable_broadcasts = 0

    def watch(self, driver: Driver) -> None:
        """Record the results of all further attempts of a driver by wrapping its transport."""
        driver.transport = ObservedTransport(driver.transport, self._record_attempt)

    def _record_attempt(self, call: Call, result: AttemptResult) -> None:
        zone = self.zone_of(call.attempt.node)
        self.router.record_attempt(zone, call.op.units, result.outcome, self.clock(), result.latency_ms)

    async def run(self) -> None:
        """Apply decisions and publish reports twice per interval, until cancelled."""
        while True:
            now_ms = self.clock()
            for topic in (decision.TOPIC, decision.WRITE_MOVE_TOPIC):
                self.router.apply_decision(topic, self.runtime.decision_cache.get(topic), now_ms)
            self.feed.update_members()
            self.router.update_zone_loads(self._zone_loads(now_ms))
            self._publish_reports(now_ms)
            await anyio.sleep(self.router.settings.beat_ms / 2000)

    def _publish_reports(self, now_ms: float) -> None:
        channel = self.runtime.evidence
        is_any_accused = (
            self.router.wants_evidence()
            or channel.is_evidence_requested()
            or self.feed.evidence.is_any_zone_accused(now_ms)
        )
        updates = self.router.evidence.due_updates(
            now_ms, is_any_accused, channel.update_interval_ms(), channel.min_interval_ms()
        )
        for update in updates:
            channel.publish(update.key, update.value)

    def _zone_loads(self, now_ms: float) -> Mapping[str, float]:
        """Return the zones' own loads (units per second) from a collector's broadcast, else from gossip."""
        data = self.runtime.evidence.broadcast(SUMMARY_NAME)
        if data:
            try:
                return decode_zone_loads(data)
            except FailoverError:  # e.g. from another program version; fall back to the reports received here
                self.unreadable_broadcasts += 1
        return self.feed.evidence.zone_loads(now_ms)

    def status(self) -> Mapping[str, object]:
        """Return the edge's failover state for the admin port."""
        unsent = self.runtime.evidence.unsent
        return {**self.router.status(), **self.feed.evidence.status(), "untold": unsent}
