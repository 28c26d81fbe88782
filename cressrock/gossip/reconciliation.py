"""Version-based anti-entropy: digests, the deltas that answer them, and the full state for exchanges.

Scuttlebutt reconciliation (van Renesse, Dumitriu, Gough, Thomas 2008): a digest lists the version up to which
its sender knows each origin; a delta contains the later entries in version order.
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

MIN_DIGEST_BYTES = 320  # one origin with the longest name always fits
DIGEST_OVERHEAD_BYTES = 100  # upper bound for a digest without its list and its start name
MESSAGE_OVERHEAD_BYTES = 8  # encoding overhead of a message of changes without its sections
SECTION_OVERHEAD_BYTES = 48  # upper bound for a section without its origin's name and its entries


class Cursor(NamedTuple):
    """The position after which the next message continues: a version of an origin."""

    name: str
    process_incarnation: int
    version: int

    @property
    def origin(self) -> Origin:
        """The position's name and process incarnation."""
        return (self.name, self.process_incarnation)


MissingEntries = tuple[Origin, int]
"""An origin, and the version after which the receiver lacks its entries."""


class EncodedMessage(NamedTuple):
    """An encoded message of changes, and where the next one continues (None: nothing is left)."""

    data: bytes
    cursor: Cursor | None


class Reconciliation:
    """Encodes digests of this process's state, and the entries that other processes lack."""

    def __init__(self, table: EntryTable, rng: random.Random) -> None:
        """Start digests at the first origin; `rng` picks the origin at which the deltas of a reply start."""
        self._table = table
        self._rng = rng
        self.next_origin: Origin | None = None  # start of the next digest; None for the first origin
        self.catch_up_digests = 0  # upcoming digests that may use the caller's full size

    def enlarge_digests(self) -> None:
        """Allow full-size digests for the next `catch_up_digests` digests.

        Called after a delta brought new entries, because more may be missing.
        """
        self.catch_up_digests = self._table.settings.catch_up_digests

    def restart(self) -> None:
        """Continue at the first origin with digests of idle size."""
        self.next_origin, self.catch_up_digests = None, 0

    # --- digests

    def digest(self, max_bytes: int) -> bytes:
        """Return an encoded digest of the known versions of the next origins, and the range they cover.

        Successive digests cycle through all origins, so the size of one does not grow with their number.
        """
        if self.catch_up_digests <= 0:
            max_bytes = min(max_bytes, max(MIN_DIGEST_BYTES, self._table.settings.idle_digest_bytes))
        self.catch_up_digests -= self.catch_up_digests > 0
        order = self._table.order
        start = self.next_origin if self.next_origin is not None else ("", 0)
        index = bisect_left(order, start)
        remaining_bytes = max_bytes - len(start[0].encode()) - DIGEST_OVERHEAD_BYTES
        known: list[tuple[str | int, ...]] = []
        while index < len(order):
            version = self._known_version(order[index])
            remaining_bytes -= len(encode(version))
            if remaining_bytes < 0 and known:
                break
            known.append(version)
            index += 1
        self.next_origin = order[index] if index < len(order) else None
        return encode_digest(start, self.next_origin, known)

    def _known_version(self, origin: Origin) -> tuple[str | int, ...]:
        """Return the fields of a `KnownVersion`, with those of a sweep only while one is in progress."""
        state = self._table.states[origin]
        if state.sweep is None:
            return (*origin, state.known)
        return (*origin, state.known, state.sweep.floor, state.sweep.upto)

    # --- deltas

    def deltas(self, digest: bytes, max_bytes: int, max_messages: int) -> list[bytes]:
        """Return what a digest's sender lacks within the digest's range, in up to `max_messages` messages.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        missing = self._find_missing(digest)
        if missing:
            # Each replying process starts at a random origin, so that not all send the same entries first.
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
                # The entry does not fit into a datagram; only a full exchange can send it.
                missing = missing[index + 1 :]
                continue
            missing = missing[index:]
            missing[0] = (cursor.origin, cursor.version)
        return messages

    def _find_missing(self, digest: bytes) -> list[MissingEntries]:
        """Return the origins in the digest's range of which its sender lacks entries.

        Raises MalformedGossipError or UnsupportedGossipFormatError.
        """
        request = decode_digest(digest, self._table.settings.max_message_bytes)
        known = {(version.name, version.process_incarnation): version for version in request.known}
        order = self._table.order
        low = bisect_left(order, (request.start.name, request.start.process_incarnation))
        high = len(order)
        if request.end is not None:
            high = bisect_left(order, (request.end.name, request.end.process_incarnation))
        missing: list[MissingEntries] = []
        for origin in order[low:high]:
            state, version = self._table.states[origin], known.get(origin)
            if version is not None and state.known <= version.known:
                continue  # the usual case, decided without calling _resend_after
            after = _resend_after(state, version)
            if after is not None:
                missing.append((origin, after))
        return missing

    # --- full state

    def full_state(self, after: Cursor | None, max_bytes: int) -> EncodedMessage:
        """Return a message of the full state after the cursor, and the next cursor (None at the end)."""
        order = self._table.order
        start = 0 if after is None else bisect_left(order, after.origin)
        unsent: list[MissingEntries] = []
        for origin in order[start:]:
            version = after.version if after is not None and origin == after.origin else 0
            if self._table.states[origin].known > version:
                unsent.append((origin, version))
        return self.encode_after(MessageKind.FULL, unsent, max_bytes)

    def encode_after(
        self, kind: MessageKind, missing: Iterable[MissingEntries], max_bytes: int
    ) -> EncodedMessage:
        """Return a message with as many of the missing entries as fit, and where to continue."""
        remaining_bytes = max_bytes - MESSAGE_OVERHEAD_BYTES
        sections: list[EncodedSection] = []
        cursor: Cursor | None = None
        for origin, after in missing:
            state = self._table.states[origin]
            overhead_bytes = len(origin[0].encode()) + SECTION_OVERHEAD_BYTES
            if remaining_bytes <= overhead_bytes:
                cursor = Cursor(*origin, after)
                break
            remaining_bytes -= overhead_bytes
            entries: list[EncodedEntry] = []
            upto, is_complete = state.known, True
            for key, entry in state.entries_after(after):
                data = encode_entry(key, entry.version, entry.payload)
                if len(data) > remaining_bytes:
                    upto, is_complete = (entries[-1][0] if entries else after), False
                    break
                remaining_bytes -= len(data)
                entries.append((entry.version, data))
            if is_complete or entries:
                encoded_entries = raw_entries(entries)
                sections.append(
                    EncodedSection(*origin, after, upto, state.floor, is_complete, encoded_entries)
                )
            if not is_complete:
                cursor = Cursor(*origin, upto)
                break
        return EncodedMessage(encode_changes(kind, sections) if sections else b"", cursor)


def _resend_after(state: OriginState, known: KnownVersion | None) -> int | None:
    """Return the version after which to send an origin's entries to a replica with these known versions.

    None if it lacks nothing, or if this state is too old to answer its sweep.
    """
    if known is None:
        return 0 if state.known else None
    if state.known <= known.known or state.floor < known.floor:
        return None
    after = known.known
    if after < state.floor:
        # The tombstones up to the floor are gone, so the receiver sweeps the origin: from version 0, or from
        # where its sweep with the same floor has got to.
        after = known.swept if known.floor == state.floor else 0
    return after if after <= state.known else None
