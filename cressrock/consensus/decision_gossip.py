"""Distribution of decisions by gossip: the entries that replicas publish, and how processes read them.

- `decree/TOPIC`: the decision itself, published once for each version.  A decision that is too large for
  gossip is published as a reference to its version, and is fetched from a replica.
- `beat/I`: the newest renewal, with the versions of the decisions that were current when a quorum confirmed
  it, split over several entries.  A renewal therefore costs a few hundred bytes instead of repeating each
  decision.

A process uses the newest entry that any replica publishes.  A renewal extends the leases of the decisions
whose versions it lists; any other decision expires at the end of its lease.  A partitioned replica keeps
publishing its old entries, which renew nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from cressrock.consensus.decisions import (
    MAX_TOPICS,
    Count,
    Decision,
    Topic,
    decode_decision,
    encode,
    gossip_key,
    with_renewal,
)

FORMAT_VERSION = 1
DECISION_PREFIX, RENEWAL_PREFIX = "decree/", "beat/"
VERSIONS_PER_ENTRY = 48  # at nine bytes each, an entry fits the largest gossip value


class DecisionReference(msgspec.Struct, frozen=True, array_like=True, tag="mark"):
    """Published instead of a decision that is too large for gossip."""

    topic: Topic
    version: Count
    renewal: Count


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """One part of the versions that a renewal extends."""

    renewal: Count
    versions: Annotated[list[Count], msgspec.Meta(max_length=4 * VERSIONS_PER_ENTRY)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DecisionReference | LeaseRenewal)
_FIRST_BYTE = (
    0x80 + FORMAT_VERSION
)  # cannot start an encoded decision, whose first byte is its format version


def encode_entry(message: DecisionReference | LeaseRenewal) -> bytes:
    """Return the gossip value of a reference or a renewal."""
    return bytes((_FIRST_BYTE,)) + _encoder.encode(message)


def _decode_entry(data: bytes) -> DecisionReference | LeaseRenewal | None:
    """Decode a reference or a renewal; return None for anything else, such as a newer format."""
    if not data or data[0] != _FIRST_BYTE:
        return None
    try:
        return _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(frozen=True, slots=True)
class GossipChange:
    """An entry of this process to set in gossip; a `value` of None removes it."""

    key: str
    value: bytes | None


class DecisionPublisher:
    """Computes the changes to one replica's gossip entries."""

    def __init__(self, max_value_bytes: int) -> None:
        """Start with nothing published; `max_value_bytes` is the largest value that gossip accepts."""
        self.max_value_bytes = max_value_bytes
        self.published_versions: dict[str, int] = {}  # by topic
        self.renewal_entries = 0

    def publish(self, current: Iterable[Decision], renewal: int) -> list[GossipChange]:
        """Return the changes for all current decisions; `renewal` is 0 if none was confirmed."""
        decisions = {decision.topic: decision for decision in current}
        changes = self._remove_dropped(decisions)
        for topic, decision in sorted(decisions.items()):
            if self.published_versions.get(topic) != decision.version:
                self.published_versions[topic] = decision.version
                changes.append(GossipChange(gossip_key(topic), self._encode_decision(decision)))
        if renewal:
            changes += self._publish_renewal(decisions.values(), renewal)
        return changes

    def _remove_dropped(self, decisions: dict[str, Decision]) -> list[GossipChange]:
        dropped = sorted(topic for topic in self.published_versions if topic not in decisions)
        for topic in dropped:
            del self.published_versions[topic]
        return [GossipChange(gossip_key(topic), None) for topic in dropped]

    def _encode_decision(self, decision: Decision) -> bytes:
        data = encode(decision)
        if len(data) > self.max_value_bytes:
            return encode_entry(DecisionReference(decision.topic, decision.version, decision.renewal))
        return data

    def _publish_renewal(self, decisions: Iterable[Decision], renewal: int) -> list[GossipChange]:
        versions = sorted(decision.version for decision in decisions)
        entries = [
            versions[start : start + VERSIONS_PER_ENTRY]
            for start in range(0, len(versions), VERSIONS_PER_ENTRY)
        ]
        changes = [
            GossipChange(f"{RENEWAL_PREFIX}{index}", encode_entry(LeaseRenewal(renewal, entry)))
            for index, entry in enumerate(entries)
        ]
        surplus = range(len(entries), self.renewal_entries)
        changes += [GossipChange(f"{RENEWAL_PREFIX}{index}", None) for index in surplus]
        self.renewal_entries = len(entries)
        return changes


