"""Limits and times of presence; the fields are the keys under `presence` in the settings file."""

from __future__ import annotations

import msgspec


class RoomSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and times of the rooms' state."""

    max_members: int = 200_000  # this gateway's own members, over all rooms
    max_room: int = 20_000  # members of one room, over all gateways
    max_rooms: int = 20_000  # rooms with own members, and rooms that one other gateway may follow here
    max_views: int = 4096  # rooms followed by this gateway, including those replicated for others
    max_data: int = 256  # bytes of application data per member
    max_locks: int = 16  # per member
    log: int = 256  # changes kept per room; a reconnecting subscriber gets these instead of a snapshot
    feed: int = 1024  # events kept per room, which a watcher may lag behind
    max_held: int = 1024  # changes of one gateway in a room that are delayed until their causes are shown
    grace_ms: float = 30_000.0  # without contact from a client, until its session is ended
    silent_ms: float = 3000.0  # without contact from a gateway, until its members are unsure
    gone_ms: float = 60_000.0  # without contact from a gateway, until its members are removed
    hold_back_ms: float = 2000.0  # longest delay of a change whose causes are missing
    linger_ms: float = 60_000.0  # a room is followed, or an empty one stays listed, after its last use
    page_bytes: int = 128 * 1024  # of a snapshot


class ServiceSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits and times of the service, in addition to `RoomSettings`."""

    beat_ms: float = 1000.0  # between heartbeats on a stream
    tell_ms: float = 30.0  # delay before changes are sent, so that several go in one message
    sync_ms: float = 1000.0  # longest wait for the followed gateways when a room is opened
    longest_wait_ms: float = 60_000.0  # of a long poll
    hold_ms: float = 10_000.0  # how long a decision on an agreed name holds without renewal
    carries_ms: float = 60_000.0  # a volume counts as served after its last request
    max_watchers: int = 10_000
    max_names: int = 1024  # agreed names of this gateway's sessions
    max_streams: int = 1024  # opened by other gateways
    max_backlog_bytes: int = 8_388_608  # unsent, per stream
    max_body_bytes: int = 65_536  # of a request to the admin port
