"""How decrees travel in the spread: what a seat tells of them, what a process takes from all seats.  Pure.

- `decree/TOPIC`: the decree itself, told once for each number.  One that is too large for the spread is told
  by its number alone, and is asked for at a seat.
- `beat/I`: the newest beat, with the numbers of the decrees that stood when a quorum confirmed it, in pieces.
  So renewing any number of decrees costs a few hundred bytes, not each decree again.

A process takes the newest of what all seats tell.  What stands in a beat is renewed by it; what does not
lives on to the end of its hold.  A seat that was cut off goes on telling what it knew, which renews nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from cressrock.consensus import decisions as d

FORMAT_VERSION = 1
DECISION_PREFIX, RENEWAL_PREFIX = "decree/", "beat/"
VERSIONS_PER_ENTRY = 48  # numbers in one entry: at nine bytes each they fit the spread's largest value

Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class DecisionReference(msgspec.Struct, frozen=True, array_like=True, tag="mark"):
    """A decree that is too large for the spread."""

    topic: d.Topic
    version: Whole
    renewal: Whole


class LeaseRenewal(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A piece of what stood at a beat."""

    renewal: Whole
    versions: Annotated[list[Whole], msgspec.Meta(max_length=4 * VERSIONS_PER_ENTRY)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(DecisionReference | LeaseRenewal)
_LARGE = 0x80 + FORMAT_VERSION  # no decree begins so: its first byte is its version


def _encode(message: DecisionReference | LeaseRenewal) -> bytes:
    return bytes((_LARGE,)) + _encoder.encode(message)


def _decode(data: bytes) -> DecisionReference | LeaseRenewal | None:
    """Read a mark or a beat; None for anything else, as another version may put here."""
    if not data or data[0] != _LARGE:
        return None
    try:
        return _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(frozen=True, slots=True)
class GossipChange:
    """An entry of this process to put into the spread; None removes it."""

    key: str
    value: bytes | None


class DecisionPublisher:
    """One seat's entries.  `most` is the largest value that the spread takes, in bytes."""

    def __init__(self, max_value_bytes: int) -> None:
        """Start with nothing told."""
        self.max_value_bytes = max_value_bytes
        self.published_versions: dict[str, int] = {}  # topic -> number
        self.renewal_entries = 0

    def publish(self, standing: Iterable[d.Decision], beat: int) -> list[GossipChange]:
        """Return what to change, with all that stands at this seat; `beat` 0: none was confirmed now."""
        found = {decree.topic: decree for decree in standing}
        changes = [
            GossipChange(DECISION_PREFIX + topic, None)
            for topic in sorted(self.published_versions)
            if topic not in found
        ]
        for change in changes:
            del self.published_versions[change.key.removeprefix(DECISION_PREFIX)]
        for topic, decree in sorted(found.items()):
            if self.published_versions.get(topic) != decree.version:
                self.published_versions[topic] = decree.version
                data = d.encode(decree)
                if len(data) > self.max_value_bytes:
                    data = _encode(DecisionReference(topic, decree.version, decree.renewal))
                changes.append(GossipChange(DECISION_PREFIX + topic, data))
        if beat:
            numbers = sorted(decree.version for decree in found.values())
            pieces = [
                numbers[at : at + VERSIONS_PER_ENTRY] for at in range(0, len(numbers), VERSIONS_PER_ENTRY)
            ]
            for index, piece in enumerate(pieces):
                changes.append(GossipChange(f"{RENEWAL_PREFIX}{index}", _encode(LeaseRenewal(beat, piece))))
            changes += [
                GossipChange(f"{RENEWAL_PREFIX}{index}", None)
                for index in range(len(pieces), self.renewal_entries)
            ]
            self.renewal_entries = len(pieces)
        return changes


class DecisionSubscriber:
    """One process's side: entries in, decrees for its reader out, and topics to ask a seat about.

    Bounded by `most` decrees, and by the beats of the newest numbers.
    """

    def __init__(self, max_topics: int = d.MAX_TOPICS) -> None:
        """Start with nothing heard."""
        self.max_topics = max_topics
        self.decisions: dict[str, d.Decision] = {}
        self.renewals: dict[int, int] = {}  # number -> newest beat
        self.pending_fetches: dict[str, DecisionReference] = {}

    def receive_entry(self, key: str, value: bytes) -> tuple[list[d.Decision], list[str]]:
        """Take an entry of any seat; returns decrees for the reader, and topics to ask for.

        Raises BadDecree, StoreNewer for a decree that cannot be read.
        """
        if key.startswith(RENEWAL_PREFIX):
            message = _decode(value)
            return (self._beat(message), []) if isinstance(message, LeaseRenewal) else ([], [])
        if not key.startswith(DECISION_PREFIX):
            return [], []
        message = _decode(value)
        if isinstance(message, DecisionReference):
            held = self.decisions.get(message.topic)
            if held is not None and held.version >= message.version:
                return self._renew([held], message.renewal), []
            asked = self.pending_fetches.get(message.topic)
            if asked is None and len(self.pending_fetches) >= self.max_topics:
                return [], []
            if asked is None or asked.version < message.version:
                self.pending_fetches[message.topic] = message
            return [], [message.topic]
        return self.receive_decision(d.decode_decision(value)), []

    def receive_decision(self, decree: d.Decision) -> list[d.Decision]:
        """Take a decree itself, from the spread or from a seat's answer."""
        held, asked = self.decisions.get(decree.topic), self.pending_fetches.get(decree.topic)
        if asked is not None and asked.version <= decree.version:
            del self.pending_fetches[decree.topic]
        if held is not None and held.version > decree.version:
            return []
        if held is None and len(self.decisions) >= self.max_topics:
            return [decree]
        beat = max(decree.renewal, self.renewals.get(decree.version, 0))
        if held is not None and held.version == decree.version:
            beat = max(beat, held.renewal)
        decree = self.decisions[decree.topic] = msgspec.structs.replace(decree, renewal=beat)
        return [decree]

    def _beat(self, message: LeaseRenewal) -> list[d.Decision]:
        for number in message.versions:
            self.renewals[number] = max(self.renewals.get(number, 0), message.renewal)
        if len(self.renewals) > 2 * self.max_topics:
            newest = sorted(self.renewals, key=lambda number: (self.renewals[number], number))[
                -self.max_topics :
            ]
            self.renewals = {number: self.renewals[number] for number in newest}
        numbers = set(message.versions)
        return self._renew([h for h in self.decisions.values() if h.version in numbers], message.renewal)

    def _renew(self, held: list[d.Decision], beat: int) -> list[d.Decision]:
        found = [msgspec.structs.replace(decree, renewal=beat) for decree in held if decree.renewal < beat]
        self.decisions.update((decree.topic, decree) for decree in found)
        return found
