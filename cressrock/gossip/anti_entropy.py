"""Who gets the gossip's bytes and how many a second: a member's traffic must not grow with the cluster.

In each round the newest changes go to a few members and a digest to one; answers to digests keep to a budget.
Which bytes they are the store chooses.
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
    """What is needed of the replicated state; `GossipStore` has it."""

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return the newest changes, empty where nothing waits."""

    def digest(self, max_bytes: int) -> bytes:
        """Return up to which version some origins are known."""

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return what a digest's sender lacks, in up to so many messages."""

    def merge(self, data: bytes) -> None:
        """Merge a message.  Raises a CressrockError where it is malformed."""

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of everything and where to go on, None at the end."""

    def retain_origins(self, origins: Collection[Origin]) -> None:
        """Keep the state of these processes alone."""


@dataclass(frozen=True, slots=True)
class AntiEntropySettings:
    """Bounds of the gossip's traffic for one process."""

    period_ms: float = 1000.0
    fanout: int = 3  # members that a change is sent to in a period
    reply_bytes_per_s: int = 20_000  # answers to digests, on the average of a second
    reply_burst_bytes: int = 20_000  # and at once
    max_deltas_per_digest: int = 4  # datagrams for one digest: who lags catches up in fewer rounds


class ReplyBudget:
    """A token bucket for the bytes of answers."""

    def __init__(self, settings: AntiEntropySettings, now_ms: float) -> None:
        """Begin full."""
        self._settings = settings
        self._available_bytes = float(settings.reply_burst_bytes)
        self._filled_at_ms = now_ms

    def available_bytes(self, now_ms: float) -> float:
        """Return what may be sent at this time."""
        earned = (now_ms - self._filled_at_ms) * self._settings.reply_bytes_per_s / 1000
        burst = float(self._settings.reply_burst_bytes)
        self._available_bytes, self._filled_at_ms = min(self._available_bytes + earned, burst), now_ms
        return self._available_bytes

    def spend(self, size: int) -> None:
        """Count bytes that are sent."""
        self._available_bytes -= size


class AntiEntropy:
    """One process's share of the gossip's traffic."""

    def __init__(
        self,
        membership: Membership,
        store: GossipState,
        settings: AntiEntropySettings,
        rng: random.Random,
        now_ms: float,
    ) -> None:
        """`membership` says who is there; the time of the first round is drawn."""
        self.membership = membership
        self.store = store
        self.settings = settings
        self.error_counts: Counter[str] = Counter()
        self._retained_version = -1  # of `membership.process_ids`, as the store last got them
        self._next_round_ms = now_ms + settings.period_ms * rng.random()
        self._budget = ReplyBudget(settings, now_ms)
        limits = membership.settings
        self._max_bytes = updates_capacity(limits.max_datagram_bytes, limits.cluster, membership.local.name)

    def next_tick_ms(self) -> float:
        """Return when `tick` has something to do."""
        return self._next_round_ms if self.membership.next_tick_ms() < NEVER_MS else NEVER_MS

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what goes out in this round."""
        if now_ms < self._next_round_ms or self.membership.next_tick_ms() == NEVER_MS:
            return []
        self._next_round_ms = now_ms + self.settings.period_ms
        if self._retained_version != self.membership.process_ids_version:
            # Only then: it looks at everybody, and each round that alone is 3 % of a core at 4,800 members.
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
        """Take in a digest or a delta of a known member; returns the answer, as far as the budget goes."""
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
            deltas = self._answer(now_ms, packet.body)
        except CressrockError as error:
            # Whatever another process sends must not end this one; the reason is counted.
            self.error_counts[error.code] += 1
            return []
        self._budget.spend(sum(map(len, deltas)))
        return [OutgoingMessage(packet.sender, address, GossipDelta(data)) for data in deltas]

    def _answer(self, now_ms: float, digest: GossipDigest) -> list[bytes]:
        affordable = int(self._budget.available_bytes(now_ms) // self._max_bytes)
        count = min(self.settings.max_deltas_per_digest, affordable)
        if count < 1:
            self.error_counts["spread-over-budget"] += 1
            return []
        return self.store.deltas(digest.data, self._max_bytes, count)

    def merge_full_state(self, data: bytes) -> None:
        """Merge the gossip's part of an exchange."""
        try:
            self.store.merge(data)
        except CressrockError as error:
            self.error_counts[error.code] += 1  # the membership's part of the exchange still counts