class DecisionSubscriber:
    """Turns the gossip entries that a process receives into decisions for its reader and topics to fetch.

    Holds at most `max_topics` decisions and twice as many renewals, of which the newest are kept.
    """

    def __init__(self, max_topics: int = MAX_TOPICS) -> None:
        """Start empty; `max_topics` bounds the cached decisions."""
        self.max_topics = max_topics
        self.decisions: dict[str, Decision] = {}  # by topic
        self.renewals: dict[int, int] = {}  # version -> newest renewal
        self.pending_fetches: dict[str, DecisionReference] = {}  # by topic

    def receive_entry(self, key: str, value: bytes) -> tuple[list[Decision], list[str]]:
        """Process an entry of any replica; return decisions for the reader, and topics to fetch.

        Raises InvalidDecisionError, StoreTooNewError for a decision that cannot be decoded.
        """
        if key.startswith(RENEWAL_PREFIX):
            message = _decode_entry(value)
            return (self._receive_renewal(message), []) if isinstance(message, LeaseRenewal) else ([], [])
        if not key.startswith(DECISION_PREFIX):
            return [], []
        message = _decode_entry(value)
        if isinstance(message, DecisionReference):
            return self._receive_reference(message)
        return self.receive_decision(decode_decision(value)), []

    def receive_decision(self, decision: Decision) -> list[Decision]:
        """Cache a decision from gossip or from a replica; return the decisions that the reader must apply.

        A version older than the cached one is ignored.  A full cache returns the decision without caching
        it, so that a flood of topics cannot make this process lose a decision.
        """
        self._complete_fetch(decision)
        cached = self.decisions.get(decision.topic)
        if cached is not None and cached.version > decision.version:
            return []
        if cached is None and len(self.decisions) >= self.max_topics:
            return [decision]
        renewed = self._with_latest_renewal(decision, cached)
        self.decisions[decision.topic] = renewed
        return [renewed]

    def _complete_fetch(self, decision: Decision) -> None:
        reference = self.pending_fetches.get(decision.topic)
        if reference is not None and reference.version <= decision.version:
            del self.pending_fetches[decision.topic]

    def _with_latest_renewal(self, decision: Decision, cached: Decision | None) -> Decision:
        renewal = max(decision.renewal, self.renewals.get(decision.version, 0))
        if cached is not None and cached.version == decision.version:
            renewal = max(renewal, cached.renewal)
        return msgspec.structs.replace(decision, renewal=renewal)

    def _receive_reference(self, reference: DecisionReference) -> tuple[list[Decision], list[str]]:
        cached = self.decisions.get(reference.topic)
        if cached is not None and cached.version >= reference.version:
            return self._renew([cached], reference.renewal), []
        pending = self.pending_fetches.get(reference.topic)
        if pending is None and len(self.pending_fetches) >= self.max_topics:
            return [], []
        if pending is None or pending.version < reference.version:
            self.pending_fetches[reference.topic] = reference
        return [], [reference.topic]

    def _receive_renewal(self, message: LeaseRenewal) -> list[Decision]:
        for version in message.versions:
            self.renewals[version] = max(self.renewals.get(version, 0), message.renewal)
        if len(self.renewals) > 2 * self.max_topics:
            by_renewal = sorted(self.renewals, key=lambda version: (self.renewals[version], version))
            self.renewals = {version: self.renewals[version] for version in by_renewal[-self.max_topics :]}
        versions = set(message.versions)
        listed = [decision for decision in self.decisions.values() if decision.version in versions]
        return self._renew(listed, message.renewal)

    def _renew(self, cached: list[Decision], renewal: int) -> list[Decision]:
        """Apply a renewal to the decisions that have an older one, and return those."""
        renewed = with_renewal((one for one in cached if one.renewal < renewal), renewal)
        self.decisions.update((decision.topic, decision) for decision in renewed)
        return list(renewed)
