"""The spread alone in rounds: who gossips with whom, what is lost, how far a write has come.

A round is one protocol period: each member sends one random peer a rumour and a slice of its digest, and the
peer answers with a delta.  Messages of a round are made before any is taken in, so nothing travels two hops
in one round.  One seed gives one run.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from cressrock.gossip.messages import Origin
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore, full_state_parts

FIRST_LIFE = 1_790_000_000_000  # as long on the wire as a clock's milliseconds


class SpreadNet:
    """Members by number, each with a spread of its own; bytes are counted at the sender, without headers."""

    def __init__(
        self,
        members: int,
        seed: int,
        *,
        loss: float = 0.05,
        max_bytes: int = 1200,
        digest_bytes: int = 1200,
        settings: GossipStoreSettings | None = None,
        answers: int = 4,
    ) -> None:
        """`answers`: datagrams of a delta at most; 0: rumours alone, without anti-entropy."""
        self.source = random.Random(seed)
        self.loss = loss
        self.max_bytes, self.digest_bytes = max_bytes, digest_bytes
        self.answers = answers
        self.settings = settings or GossipStoreSettings()
        self.spreads = [
            GossipStore(
                f"edge-{number:04d}", FIRST_LIFE + number, self.settings, random.Random(seed + number)
            )
            for number in range(members)
        ]
        self.known = [s.local for s in self.spreads]
        for spread in self.spreads:
            spread.retain_origins(self.known)
        self.bytes: dict[str, int] = {"fresh": 0, "digest": 0, "delta": 0}
        self.lost = 0
        self.joined: Callable[[int, int], bool] = lambda _one, _other: True

    def fill(self, entries: int, size: int) -> None:
        """Let every member hold so many entries of everybody, as after long calm."""
        for number, spread in enumerate(self.spreads):
            for key in range(entries):
                spread.put(f"key/{key}", number.to_bytes(4, "big") * (size // 4))
        whole = [list(full_state_parts(spread, 60_000)) for spread in self.spreads]
        for spread in self.spreads:
            for parcels in whole:
                for parcel in parcels:
                    spread.merge(parcel)
            while spread.recent_changes(60_000):
                pass
            spread.drain_changes()

    def round(self) -> None:
        """Carry one protocol period."""
        asked: list[tuple[int, int, bytes]] = []
        told: list[tuple[int, bytes]] = []
        for number, spread in enumerate(self.spreads):
            peer = self.source.randrange(len(self.spreads) - 1)
            peer += peer >= number
            rumour = spread.recent_changes(self.max_bytes)
            digest = spread.digest(self.digest_bytes) if self.answers else b""
            self.bytes["fresh"] += len(rumour)
            self.bytes["digest"] += len(digest)
            if rumour and self._arrives(number, peer):
                told.append((peer, rumour))
            if digest and self._arrives(number, peer):
                asked.append((number, peer, digest))
        for peer, rumour in told:
            self.spreads[peer].merge(rumour)
        answers: list[tuple[int, bytes]] = []
        for number, peer, digest in asked:
            for delta in self.spreads[peer].deltas(digest, self.max_bytes, self.answers):
                self.bytes["delta"] += len(delta)
                if self._arrives(peer, number):
                    answers.append((number, delta))
        for number, delta in answers:
            self.spreads[number].merge(delta)

    def _arrives(self, sender: int, receiver: int) -> bool:
        if not self.joined(sender, receiver):
            return False
        if self.source.random() < self.loss:
            self.lost += 1
            return False
        return True

    def have(self, key: str, origin: Origin, value: bytes) -> int:
        """Return how many members read that value."""
        return sum(spread.values(key).get(origin) == value for spread in self.spreads)

    def behind(self) -> int:
        """Return how many members lack something that an origin has written."""
        own = [(spread.local, spread.known_version(spread.local)) for spread in self.spreads]
        return sum(any(spread.known_version(me) < mark for me, mark in own) for spread in self.spreads)
