"""Interface of the features that summarize a zone's entries, and a registry that combines them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

from cressrock.aggregation.messages import encode_broadcast
from cressrock.aggregation.ranking import Origin


class Summarizer(Protocol):
    """Summarizes one feature's entries, which it stores by origin."""

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Store an entry published at `at_ms` on this clock; return whether it changed anything."""

    def forget(self, origin: Origin) -> None:
        """Drop an origin's entries."""

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return the sums over these origins, which are of one zone, by key."""

    def broadcast(self, sums: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether to request evidence from all senders, and opaque bytes for all processes.

        `sums`: of all zones, by zone and key.
        """


class SummarizerRegistry:
    """Combines summarizers; each receives all entries and uses those with its own keys."""

    def __init__(self) -> None:
        """Start without summarizers."""
        self.summarizers: dict[str, Summarizer] = {}

    def add(self, name: str, summarizer: Summarizer) -> None:
        """Add a summarizer; `name` identifies its part of the broadcast (`messages.decode_broadcast`)."""
        self.summarizers[name] = summarizer

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Pass an entry to all summarizers; return whether it changed anything in one."""
        changed = False
        for summarizer in self.summarizers.values():
            changed |= summarizer.receive(origin, key, value, at_ms)
        return changed

    def forget(self, origin: Origin) -> None:
        """Drop an origin's entries in all summarizers."""
        for summarizer in self.summarizers.values():
            summarizer.forget(origin)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return the sums of all summarizers over these origins, by key."""
        sums: dict[str, bytes] = {}
        for summarizer in self.summarizers.values():
            sums |= summarizer.summarize(zone, origins, now_ms)
        return sums

    def broadcast(self, sums: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Return whether any summarizer requests evidence, and the encoded broadcasts of all."""
        results = {
            name: summarizer.broadcast(sums, now_ms) for name, summarizer in sorted(self.summarizers.items())
        }
        requested = any(requests for requests, _ in results.values())
        return requested, encode_broadcast({name: value for name, (_, value) in results.items()})
