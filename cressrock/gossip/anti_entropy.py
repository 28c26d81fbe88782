"""Schedules gossip messages so that a member's traffic does not grow with the size of the cluster.

In each round, recent changes go to a few members and a digest to one.  Replies to digests are rate limited.
The store decides what the messages contain.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from cressrock.errors import CressrockError
from cressrock.gossip.messages import Origin
from cressrock.gossip.reconciliation import Cursor, EncodedMessage
from cressrock.membership.membership import Membership
from cressrock.membership.packets import GossipDelta, GossipDigest, Packet, updates_capacity
from cressrock.membership.types import NEVER_MS, OutgoingMessage


class GossipState(Protocol):
    """The interface of the replicated state that anti-entropy needs; implemented by `GossipStore`."""

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return an encoded message of recent changes, empty if there are none."""

    def digest(self, max_bytes: int) -> bytes:
        """Return an encoded digest of the known versions of some origins."""

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return what a digest's sender lacks, in up to `count` messages of at most `max_bytes` each."""

    def merge(self, data: bytes) -> None:
        """Merge an encoded message.  Raises a CressrockError if it is malformed."""

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of the full state and the cursor of the next one, None at the end."""

    def retain_origins(self, origins: Collection[Origin]) -> None:
        """Keep the state of these processes and drop that of all others."""


@dataclass(frozen=True, slots=True)
class AntiEntropySettings:
    """Limits on the gossip traffic of one process."""

    period_ms: float = 1000.0
    fanout: int = 3  # members that receive recent changes in each period
    reply_bytes_per_s: int = 20_000  # sustained rate of replies to digests
    reply_burst_bytes: int = 20_000  # burst size of that rate limit
    max_deltas_per_digest: int = 4  # reply datagrams; several let a lagging member catch up in fewer rounds


class ReplyBudget:
    """Token bucket that limits the bytes of replies to digests."""

    def __init__(self, settings: AntiEntropySettings, now_ms: float) -> None:
        """Start with a full bucket."""
        self._settings = settings
        self._available_bytes = float(settings.reply_burst_bytes)
        self._refilled_at_ms = now_ms

    def available_bytes(self, now_ms: float) -> float:
        """Refill the bucket up to `now_ms` and return the bytes that may be sent."""
        refilled_bytes = (now_ms - self._refilled_at_ms) * self._settings.reply_bytes_per_s / 1000
        burst_bytes = float(self._settings.reply_burst_bytes)
        self._available_bytes, self._refilled_at_ms = (
            min(self._available_bytes + refilled_bytes, burst_bytes),
            now_ms,
        )
        return self._available_bytes

    def spend(self, sent_bytes: int) -> None:
        """Deduct the bytes of sent replies."""
        self._available_bytes -= sent_bytes


class AntiEntropy:
    """Sends and answers the gossip messages of one process."""

    def __init__(
        self,
        membership: Membership,
        store: GossipState,
        settings: AntiEntropySettings,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        """`membership` supplies the peers; the first round is at a random time within one period."""
        self.membership = membership
        self.store = store
        self.settings = settings
        self.error_counts: Counter[str] = Counter()
        self._retained_version = -1  # version of `membership.process_ids` last passed to the store
        self._next_round_ms = now_ms + settings.period_ms * rng.random()
        self._budget = ReplyBudget(settings, now_ms)
        limits = membership.settings
        self._max_bytes = updates_capacity(limits.max_datagram_bytes, limits.cluster, membership.local.name)

    def next_tick_ms(self) -> float:
        """Return the time of the next round in ms, NEVER_MS once the membership is fenced."""
        return self._next_round_ms if self.membership.next_tick_ms() < NEVER_MS else NEVER_MS

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return the messages of a round if one is due, otherwise none."""
        if now_ms < self._next_round_ms or self.membership.next_tick_ms() == NEVER_MS:
            return []
        self._next_round_ms = now_ms + self.settings.period_ms
        if self._retained_version != self.membership.process_ids_version:
            # Only on a change, because retain_origins visits every member: calling it in each round takes 3 %
            # of a core at 4,800 members.
            self._retained_version = self.membership.process_ids_version
            self.store.retain_origins(self.membership.process_ids())
        messages: list[OutgoingMessage] = []
        for name, address in self.membership.draw_peers(self.settings.fanout):
            if data := self.store.recent_changes(self._max_bytes):
                messages.append(OutgoingMessage(name, address, GossipDelta(data)))
        for name, address in self.membership.draw_peers(1):
            if data := self.store.digest(self._max_bytes):
                messages.append(OutgoingMessage(name, address, GossipDigest(data)))
        return messages

    def receive(self, now_ms: float, packet: Packet) -> list[OutgoingMessage]:
        """Process a digest or delta from a known member; returns the reply, within the reply budget.

        Rejected packets and unanswered digests are counted in `error_counts`; no CressrockError is raised.
        """
        address = self.membership.address_of(packet.sender)
        if address is None:
            self.error_counts["spread-unknown-sender"] += 1
            return []
        try:
            if isinstance(packet.body, GossipDelta):
                self.store.merge(packet.body.data)
                return []
            if not isinstance(packet.body, GossipDigest):
                return []
            deltas = self._encode_deltas(now_ms, packet.body)
        except CressrockError as error:
            # Malformed data from another process must not stop this one; the error is counted.
            self.error_counts[error.code] += 1
            return []
        self._budget.spend(sum(map(len, deltas)))
        return [OutgoingMessage(packet.sender, address, GossipDelta(data)) for data in deltas]

    def _encode_deltas(self, now_ms: float, digest: GossipDigest) -> list[bytes]:
        affordable_deltas = int(self._budget.available_bytes(now_ms) // self._max_bytes)
        count = min(self.settings.max_deltas_per_digest, affordable_deltas)
        if count < 1:
            self.error_counts["spread-over-budget"] += 1
            return []
        return self.store.deltas(digest.data, self._max_bytes, count)

    def merge_full_state(self, data: bytes) -> None:
        """Merge the gossip state from a full exchange; a malformed message is counted in `error_counts`."""
        try:
            self.store.merge(data)
        except CressrockError as error:
            self.error_counts[error.code] += 1  # not raised: the exchange's membership updates remain valid
