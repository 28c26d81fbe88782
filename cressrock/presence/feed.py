"""A room's events for its watchers, numbered; a bounded number of the latest events is kept."""

from __future__ import annotations

import enum
import itertools
from collections import deque
from typing import NamedTuple

import msgspec


class EventKind(enum.StrEnum):
    """The kind of an event; the values are those of the admin port."""

    JOIN = "join"
    LEAVE = "leave"
    UPDATE = "update"
    MOVED = "moved"
    SUSPECTED = "unsure"
    CONFIRMED = "sure"
    LOCK_ORPHANED = "lock-orphaned"
    NAME_ACQUIRED = "held"
    NAME_FENCED = "fenced"


class Reason(enum.StrEnum):
    """Why a member left; the values are those of the gateway streams and the admin port."""

    LEFT = "left"  # its client left
    WITHDRAWN = "withdrawn"  # a join that did not reach its requested level of agreement
    SILENT = "silent"  # ended by its gateway: no contact with the client for `grace_ms`
    CLOSED = "closed"  # ended by its gateway: an orderly shutdown
    TIME = "time"  # its gateway was silent for `gone_ms`
    MOVED = "moved"  # the session continues at another gateway


class RoomEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a room; the encoded names are those of the admin port's JSON."""

    event: EventKind
    seq: int = 0
    member: str = ""
    gateway: str = ""
    incarnation: int = msgspec.field(default=0, name="life")
    data: bytes = b""
    locks: list[str] = []
    reason: str = msgspec.field(default="", name="why")
    name: str = ""
    number: int = 0


class Cursor(NamedTuple):
    """A position in a feed: the sequence number of an event within an epoch."""

    epoch: int
    seq: int


class EventFeed:
    """The last events of a room, numbered without gaps within an epoch.

    A new epoch invalidates all cursors of the previous one; a watcher with such a cursor needs a new
    snapshot.
    """

    def __init__(self, epoch: int, max_events: int) -> None:
        """Create an empty feed that keeps at most `max_events` events."""
        self.epoch = epoch
        self.last_seq = 0
        self.events: deque[RoomEvent] = deque()
        self._max_events = max_events

    @property
    def cursor(self) -> Cursor:
        """Return the position after the last event."""
        return Cursor(self.epoch, self.last_seq)

    def append(self, event: RoomEvent) -> None:
        """Append an event with the next sequence number; the oldest one is evicted if the feed is full."""
        self.last_seq += 1
        self.events.append(msgspec.structs.replace(event, seq=self.last_seq))
        while len(self.events) > self._max_events:
            self.events.popleft()

    def restart(self, epoch: int) -> None:
        """Begin another epoch and remove all events; sequence numbers continue."""
        self.epoch = epoch
        self.events.clear()

    def events_after(self, epoch: int, seq: int) -> list[RoomEvent] | None:
        """Return the events after a cursor; None if it is too old or of another epoch."""
        if epoch != self.epoch or seq > self.last_seq:
            return None
        if seq == self.last_seq:
            return []
        if not self.events or self.events[0].seq > seq + 1:
            return None
        return list(itertools.islice(self.events, seq + 1 - self.events[0].seq, None))
