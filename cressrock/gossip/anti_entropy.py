"""When the spread's bytes go to whom: newest changes to a few, a digest to one, answers in a budget.  Pure.

The spread itself chooses which bytes; here stands who gets them and how many a second, so that a member's
traffic does not grow with the fleet.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass
from typing import Any, Protocol

from cressrock.errors import CressrockError
from cressrock.membership import packets as m
from cressrock.membership.membership import FOREVER, Membership, OutgoingMessage


class GossipState(Protocol):
    """What is needed of the spread's state."""

    def recent_changes(self, max_bytes: int) -> bytes:
        """Return the newest changes, empty where nothing waits."""

    def digest(self, max_bytes: int) -> bytes:
        """Return a slice of what is held."""

    def deltas(self, digest: bytes, max_bytes: int, count: int) -> list[bytes]:
        """Return what a digest's sender lacks, in up to so many pieces."""

    def merge(self, data: bytes) -> None:
        """Merge a delta.  Raises a CressrockError where it is malformed."""

    def full_state(self, after: Any, max_bytes: int) -> tuple[bytes, Any]:
        """Return a piece of everything and where to go on, None at the end."""

    def retain_origins(self, origins: Collection[tuple[str, int]]) -> None:
        """Take the lives whose state is kept."""


@dataclass(frozen=True, slots=True)
class AntiEntropySettings:
    """Bounds of the spread's traffic for one process."""

    period_ms: float = 1000.0
    fan: int = 3  # members that a change is told to in a period
    bytes_s: int = 20_000  # answers to digests, on the average of a second
    burst: int = 20_000  # and at once
    answers: int = 4  # datagrams for one digest: who lags catches up in fewer rounds


class AntiEntropy:
    """One process's share of the spread's traffic."""

    def __init__(
        self,
        members: Membership,
        spread: GossipState,
        settings: AntiEntropySettings,
        source: random.Random,
        now_ms: float,
    ) -> None:
        """`members` says who is there; the time of the first round is drawn."""
        self.members = members
        self.spread = spread
        self.settings = settings
        self.refused: dict[str, int] = {}
        self._admitted = -1  # `lives_changed` of the members as the spread was last told
        self._due = now_ms + settings.period_ms * source.random()
        self._left = float(settings.burst)
        self._at = now_ms
        self._room = m.room(members.settings.max_datagram_bytes, members.settings.cluster, members.local.name)

    def next_tick_ms(self) -> float:
        """Return when `tick` has something to do."""
        return self._due if self.members.next_tick_ms() < FOREVER else FOREVER

    def tick(self, now_ms: float) -> list[OutgoingMessage]:
        """Return what goes out in this period."""
        if now_ms < self._due or self.members.next_tick_ms() == FOREVER:
            return []
        self._due = now_ms + self.settings.period_ms
        if self._admitted != self.members.lives_changed:
            # Only then: it looks at everybody, and each round that alone is 3 % of a core at 4,800 members.
            self._admitted = self.members.lives_changed
            self.spread.retain_origins(self.members.process_ids())
        sends: list[OutgoingMessage] = []
        for name, address in self.members.draw(self.settings.fan):
            if data := self.spread.recent_changes(self._room):
                sends.append(OutgoingMessage(name, address, m.GossipDelta(data)))
        for name, address in self.members.draw(1):
            if data := self.spread.digest(self._room):
                sends.append(OutgoingMessage(name, address, m.GossipDigest(data)))
        return sends

    def receive(self, now_ms: float, letter: m.Letter) -> list[OutgoingMessage]:
        """Take in a Digest or a Delta of a known member; returns the answer, as far as the budget goes."""
        address = self.members.address(letter.sender)
        if address is None:
            self._count("spread-unknown-sender")
            return []
        try:
            if isinstance(letter.body, m.GossipDelta):
                self.spread.merge(letter.body.data)
                return []
            if not isinstance(letter.body, m.GossipDigest):
                return []
            earned = (now_ms - self._at) * self.settings.bytes_s / 1000
            self._left, self._at = min(self._left + earned, float(self.settings.burst)), now_ms
            count = min(self.settings.answers, int(self._left // self._room))
            if count < 1:
                self._count("spread-over-budget")
                return []
            pieces = self.spread.deltas(letter.body.data, self._room, count)
        except CressrockError as wrong:
            self._count(wrong.code)
            return []
        self._left -= sum(map(len, pieces))
        return [OutgoingMessage(letter.sender, address, m.GossipDelta(data)) for data in pieces]

    def merge_full_state(self, data: bytes) -> None:
        """Merge the spread's part of an exchange."""
        try:
            self.spread.merge(data)
        except CressrockError as wrong:
            self._count(wrong.code)

    def _count(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1
