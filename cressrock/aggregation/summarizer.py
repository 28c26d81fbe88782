"""What makes summaries of a zone's entries, of each cluster feature one."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

from cressrock.aggregation.messages import encode_broadcast
from cressrock.aggregation.ranking import Origin


class Summarizer(Protocol):
    """One feature's summaries.  It holds what it receives, by origin."""

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was published at a time of this clock; returns whether it was news."""

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return the sums over these origins, which are of one zone, by key."""

    def broadcast(self, sums: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return what all processes are to know: whether evidence is requested, and opaque bytes.

        `sums`: those of all zones, by zone and key.
        """


class SummarizerRegistry:
    """Several summarizers as one: each receives all entries, and takes those of its own keys."""

    def __init__(self) -> None:
        """Begin with none."""
        self.summarizers: dict[str, Summarizer] = {}

    def add(self, name: str, summarizer: Summarizer) -> None:
        """Add one under a name, by which its broadcast is found (`messages.decode_broadcast`)."""
        self.summarizers[name] = summarizer

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Take an entry that was published at a time of this clock."""
        news = False
        for summarizer in self.summarizers.values():
            news |= summarizer.receive(origin, key, value, at_ms)
        return news

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""
        for summarizer in self.summarizers.values():
            summarizer.forget(origin)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return all sums over these origins."""
        sums: dict[str, bytes] = {}
        for summarizer in self.summarizers.values():
            sums |= summarizer.summarize(zone, origins, now_ms)
        return sums

    def broadcast(self, sums: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether any of them requests evidence, and what all of them broadcast."""
        results = {
            name: summarizer.broadcast(sums, now_ms) for name, summarizer in sorted(self.summarizers.items())
        }
        requested = any(requests for requests, _ in results.values())
        return requested, encode_broadcast({name: value for name, (_, value) in results.items()})
