"""When to make a full exchange with one member (memberlist's push/pull), which finds what broadcasts missed.

Periodically, after a join or a partition, and where views differ.
"""

from __future__ import annotations

from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind
from cressrock.membership.types import NEVER_MS, ExchangeRequest
from cressrock.membership.view_checksum import UNSETTLED, ViewChecksum

DIFFERING_PEERS = 2


class ExchangeScheduler:
    """Asks for exchanges, not more often than each reason allows."""

    def __init__(self, state: MembershipState, checksum: ViewChecksum) -> None:
        """Begin with none made."""
        self.requests: list[ExchangeRequest] = []
        self._state = state
        self._checksum = checksum
        self._last_ms = -NEVER_MS
        self._differing: set[str] = set()

    def request(
        self, now_ms: float, name: str, min_interval_ms: float, *, with_gossip_state: bool = False
    ) -> None:
        """Ask for an exchange with a member, unless one was made within `min_interval_ms`."""
        table = self._state.table
        if now_ms - self._last_ms < min_interval_ms or name not in table.records:
            return
        self._last_ms = now_ms
        self.requests.append(ExchangeRequest(name, table.address_of(name), with_gossip_state))

    def finished(self, now_ms: float, *, succeeded: bool) -> None:
        """Record how an exchange ended; after a failed one the next reason is enough."""
        self._last_ms = now_ms if succeeded else -NEVER_MS

    def request_periodic(self, now_ms: float) -> None:
        """Ask for an exchange with a random member; rarer in a large cluster, as each takes more bytes."""
        settings, rng = self._state.settings, self._state.rng
        next_ms = now_ms + settings.exchange_interval_ms * (0.5 + rng.random())
        self._state.timers.schedule(next_ms, TimerKind.EXCHANGE)
        table = self._state.table
        if rng.random() * table.cluster_size >= settings.exchange_reference_size:
            return
        for name in table.live.sample(rng, 1):
            self.request(now_ms, name, settings.protocol_period_ms)

    def compare_views(self, now_ms: float, sender: str, checksum: int) -> None:
        """Compare a live member's view with one's own, and ask for an exchange where they differ twice.

        Two members in a row who see it otherwise: then it is this process that lacks something, and not the
        one peer.
        """
        live = self._state.table.live
        if checksum == UNSETTLED or sender not in live:
            return
        own = self._checksum.value()
        if own == UNSETTLED:
            return
        if own == checksum:
            self._differing.clear()
            return
        self._differing.add(sender)
        if len(self._differing) >= min(DIFFERING_PEERS, len(live)):
            self._differing.clear()
            settings = self._state.settings
            scale = max(self._state.table.cluster_size / settings.exchange_reference_size / 4, 1.0)
            self.request(now_ms, sender, 2 * settings.protocol_period_ms * scale)
