"""Schedules full exchanges with single members (memberlist's push/pull), which repair missed broadcasts.

Exchanges run periodically, after a join or a partition, and when views differ.
"""

from __future__ import annotations

from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind
from cressrock.membership.types import NEVER_MS, ExchangeRequest
from cressrock.membership.view_checksum import UNSETTLED, ViewChecksum

MIN_DIFFERING_PEERS = 2


class ExchangeScheduler:
    """Collects exchange requests, each rate limited by the interval of its reason."""

    def __init__(self, state: MembershipState, checksum: ViewChecksum) -> None:
        """Start with no exchange requested, so that the first request is not rate limited."""
        self.requests: list[ExchangeRequest] = []
        self._state = state
        self._checksum = checksum
        self._last_exchange_ms = -NEVER_MS
        self._differing_peers: set[str] = set()

    def request(
        self, now_ms: float, name: str, min_interval_ms: float, *, with_gossip_state: bool = False
    ) -> None:
        """Request an exchange with a known member, unless the last was within `min_interval_ms`."""
        table = self._state.table
        if now_ms - self._last_exchange_ms < min_interval_ms or name not in table.records:
            return
        self._last_exchange_ms = now_ms
        self.requests.append(ExchangeRequest(name, table.address_of(name), with_gossip_state))

    def record_result(self, now_ms: float, *, succeeded: bool) -> None:
        """Record the result of an exchange; after a failure the next request is not rate limited."""
        self._last_exchange_ms = now_ms if succeeded else -NEVER_MS

    def request_periodic(self, now_ms: float) -> None:
        """Request an exchange with a random member; less often in a large cluster, as each is larger."""
        settings, rng = self._state.settings, self._state.rng
        next_ms = now_ms + settings.exchange_interval_ms * (0.5 + rng.random())
        self._state.timers.schedule(next_ms, TimerKind.EXCHANGE)
        table = self._state.table
        if rng.random() * table.cluster_size >= settings.exchange_reference_size:
            return
        for name in table.live.sample(rng, 1):
            self.request(now_ms, name, settings.protocol_period_ms)

    def compare_views(self, now_ms: float, sender: str, checksum: int) -> None:
        """Compare a live member's view with the local one, and request an exchange if two members differ.

        If MIN_DIFFERING_PEERS different members disagree, with none that agrees in between, this process
        rather than a single peer lacks an update.
        """
        live = self._state.table.live
        if checksum == UNSETTLED or sender not in live:
            return
        own_checksum = self._checksum.value()
        if own_checksum == UNSETTLED:
            return
        if own_checksum == checksum:
            self._differing_peers.clear()
            return
        self._differing_peers.add(sender)
        if len(self._differing_peers) >= min(MIN_DIFFERING_PEERS, len(live)):
            self._differing_peers.clear()
            settings = self._state.settings
            scale = max(self._state.table.cluster_size / settings.exchange_reference_size / 4, 1.0)
            self.request(now_ms, sender, 2 * settings.protocol_period_ms * scale)
