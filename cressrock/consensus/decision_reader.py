"""A process's view of the decisions: the newest one for each topic, and whether its lease is valid."""

from __future__ import annotations

import msgspec

from cressrock.consensus.decisions import (
    MAX_TOPICS,
    Decision,
    Expired,
    decode_versioned,
    encode_versioned,
)

# The version floor, and the newest version and renewal by topic.
_stored_decoder = msgspec.msgpack.Decoder(tuple[int, dict[str, tuple[int, int]]])


class DecisionReader:
    """The newest decision for each topic, with its lease on this process's own clock.

    A lease starts when this reader *first* received the newest renewal; receiving a copy again does not
    extend it.  Decisions that a former incarnation received may be stale: they count as expired until a
    newer renewal arrives.
    """

    def __init__(self, stored: bytes = b"", *, max_topics: int = MAX_TOPICS) -> None:
        """Restore the state that `to_bytes` returned in a former incarnation; b"" starts empty.

        Raises InvalidDecisionError, StoreTooNewError.
        """
        self.max_topics = max_topics
        self.version_floor = 0  # for unknown topics, versions up to this one are ignored
        self._seen: dict[str, tuple[int, int]] = {}  # topic -> newest version and renewal
        self._current: dict[str, tuple[Decision, float]] = {}  # topic -> decision and start of its lease
        if stored:
            self.version_floor, self._seen = decode_versioned(_stored_decoder, stored, "a saved reader state")

    def receive(self, decision: Decision, now_ms: float) -> bool:
        """Process a decision; return whether its (version, renewal) is newer than any received before."""
        topic, stamp = decision.topic, (decision.version, decision.renewal)
        seen = self._seen.get(topic)
        if seen is None:
            if decision.version <= self.version_floor:
                return False
        elif stamp < seen or (stamp == seen and topic in self._current):
            return False
        self._seen[topic] = stamp
        # Known from a former incarnation and not renewed since, so its lease may have ended.
        lease_began_ms = now_ms - decision.lease_ms if stamp == seen else now_ms
        self._current[topic] = (decision, lease_began_ms)
        if seen is None and len(self._seen) > self.max_topics:
            self._forget_oldest()
        return stamp != seen

    def _forget_oldest(self) -> None:
        """Evict the topic with the smallest version and raise the floor to it, so it stays rejected."""
        oldest = min(self._seen, key=lambda topic: self._seen[topic])
        self.version_floor = max(self.version_floor, self._seen.pop(oldest)[0])
        self._current.pop(oldest, None)

    def get(self, topic: str, now_ms: float) -> Decision | Expired | None:
        """Return the valid decision, an Expired if its lease has ended, or None if there is none."""
        current = self._current.get(topic)
        if current is None:
            return None
        decision, lease_began_ms = current
        expires_at_ms = lease_began_ms + decision.lease_ms
        return decision if now_ms < expires_at_ms else Expired(decision, expires_at_ms)

    def next_expiry_ms(self, now_ms: float) -> float:
        """Return the earliest time at which a valid decision expires unless renewed; inf if none."""
        expiries = (began_ms + decision.lease_ms for decision, began_ms in self._current.values())
        return min((expiry_ms for expiry_ms in expiries if expiry_ms > now_ms), default=float("inf"))

    def last_version(self, topic: str) -> int:
        """Return a topic's newest version received in this or a former incarnation; 0 if none."""
        return self._seen.get(topic, (0, 0))[0]

    def topics(self) -> tuple[str, ...]:
        """Return the topics that have a decision, expired or not, sorted."""
        return tuple(sorted(self._current))

    def to_bytes(self) -> bytes:
        """Return the state to save, so that the next incarnation accepts nothing older."""
        return encode_versioned((self.version_floor, self._seen))
