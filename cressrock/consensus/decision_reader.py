"""What one process reads of the decisions: the newest one by topic, and whether its lease still runs."""

from __future__ import annotations

import msgspec

from cressrock.consensus.decisions import (
    MAX_TOPICS,
    Decision,
    Expired,
    decode_versioned,
    encode_versioned,
)

# The floor, and by topic the newest version and renewal.
_stored_decoder = msgspec.msgpack.Decoder(tuple[int, dict[str, tuple[int, int]]])


class DecisionReader:
    """The newest decision by topic, with its lease on this process's own clock.

    A lease runs from when this reader *first* saw the newest renewal; a copy seen again renews nothing.  What
    a former incarnation has seen is not known to be fresh: it counts as expired until a newer renewal is
    seen.
    """

    def __init__(self, stored: bytes = b"", *, max_topics: int = MAX_TOPICS) -> None:
        """`stored` is what `to_bytes` gave in a former incarnation.

        Raises InvalidDecisionError, StoreTooNewError.
        """
        self.max_topics = max_topics
        self.version_floor = 0  # versions at or below are not accepted for topics that are no longer known
        self._seen: dict[str, tuple[int, int]] = {}  # topic -> newest version and renewal
        self._current: dict[str, tuple[Decision, float]] = {}  # topic -> decision, when its lease began
        if stored:
            self.version_floor, self._seen = decode_versioned(
                _stored_decoder, stored, "what a reader has seen"
            )

    def receive(self, decision: Decision, now_ms: float) -> bool:
        """Take a decision; return whether it is newer (version, renewal) than what was seen."""
        topic, mark = decision.topic, (decision.version, decision.renewal)
        seen = self._seen.get(topic)
        if seen is None:
            if decision.version <= self.version_floor:
                return False
        elif mark < seen or (mark == seen and topic in self._current):
            return False
        self._seen[topic] = mark
        # Known from a former incarnation and not renewed since: what it says may be long over.
        lease_began_ms = now_ms - decision.lease_ms if mark == seen else now_ms
        self._current[topic] = (decision, lease_began_ms)
        if seen is None and len(self._seen) > self.max_topics:
            self._forget_oldest()
        return mark != seen

    def _forget_oldest(self) -> None:
        """Forget the smallest version and raise the floor to it: it can never be accepted again."""
        oldest = min(self._seen, key=lambda topic: self._seen[topic])
        self.version_floor = max(self.version_floor, self._seen.pop(oldest)[0])
        self._current.pop(oldest, None)

    def get(self, topic: str, now_ms: float) -> Decision | Expired | None:
        """Return the decision that counts now, or since when the newest does not; None if none is known."""
        current = self._current.get(topic)
        if current is None:
            return None
        decision, lease_began_ms = current
        expires_at_ms = lease_began_ms + decision.lease_ms
        return decision if now_ms < expires_at_ms else Expired(decision, expires_at_ms)

    def next_expiry_ms(self, now_ms: float) -> float:
        """Return when the next decision that counts now expires without renewal; inf if none."""
        expiries = (began_ms + decision.lease_ms for decision, began_ms in self._current.values())
        return min((expiry_ms for expiry_ms in expiries if expiry_ms > now_ms), default=float("inf"))

    def last_version(self, topic: str) -> int:
        """Return the newest version seen of a topic, in this incarnation or a former one; 0 if none."""
        return self._seen.get(topic, (0, 0))[0]

    def topics(self) -> tuple[str, ...]:
        """Return the topics of which a decision is known, sorted."""
        return tuple(sorted(self._current))

    def to_bytes(self) -> bytes:
        """Return what is to be kept on disk, so that the next incarnation accepts nothing older."""
        return encode_versioned((self.version_floor, self._seen))
