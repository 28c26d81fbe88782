"""Bounds and times of presence; the fields are the keys of the settings file's `presence`."""

from __future__ import annotations

import msgspec


class RoomSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds and times of the rooms' state."""

    max_members: int = 200_000  # own, over all rooms
    max_room: int = 20_000  # members of one room, as seen here
    max_rooms: int = 20_000  # with own members, or followed by others here
    max_views: int = 4096  # rooms followed here, and replicated for others
    max_data: int = 256  # bytes
    max_locks: int = 16
    log: int = 256  # changes of a room that a subscriber which was away may get instead of a snapshot
    feed: int = 1024  # events of a room that a watcher may lag behind
    max_held: int = 1024  # changes of one gateway in a room that wait for their causes
    grace_ms: float = 30_000.0
    silent_ms: float = 3000.0
    gone_ms: float = 60_000.0
    hold_back_ms: float = 2000.0
    linger_ms: float = 60_000.0
    page_bytes: int = 128 * 1024


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """What the service needs beside `RoomSettings`."""

    beat_ms: float = 1000.0
    tell_ms: float = 30.0
    sync_ms: float = 1000.0
    longest_wait_ms: float = 60_000.0
    hold_ms: float = 10_000.0
    carries_ms: float = 60_000.0
    max_watchers: int = 10_000
    max_names: int = 1024
    max_streams: int = 1024
    max_backlog_bytes: int = 8_388_608
    max_body_bytes: int = 65_536
