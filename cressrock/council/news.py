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

from cressrock.council import decrees as d

VERSION = 1
PREFIX, BEAT = "decree/", "beat/"
PIECE = 48  # numbers in one entry: at nine bytes each they fit the spread's largest value

Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class Mark(msgspec.Struct, frozen=True, array_like=True, tag="mark"):
    """A decree that is too large for the spread."""

    topic: d.Topic
    number: Whole
    renewed: Whole


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """A piece of what stood at a beat."""

    beat: Whole
    numbers: Annotated[list[Whole], msgspec.Meta(max_length=4 * PIECE)]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Mark | Beat)
_LARGE = 0x80 + VERSION  # no decree begins so: its first byte is its version


def _encode(message: Mark | Beat) -> bytes:
    return bytes((_LARGE,)) + _encoder.encode(message)


def _decode(data: bytes) -> Mark | Beat | None:
    """Read a mark or a beat; None for anything else, as another version may put here."""
    if not data or data[0] != _LARGE:
        return None
    try:
        return _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError):
        return None


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of this process to put into the spread; None removes it."""

    key: str
    value: bytes | None


class Teller:
    """One seat's entries.  `most` is the largest value that the spread takes, in bytes."""

    def __init__(self, most: int) -> None:
        """Start with nothing told."""
        self.most = most
        self.told: dict[str, int] = {}  # topic -> number
        self.pieces = 0

    def tell(self, standing: Iterable[d.Decree], beat: int) -> list[Change]:
        """Return what to change, with all that stands at this seat; `beat` 0: none was confirmed now."""
        found = {decree.topic: decree for decree in standing}
        changes = [Change(PREFIX + topic, None) for topic in sorted(self.told) if topic not in found]
        for change in changes:
            del self.told[change.key.removeprefix(PREFIX)]
        for topic, decree in sorted(found.items()):
            if self.told.get(topic) != decree.number:
                self.told[topic] = decree.number
                data = d.encode(decree)
                if len(data) > self.most:
                    data = _encode(Mark(topic, decree.number, decree.renewed))
                changes.append(Change(PREFIX + topic, data))
        if beat:
            numbers = sorted(decree.number for decree in found.values())
            pieces = [numbers[at : at + PIECE] for at in range(0, len(numbers), PIECE)]
            for index, piece in enumerate(pieces):
                changes.append(Change(f"{BEAT}{index}", _encode(Beat(beat, piece))))
            changes += [Change(f"{BEAT}{index}", None) for index in range(len(pieces), self.pieces)]
            self.pieces = len(pieces)
        return changes


class Taker:
    """One process's side: entries in, decrees for its reader out, and topics to ask a seat about.

    Bounded by `most` decrees, and by the beats of the newest numbers.
    """

    def __init__(self, most: int = d.MOST_TOPICS) -> None:
        """Start with nothing heard."""
        self.most = most
        self.held: dict[str, d.Decree] = {}
        self.beats: dict[int, int] = {}  # number -> newest beat
        self.asked: dict[str, Mark] = {}

    def take(self, key: str, value: bytes) -> tuple[list[d.Decree], list[str]]:
        """Take an entry of any seat; returns decrees for the reader, and topics to ask for.

        Raises BadDecree, StoreNewer for a decree that cannot be read.
        """
        if key.startswith(BEAT):
            message = _decode(value)
            return (self._beat(message), []) if isinstance(message, Beat) else ([], [])
        if not key.startswith(PREFIX):
            return [], []
        message = _decode(value)
        if isinstance(message, Mark):
            held = self.held.get(message.topic)
            if held is not None and held.number >= message.number:
                return self._renew([held], message.renewed), []
            asked = self.asked.get(message.topic)
            if asked is None and len(self.asked) >= self.most:
                return [], []
            if asked is None or asked.number < message.number:
                self.asked[message.topic] = message
            return [], [message.topic]
        return self.found(d.decode_decree(value)), []

    def found(self, decree: d.Decree) -> list[d.Decree]:
        """Take a decree itself, from the spread or from a seat's answer."""
        held, asked = self.held.get(decree.topic), self.asked.get(decree.topic)
        if asked is not None and asked.number <= decree.number:
            del self.asked[decree.topic]
        if held is not None and held.number > decree.number:
            return []
        if held is None and len(self.held) >= self.most:
            return [decree]
        beat = max(decree.renewed, self.beats.get(decree.number, 0))
        if held is not None and held.number == decree.number:
            beat = max(beat, held.renewed)
        decree = self.held[decree.topic] = msgspec.structs.replace(decree, renewed=beat)
        return [decree]

    def _beat(self, message: Beat) -> list[d.Decree]:
        for number in message.numbers:
            self.beats[number] = max(self.beats.get(number, 0), message.beat)
        if len(self.beats) > 2 * self.most:
            newest = sorted(self.beats, key=lambda number: (self.beats[number], number))[-self.most :]
            self.beats = {number: self.beats[number] for number in newest}
        numbers = set(message.numbers)
        return self._renew([h for h in self.held.values() if h.number in numbers], message.beat)

    def _renew(self, held: list[d.Decree], beat: int) -> list[d.Decree]:
        found = [msgspec.structs.replace(decree, renewed=beat) for decree in held if decree.renewed < beat]
        self.held.update((decree.topic, decree) for decree in found)
        return found
