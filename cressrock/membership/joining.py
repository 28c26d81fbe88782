"""Joining a cluster through seeds: requests with backoff, a bounded response, then one full exchange."""

from __future__ import annotations

from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.merge import UpdateMerger
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import JoinRequest, JoinResponse, MemberState, Packet, encoded_size
from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind

JOIN_FANOUT = 3  # seeds contacted in one attempt until joined
MAX_JOIN_RESPONSE_MEMBERS = 8  # in a response, as far as they fit into the datagram
REJOIN_INTERVAL_PERIODS = 10  # mean; once joined, for seeds that are not live members


class SeedJoiner:
    """Sends join requests to seeds, and responds to join requests of other processes."""

    def __init__(
        self,
        state: MembershipState,
        seeds: tuple[str, ...],
        outbox: Outbox,
        exchanges: ExchangeScheduler,
        merger: UpdateMerger,
    ) -> None:
        """`seeds` are addresses; without seeds the process counts as joined."""
        self.seeds = seeds
        self.joined = not seeds
        self._state = state
        self._outbox = outbox
        self._exchanges = exchanges
        self._merger = merger
        self._retry_ms = state.settings.protocol_period_ms / 2

    def schedule_first(self, now_ms: float) -> None:
        """Schedule the first join request with jitter, if there are seeds."""
        if self.seeds:
            wait_ms = self._retry_ms * self._state.rng.random() / 2
            self._state.timers.schedule(now_ms + wait_ms, TimerKind.JOIN)

    def request_join(self, now_ms: float) -> None:
        """Send join requests to up to JOIN_FANOUT seeds; once joined, to one that is not a live member."""
        settings, rng, live = self._state.settings, self._state.rng, self._state.table.live
        if self.joined and live:
            # Lets clusters merge again after a partition so long that each has forgotten the other's members.
            known_addresses = {self._state.table.address_of(name) for name in live.names}
            candidates = [seed for seed in self.seeds if seed not in known_addresses][: settings.max_members]
            count = 1
            self._retry_ms = settings.protocol_period_ms
            wait_ms = REJOIN_INTERVAL_PERIODS * settings.protocol_period_ms * (0.5 + rng.random())
        else:
            candidates, count = list(self.seeds), JOIN_FANOUT
            wait_ms = self._retry_ms * (1 + rng.random())
            self._retry_ms = min(self._retry_ms * 2, settings.max_join_retry_ms)
        self._state.timers.schedule(now_ms + wait_ms, TimerKind.JOIN)
        for address in rng.sample(candidates, min(count, len(candidates))):
            self._outbox.send(None, address, JoinRequest(self._state.local.as_update(full=True)))
        if not self.joined and live:
            name = live.sample(rng, 1)[0]
            self._exchanges.request(now_ms, name, settings.protocol_period_ms, with_gossip_state=True)

    def answer(self, now_ms: float, packet: Packet, request: JoinRequest) -> None:
        """Merge a joining process, and respond with a few live members."""
        joiner = request.joiner
        if joiner.name != packet.sender or joiner.info is None:
            self._state.counters["hello-of-another"] += 1
            return
        self._merger.merge(now_ms, joiner, packet.sender)
        if not self._outbox.try_consume_reply():
            return
        table = self._state.table
        updates = [self._state.local.as_update(full=True)]
        record = table.records.get(packet.sender)
        if record is not None and record.state is not MemberState.ALIVE:
            updates.append(record.as_update())
        remaining = self._outbox.updates_capacity - sum(map(encoded_size, updates))
        for name in table.live.sample(self._state.rng, MAX_JOIN_RESPONSE_MEMBERS, (packet.sender,)):
            update = table.records[name].as_update(full=True)
            remaining -= encoded_size(update)
            if remaining < 0:
                break
            updates.append(update)
        self._outbox.send(packet.sender, joiner.info.address, JoinResponse(updates))

    def receive_response(self, now_ms: float, sender: str) -> None:
        """Request the full exchange that completes the join, with a random known member."""
        if self.joined:
            return
        # Any member rather than the seed: a seed shared by all would send its full list to every joiner.
        names = self._state.table.live.sample(self._state.rng, 1)
        period_ms = self._state.settings.protocol_period_ms
        self._exchanges.request(now_ms, names[0] if names else sender, period_ms, with_gossip_state=True)
