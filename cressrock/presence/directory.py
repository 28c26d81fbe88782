"""Where rooms have members, as the fleet's gossip carries it: hashes of rooms, 64 buckets a gateway.

That is bounded whatever the number of members; the members themselves come by streams to whoever follows a
room.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cressrock.presence.messages import FORMAT, Origin

BUCKETS = 64
KEY_PREFIX = "presence/"  # of the gossip's keys: one for each bucket that holds a room
HASH_BYTES = 8  # two rooms that share a hash cost one question too many, nothing else
MAX_ENTRY_BYTES = 600  # of hashes in one bucket; beyond it the entry says "any room"

_HEADER_BYTES = 2  # the format, and 1 for "any room"
_ANY_ROOM = 1


class DirectoryUpdate(NamedTuple):
    """An entry of the gossip to be set; without a value it is to be removed."""

    key: str
    value: bytes | None


def room_hash(room: str) -> bytes:
    """Return a room's hash as the gossip carries it; the first byte's low bits are its bucket."""
    return hashlib.blake2b(room.encode(), digest_size=HASH_BYTES).digest()


def bucket_of(room: str) -> int:
    """Return a room's bucket."""
    return room_hash(room)[0] % BUCKETS


class RoomDirectory:
    """Which rooms have members at this gateway, and which may have some at others."""

    def __init__(self) -> None:
        """Begin with no room anywhere."""
        self._own: dict[int, dict[bytes, int]] = {}  # bucket -> hash -> own rooms of that hash
        self._changed: set[int] = set()
        # Of each origin and bucket the hashes of its rooms; None: it may have any room of the bucket.
        self._others: dict[Origin, dict[int, frozenset[bytes] | None]] = {}

    def add_own(self, room: str) -> None:
        """Enter a room that has members here now."""
        self._count_own(room, 1)

    def remove_own(self, room: str) -> None:
        """Remove a room that has no members here any more."""
        self._count_own(room, -1)

    def _count_own(self, room: str, change: int) -> None:
        mark = room_hash(room)
        bucket = mark[0] % BUCKETS
        counts = self._own.setdefault(bucket, {})
        before = counts.get(mark, 0)
        if before + change > 0:
            counts[mark] = before + change
        else:
            counts.pop(mark, None)
        if not before or mark not in counts:
            self._changed.add(bucket)

    def drain_updates(self, max_bytes: int) -> list[DirectoryUpdate]:
        """Return the gossip's entries that changed since the last call.

        Where the hashes are over `max_bytes`, the entry says that any room of this bucket may have members
        here: who asks finds out.
        """
        updates: list[DirectoryUpdate] = []
        for bucket in sorted(self._changed):
            marks = sorted(self._own.get(bucket, ()))
            value: bytes | None = None
            if len(marks) * HASH_BYTES > max_bytes:
                value = bytes((FORMAT, _ANY_ROOM))
            elif marks:
                value = bytes((FORMAT, 0)) + b"".join(marks)
            updates.append(DirectoryUpdate(f"{KEY_PREFIX}{bucket:02x}", value))
        self._changed.clear()
        return updates

    def receive(self, origin: Origin, key: str, value: bytes | None) -> int | None:
        """Read another gateway's entry (None: removed); return the bucket that may have new rooms."""
        try:
            bucket = int(key.removeprefix(KEY_PREFIX), 16)
        except ValueError:
            return None
        if not 0 <= bucket < BUCKETS:
            return None
        buckets = self._others.setdefault(origin, {})
        if value is None:
            buckets.pop(bucket, None)
            if not buckets:
                self._others.pop(origin)
            return None
        if len(value) < _HEADER_BYTES or value[0] != FORMAT or len(value) % HASH_BYTES != _HEADER_BYTES:
            buckets[bucket] = None  # of a newer program: it may have any room
        elif value[1]:
            buckets[bucket] = None
        else:
            starts = range(_HEADER_BYTES, len(value), HASH_BYTES)
            buckets[bucket] = frozenset(value[start : start + HASH_BYTES] for start in starts)
        return bucket

    def forget(self, origin: Origin) -> None:
        """Drop an origin's entries, which the gossip no longer holds."""
        self._others.pop(origin, None)

    def may_have_members(self, origin: Origin, room: str) -> bool:
        """Whether an origin may have members in a room, by its entries."""
        buckets = self._others.get(origin)
        if not buckets:
            return False
        mark = room_hash(room)
        bucket = mark[0] % BUCKETS
        if bucket not in buckets:
            return False
        marks = buckets[bucket]
        return marks is None or mark in marks

    def origins(self) -> list[Origin]:
        """Return the origins that have entries, in the order in which they first had."""
        return list(self._others)

    def knows_later_incarnation(self, stamp_origin: Origin) -> bool:
        """Whether the same gateway has entries of a later incarnation."""
        name, incarnation = stamp_origin
        return any(other.gateway == name and other.incarnation > incarnation for other in self._others)
