"""What is wrong with the way from one process to another, and what then becomes of what is sent.  Pure.

A `Way` is one direction between two names.  It says of each datagram when which bytes of it arrive, and of
each piece of a stream when it may go on.  Chances are drawn from a seeded source, the same number of draws
for every datagram: what becomes of the n-th one does not hang on which other faults are set.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Faults:
    """What is wrong with one direction at the moment.  Times in milliseconds, chances from 0 to 1.

    TCP never loses bytes out of the middle of a stream, so a stream is only held back: by a cut until it is
    healed, by a loss for `stall_ms` (a sender's wait before it repeats).
    """

    cut: bool = False  # datagrams are gone, streams stay open and quiet, new connections hang
    refuse: bool = False  # new connections are refused; datagrams are gone; what stands goes on
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # from 0 to so much more, evenly
    lose: float = 0.0  # datagrams lost; pieces of streams that stall
    stall_ms: float = 200.0
    duplicate: float = 0.0  # datagrams that come twice, the second one later
    reorder: float = 0.0  # datagrams that `reorder_ms` lets younger ones overtake
    reorder_ms: float = 50.0
    throttle: float = 0.0  # bytes a second, streams and datagrams together; 0: as many as come
    queue_ms: float = 1000.0  # a throttled way loses datagrams that would wait for longer
    corrupt: float = 0.0  # datagrams of which a byte is changed
    most_bytes: int = 0  # larger datagrams are lost without a word, as beyond a path's MTU; 0: none are


CALM = Faults()
CUT = Faults(cut=True)


class Way:
    """One direction between two names: its faults, and what they did so far."""

    def __init__(self, name: str, seed: int) -> None:
        """`name` and `seed` alone decide all that is drawn."""
        self.name = name
        self.faults = CALM
        self.counts = {
            "datagrams": 0,
            "lost": 0,
            "twice": 0,
            "overtaken": 0,
            "changed": 0,
            "too_large": 0,
            "stalls": 0,
            "bytes": 0,
        }
        # Streams are read in pieces that hang on timing: their draws must not shift those of datagrams.
        self._datagrams = random.Random(f"{seed} datagrams {name}")
        self._streams = random.Random(f"{seed} streams {name}")
        self._free_ms = 0.0

    def change(self, faults: Faults) -> None:
        """Put other faults in the place of those there are; the narrow place is then empty."""
        self.faults = faults
        self._free_ms = 0.0

    def again(self, now_ms: float, due_ms: float) -> float:
        """Return when a piece that was to go on at `due_ms` does so under the faults of now."""
        faults = self.faults
        if faults.throttle:
            return due_ms
        return min(due_ms, now_ms + faults.delay_ms + faults.jitter_ms + faults.stall_ms * bool(faults.lose))

    def datagram(self, now_ms: float, data: bytes) -> list[tuple[float, bytes]]:
        """Return the copies of a datagram that arrive, each with its time; none if it is lost."""
        faults, draw = self.faults, self._datagrams
        lost, twice, late, changed, jitter, place = (draw.random() for _ in range(6))
        self.counts["datagrams"] += 1
        if faults.most_bytes and len(data) > faults.most_bytes:
            self.counts["too_large"] += 1
            return []
        if faults.cut or faults.refuse or lost < faults.lose:
            self.counts["lost"] += 1
            return []
        clear = self._through(now_ms, len(data))
        if clear - now_ms > faults.queue_ms:
            self.counts["lost"] += 1
            return []
        if faults.throttle:
            self._free_ms = clear
        self.counts["bytes"] += len(data)
        due = clear + faults.delay_ms + faults.jitter_ms * jitter
        if data and changed < faults.corrupt:
            self.counts["changed"] += 1
            at = int(place * len(data))
            # Any other value of that byte, so that the datagram surely differs.
            data = data[:at] + bytes([data[at] ^ (1 + int(place * 1e6) % 255)]) + data[at + 1 :]
        if late < faults.reorder:
            self.counts["overtaken"] += 1
            due += faults.reorder_ms
        copies = [(due, data)]
        if twice < faults.duplicate:
            self.counts["twice"] += 1
            copies.append((due + faults.jitter_ms + faults.reorder_ms * place, data))
        return copies

    def piece(self, now_ms: float, size: int) -> float:
        """Return when a piece of a stream may go on.

        That pieces of one stream keep their order, and that none goes on while the way is cut, is the
        caller's to see to: a cut has no time.
        """
        faults, draw = self.faults, self._streams
        lost, jitter = draw.random(), draw.random()
        due = self._through(now_ms, size)
        if faults.throttle:
            self._free_ms = due
        due += faults.delay_ms + faults.jitter_ms * jitter
        if lost < faults.lose:
            self.counts["stalls"] += 1
            due += faults.stall_ms
        self.counts["bytes"] += size
        return due

    def most_piece(self) -> int:
        """Return the size of pieces in bytes: a throttled way drips, a twentieth of a second at a time."""
        return max(1, min(65536, int(self.faults.throttle / 20))) if self.faults.throttle else 65536

    def _through(self, now_ms: float, size: int) -> float:
        """Return when so many bytes are through the narrow place."""
        if not self.faults.throttle:
            return now_ms
        return max(now_ms, self._free_ms) + size / self.faults.throttle * 1000


def between(groups: Iterable[Iterable[str]]) -> list[tuple[str, str]]:
    """Return every direction that leads from one group to another, in a fixed order.

    Names in no group are cut from nobody.  Raises ValueError where a name stands in two groups.
    """
    parts = [sorted(set(group)) for group in groups]
    names = [name for part in parts for name in part]
    if len(set(names)) != len(names):
        raise ValueError(f"a name stands in two groups: {parts}")
    return [(a, b) for one in parts for other in parts if one is not other for a in one for b in other]
