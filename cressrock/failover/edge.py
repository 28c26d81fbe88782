"""An edge's part in failover: its reports go out, decisions come in to its router.

No choice is made here, and nothing waits for it: without gossip or consensus an edge goes on alone.
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
    """`router` is what is asked where a read goes; `run` keeps it up to date."""

    def __init__(
        self,
        router: ZoneRouter,
        runtime: Runtime,
        clock: Callable[[], float],
        zone_of: Callable[[Node], str],
    ) -> None:
        """`zone_of` names a listed node's zone; `clock` gives monotonic ms."""
        self.router, self.runtime, self.clock, self.zone_of = router, runtime, clock, zone_of
        self.feed = EvidenceFeed(router.settings, runtime, clock)
        self.unreadable_broadcasts = 0

    def watch(self, driver: Driver) -> None:
        """Learn of the attempts of a driver from now on."""
        driver.transport = ObservedTransport(driver.transport, self._record_attempt)

    def _record_attempt(self, call: Call, result: AttemptResult) -> None:
        zone = self.zone_of(call.attempt.node)
        self.router.record_attempt(zone, call.op.units, result.outcome, self.clock(), result.latency_ms)

    async def run(self) -> None:
        """Serve until cancelled."""
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
        any_accused = (
            self.router.wants_evidence()
            or channel.is_evidence_requested()
            or self.feed.evidence.is_any_zone_accused(now_ms)
        )
        updates = self.router.evidence.due_updates(
            now_ms, any_accused, channel.update_interval_ms(), channel.min_interval_ms()
        )
        for update in updates:
            channel.publish(update.key, update.value)

    def _zone_loads(self, now_ms: float) -> Mapping[str, float]:
        """Return the zones' own loads: as a collector broadcasts them, else as all reported them here."""
        data = self.runtime.evidence.broadcast(SUMMARY_NAME)
        if data:
            try:
                return decode_zone_loads(data)
            except FailoverError:  # of another program version; what is received here serves as well
                self.unreadable_broadcasts += 1
        return self.feed.evidence.zone_loads(now_ms)

    def status(self) -> Mapping[str, object]:
        """Return plain values for an admin port."""
        unsent = self.runtime.evidence.unsent
        return {**self.router.status(), **self.feed.evidence.status(), "untold": unsent}
