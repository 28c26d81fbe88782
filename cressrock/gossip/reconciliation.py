"""Anti-entropy by versions: digests, deltas after them, and everything for a full exchange.

Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas 2008): a digest names up to which version its
sender knows each origin, a delta has what lies after, in the order of versions.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Iterable
from typing import NamedTuple

from cressrock.gossip.entry_table import EntryTable
from cressrock.gossip.messages import (
    EncodedEntry,
    EncodedSection,
    KnownVersion,
    MessageKind,
    Origin,
    decode_digest,
    encode,
    encode_changes,
    encode_digest,
    encode_entry,
    raw_entries,
)
from cressrock.gossip.origin_state import OriginState

MIN_DIGEST_BYTES = 320  # so that one origin of the longest name always fits
DIGEST_BYTES = 100  # at most, of a digest beside its list and the name it starts with
MESSAGE_BYTES = 8  # of a message of changes, beside its sections
SECTION_BYTES = 48  # at most, of a section beside its origin's name and its entries


class Cursor(NamedTuple):
    """Where a message that was full goes on: after this version of this origin."""

    name: str
    process_incarnation: int
    version: int

    @property
    def origin(self) -> Origin:
        """The origin."""
        return (self.name, self.process_incarnation)


Missing = tuple[Origin, int]
"""An origin of which somebody lacks what lies after a version."""


class EncodedMessage(NamedTuple):
    """A message of changes, and where the next one goes on (None: that was all)."""

    data: bytes
    cursor: Cursor | None


class Reconciliation:
    """Encodes what this process has and what others lack."""

    def __init__(self, table: EntryTable, rng: random.Random) -> None:
        """Begin with the first origin."""
        self._table = table
        self._rng = rng
        self.next_origin: Origin | None = None
        self.catch_up_digests = 0  # digests to come that are as large as allowed

    def expect_more(self) -> None:
        """Ask with larger digests for a while: a delta brought something, so more may be missing."""
        self.catch_up_digests = self._table.settings.catch_up_digests

    def restart(self) -> None:
        """Begin again with the first origin, at the pace of one that misses nothing."""
        self.next_origin, self.catch_up_digests = None, 0

    # --- digests

    def digest(self, max_bytes: int) -> bytes:
        """Return what is known of the next origins, in their order, and the range that this covers.

        The range goes round: the bytes of one digest do not grow with the number of origins.
        """
        if self.catch_up_digests <= 0:
            max_bytes = min(max_bytes, max(MIN_DIGEST_BYTES, self._table.settings.idle_digest_bytes))
        self.catch_up_digests -= self.catch_up_digests > 0
        order = self._table.order
        start = self.next_origin if self.next_origin is not None else ("", 0)
        index = bisect_left(order, start)
        remaining = max_bytes - len(start[0].encode()) - DIGEST_BYTES
        known: list[tuple[str | int, ...]] = []
        while index < len(order):
            version = self._known_version(order[index])
            remaining -= len(encode(version))
            if remaining < 0 and known:
                break
            known.append(version)
            index += 1
        self.next_origin = order[index] if index < len(order) else None
        return encode_digest(start, self.next_origin, known)

    def _known_version(self, origin: Origin) -> tuple[str | int, ...]:
        """Return the fields of a `KnownVersion`; those of a sweep only while there is one."""
        state = self._table.states[origin]
        if state.sweep is None:
            return (*origin, state.known)
        return (*origin, state.known, state.sweep.floor, state.sweep.upto)

    # --- deltas

    def deltas(self, digest: bytes, max_bytes: int, max_messages: int) -> list[bytes]:
        """Return what a digest's sender lacks within its range, in up to so many messages.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        missing = self._missing(digest)
        if missing:
            # Each who answers begins elsewhere, or all would send the same first entries.
            first = self._rng.randrange(len(missing))
            missing = missing[first:] + missing[:first]
        messages: list[bytes] = []
        while missing and len(messages) < max_messages:
            data, cursor = self.encode_after(MessageKind.DELTA, missing, max_bytes)
            if data:
                messages.append(data)
            if cursor is None:
                break
            index = next(i for i, (origin, _) in enumerate(missing) if origin == cursor.origin)
            if not data and cursor.version == missing[index][1]:
                # Larger than any datagram: the full exchange has to send it.
                missing = missing[index + 1 :]
                continue
            missing = missing[index:]
            missing[0] = (cursor.origin, cursor.version)
        return messages

    def _missing(self, digest: bytes) -> list[Missing]:
        """Return what a digest's sender lacks of the origins in its range."""
        request = decode_digest(digest, self._table.settings.max_message_bytes)
        known = {(version.name, version.process_incarnation): version for version in request.known}
        order = self._table.order
        low = bisect_left(order, (request.start.name, request.start.process_incarnation))
        high = len(order)
        if request.end is not None:
            high = bisect_left(order, (request.end.name, request.end.process_incarnation))
        missing: list[Missing] = []
        for origin in order[low:high]:
            state, version = self._table.states[origin], known.get(origin)
            if version is not None and state.known <= version.known:
                continue  # nearly always
            after = _lacks_after(state, version)
            if after is not None:
                missing.append((origin, after))
        return missing

    # --- everything

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of everything after the cursor, and the next cursor."""
        order = self._table.order
        start = 0 if after is None else bisect_left(order, after.origin)
        waiting: list[Missing] = []
        for origin in order[start:]:
            version = after.version if after is not None and origin == after.origin else 0
            if self._table.states[origin].known > version:
                waiting.append((origin, version))
        return self.encode_after(MessageKind.FULL, waiting, max_bytes)

    def encode_after(self, kind: MessageKind, missing: Iterable[Missing], max_bytes: int) -> EncodedMessage:
        """Return as much of what is missing as fits one message."""
        remaining = max_bytes - MESSAGE_BYTES
        sections: list[EncodedSection] = []
        cursor: Cursor | None = None
        for origin, after in missing:
            state = self._table.states[origin]
            head = len(origin[0].encode()) + SECTION_BYTES
            if remaining <= head:
                cursor = Cursor(*origin, after)
                break
            remaining -= head
            entries: list[EncodedEntry] = []
            upto, complete = state.known, True
            for key, entry in state.entries_after(after):
                data = encode_entry(key, entry.version, entry.payload)
                if len(data) > remaining:
                    upto, complete = (entries[-1][0] if entries else after), False
                    break
                remaining -= len(data)
                entries.append((entry.version, data))
            if complete or entries:
                raws = raw_entries(entries)
                sections.append(EncodedSection(*origin, after, upto, state.floor, complete, raws))
            if not complete:
                cursor = Cursor(*origin, upto)
                break
        return EncodedMessage(encode_changes(kind, sections) if sections else b"", cursor)


def _lacks_after(state: OriginState, known: KnownVersion | None) -> int | None:
    """Return after which version an origin has to be sent, None if it cannot be or nothing is lacked."""
    if known is None:
        return 0 if state.known else None
    if state.known <= known.known or state.floor < known.floor:
        return None
    after = known.known
    if after < state.floor:
        # What went below the floor cannot be told: the origin is swept, from 0 or as far as it has come.
        after = known.swept if known.floor == state.floor else 0
    return after if after <= state.known else None
