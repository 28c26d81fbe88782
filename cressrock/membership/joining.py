"""Joining by way of seeds: requests with backoff, a bounded answer, then a full exchange with one member."""

from __future__ import annotations

from cressrock.membership.exchanges import ExchangeScheduler
from cressrock.membership.merge import UpdateMerger
from cressrock.membership.outbox import Outbox
from cressrock.membership.packets import JoinRequest, JoinResponse, MemberState, Packet, encoded_size
from cressrock.membership.state import MembershipState
from cressrock.membership.timers import TimerKind

JOIN_FANOUT = 3  # at a time, until joined
MEMBERS_ANNOUNCED = 8  # in an answer to a request, as far as they fit
REJOIN_PERIODS = 10  # between requests to a seed that is not among the live, once joined


class SeedJoiner:
    """Asks seeds to be let in, and answers who asks this process."""

    def __init__(
        self,
        state: MembershipState,
        seeds: tuple[str, ...],
        outbox: Outbox,
        exchanges: ExchangeScheduler,
        merger: UpdateMerger,
    ) -> None:
        """`seeds` are addresses; without any the process counts as joined."""
        self.seeds = seeds
        self.joined = not seeds
        self._state = state
        self._outbox = outbox
        self._exchanges = exchanges
        self._merger = merger
        self._retry_ms = state.settings.protocol_period_ms / 2

    def schedule_first(self, now_ms: float) -> None:
        """Schedule the first request, if there are seeds."""
        if self.seeds:
            wait_ms = self._retry_ms * self._state.rng.random() / 2
            self._state.timers.schedule(now_ms + wait_ms, TimerKind.JOIN)

    def request_join(self, now_ms: float) -> None:
        """Ask some seeds to be let in; once joined, now and then one that is not among the live."""
        settings, rng, live = self._state.settings, self._state.rng, self._state.table.live
        if self.joined and live:
            # So that clusters which forgot each other over a long partition meet again.
            known = {self._state.table.address_of(name) for name in live.names}
            candidates = [seed for seed in self.seeds if seed not in known][: settings.max_members]
            count = 1
            self._retry_ms = settings.protocol_period_ms
            wait_ms = REJOIN_PERIODS * settings.protocol_period_ms * (0.5 + rng.random())
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
        """Take in a process that asks to be let in, and tell it of some live members."""
        joiner = request.joiner
        if joiner.name != packet.sender or joiner.info is None:
            self._state.counters["hello-of-another"] += 1
            return
        self._merger.merge(now_ms, joiner, packet.sender)
        if not self._outbox.allow_reply():
            return
        table = self._state.table
        updates = [self._state.local.as_update(full=True)]
        record = table.records.get(packet.sender)
        if record is not None and record.state is not MemberState.ALIVE:
            updates.append(record.as_update())
        remaining = self._outbox.updates_capacity - sum(map(encoded_size, updates))
        for name in table.live.sample(self._state.rng, MEMBERS_ANNOUNCED, (packet.sender,)):
            update = table.records[name].as_update(full=True)
            remaining -= encoded_size(update)
            if remaining < 0:
                break
            updates.append(update)
        self._outbox.send(packet.sender, joiner.info.address, JoinResponse(updates))

    def receive_response(self, now_ms: float, sender: str) -> None:
        """Make the full exchange that joining takes, with one of the members that a seed named."""
        if self.joined:
            return
        # Not with the seed itself: one that everybody knows must not send its list to everybody.
        names = self._state.table.live.sample(self._state.rng, 1)
        period_ms = self._state.settings.protocol_period_ms
        self._exchanges.request(now_ms, names[0] if names else sender, period_ms, with_gossip_state=True)
