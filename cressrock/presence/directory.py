"""The directory of which gateways have members in which rooms: hashes of rooms in 64 buckets per gateway.

The directory is spread by the fleet's gossip.  Its size is bounded whatever the number of members; the
members themselves are sent over streams to the gateways that follow a room.
"""

from __future__ import annotations

import hashlib
from typing import NamedTuple

from cressrock.presence.messages import FORMAT, Origin

BUCKETS = 64
KEY_PREFIX = "presence/"  # of the gossip keys, one for each bucket that contains a room
HASH_BYTES = 8  # if two rooms have the same hash, the only cost is an unnecessary subscription
MAX_ENTRY_BYTES = 600  # limit for the hashes of one bucket; above it the entry stands for "any room"

_HEADER_BYTES = 2  # the format, and 1 for "any room"
_ANY_ROOM = 1


class DirectoryUpdate(NamedTuple):
    """A gossip entry to set or, if the value is None, to remove."""

    key: str
    value: bytes | None


def room_hash(room: str) -> bytes:
    """Return a room's hash, HASH_BYTES long; the low bits of its first byte are the bucket."""
    return hashlib.blake2b(room.encode(), digest_size=HASH_BYTES).digest()


def bucket_of(room: str) -> int:
    """Return a room's bucket, 0 to BUCKETS - 1."""
    return room_hash(room)[0] % BUCKETS


class RoomDirectory:
    """The rooms that have members at this gateway, and those that may have members at others."""

    def __init__(self) -> None:
        """Create an empty directory."""
        self._own: dict[int, dict[bytes, int]] = {}  # bucket -> hash -> own rooms of that hash
        self._changed: set[int] = set()
        # By origin and bucket: the hashes of rooms; None means any room of the bucket.
        self._others: dict[Origin, dict[int, frozenset[bytes] | None]] = {}

    def add_own(self, room: str) -> None:
        """Add a room that now has members at this gateway."""
        self._count_own(room, 1)

    def remove_own(self, room: str) -> None:
        """Remove a room that no longer has members at this gateway."""
        self._count_own(room, -1)

    def _count_own(self, room: str, change: int) -> None:
        hashed_room = room_hash(room)
        bucket = hashed_room[0] % BUCKETS
        counts = self._own.setdefault(bucket, {})
        before = counts.get(hashed_room, 0)
        if before + change > 0:
            counts[hashed_room] = before + change
        else:
            counts.pop(hashed_room, None)
        if not before or hashed_room not in counts:
            self._changed.add(bucket)

    def drain_updates(self, max_bytes: int) -> list[DirectoryUpdate]:
        """Return the gossip entries that changed since the last call.

        If a bucket's hashes exceed `max_bytes`, its entry says that any room of the bucket may have members
        here; gateways that subscribe to one without members receive an empty snapshot.
        """
        updates: list[DirectoryUpdate] = []
        for bucket in sorted(self._changed):
            hashes = sorted(self._own.get(bucket, ()))
            value: bytes | None = None
            if len(hashes) * HASH_BYTES > max_bytes:
                value = bytes((FORMAT, _ANY_ROOM))
            elif hashes:
                value = bytes((FORMAT, 0)) + b"".join(hashes)
            updates.append(DirectoryUpdate(f"{KEY_PREFIX}{bucket:02x}", value))
        self._changed.clear()
        return updates

    def receive(self, origin: Origin, key: str, value: bytes | None) -> int | None:
        """Apply another gateway's entry; a value of None removes it.

        Returns the bucket that may have new rooms; None if there are none or the key is invalid.
        """
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
            buckets[bucket] = None  # written by a newer version: may stand for any room
        elif value[1]:
            buckets[bucket] = None
        else:
            starts = range(_HEADER_BYTES, len(value), HASH_BYTES)
            buckets[bucket] = frozenset(value[start : start + HASH_BYTES] for start in starts)
        return bucket

    def forget(self, origin: Origin) -> None:
        """Remove the entries of an origin that is no longer in the gossip."""
        self._others.pop(origin, None)

    def may_have_members(self, origin: Origin, room: str) -> bool:
        """Return whether an origin may have members in a room according to its entries."""
        buckets = self._others.get(origin)
        if not buckets:
            return False
        hashed_room = room_hash(room)
        bucket = hashed_room[0] % BUCKETS
        if bucket not in buckets:
            return False
        hashes = buckets[bucket]
        return hashes is None or hashed_room in hashes

    def origins(self) -> list[Origin]:
        """Return the origins that have entries, in the order of their first entry."""
        return list(self._others)

    def knows_later_incarnation(self, stamp_origin: Origin) -> bool:
        """Return whether the same gateway has entries from a later incarnation."""
        name, incarnation = stamp_origin
        return any(other.gateway == name and other.incarnation > incarnation for other in self._others)
