"""A room's events for its watchers: numbered, and remembered for as far back as the feed reaches."""

from __future__ import annotations

import enum
import itertools
from collections import deque
from typing import NamedTuple

import msgspec


class EventKind(enum.StrEnum):
    """What happened, as the admin port names it."""

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
    """Why a member left, as gateways and the admin port name it."""

    LEFT = "left"  # its client said so
    WITHDRAWN = "withdrawn"  # a join that did not come to its meaning
    SILENT = "silent"  # its gateway ended it: no contact for the grace
    CLOSED = "closed"  # its gateway ended it: an orderly stop
    TIME = "time"  # its gateway was silent for the stated time
    MOVED = "moved"  # it goes on at another gateway


class RoomEvent(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One event of a room; the outer names are those of the admin port's JSON."""

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
    """A place in a feed: an event's number, within an epoch of the feed."""

    epoch: int
    seq: int


class EventFeed:
    """The last events of a room, numbered without gap within an epoch.

    A new epoch makes every cursor of the former one invalid: its holder needs a new snapshot.
    """

    def __init__(self, epoch: int, max_events: int) -> None:
        """Begin empty."""
        self.epoch = epoch
        self.last_seq = 0
        self.events: deque[RoomEvent] = deque()
        self._max_events = max_events

    @property
    def cursor(self) -> Cursor:
        """Return the place after the last event."""
        return Cursor(self.epoch, self.last_seq)

    def append(self, event: RoomEvent) -> None:
        """Number an event and keep it, at the cost of the oldest one."""
        self.last_seq += 1
        self.events.append(msgspec.structs.replace(event, seq=self.last_seq))
        while len(self.events) > self._max_events:
            self.events.popleft()

    def restart(self, epoch: int) -> None:
        """Begin another epoch without events; the numbers go on."""
        self.epoch = epoch
        self.events.clear()

    def events_after(self, epoch: int, seq: int) -> list[RoomEvent] | None:
        """Return the events after a cursor; None where it is too old or of another epoch."""
        if epoch != self.epoch or seq > self.last_seq:
            return None
        if seq == self.last_seq:
            return []
        if not self.events or self.events[0].seq > seq + 1:
            return None
        return list(itertools.islice(self.events, seq + 1 - self.events[0].seq, None))
