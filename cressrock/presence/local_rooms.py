"""This gateway's own members by room, and the log of what changed: the part that no other gateway writes.

Changes are numbered over all rooms; a later version is newer without any clock, so that merging at another
gateway comes to the same whatever arrives late or twice.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

import msgspec

from cressrock.errors.presence import PresenceLimitError
from cressrock.presence.directory import RoomDirectory
from cressrock.presence.messages import Change, MemberEntry, Origin, SnapshotPage, VersionStamp
from cressrock.presence.settings import RoomSettings

ENTRY_OVERHEAD_BYTES = 40  # of an entry in a page, beside its id, data and locks


@dataclass(slots=True)
class LocalRoom:
    """A room's own members, the changes that are remembered, and who follows them."""

    floor: int  # changes after it are in the log
    members: dict[str, MemberEntry] = field(default_factory=dict)
    log: deque[Change] = field(default_factory=deque)
    causes: dict[Origin, int] = field(default_factory=dict)  # what all changes so far follow
    subscribers: dict[int, int] = field(default_factory=dict)  # stream -> sent up to

    def changes_after(self, version: int) -> list[Change]:
        """Return the remembered changes after a version."""
        return [change for change in self.log if change.version > version]


class MemberEdit(msgspec.Struct, frozen=True):
    """What happens to an own member: its new entry, or none, why, and what of other gateways it follows."""

    member_id: str
    entry: MemberEntry | None
    reason: str = ""
    causes: tuple[VersionStamp, ...] = ()


class LocalRooms:
    """All rooms with own members or with subscribers."""

    def __init__(self, settings: RoomSettings, directory: RoomDirectory) -> None:
        """`directory` takes which rooms have members."""
        self.settings, self.directory = settings, directory
        self.version = 0
        self.rooms: dict[str, LocalRoom] = {}
        self.unpublished: set[str] = set()  # rooms whose subscribers have to be sent something
        self._emptied: dict[str, float] = {}  # rooms without members, still in the directory until then

    def open(self, room: str) -> LocalRoom:
        """Return a room, which begins if there is none.  Raises PresenceLimitError."""
        local = self.rooms.get(room)
        if local is None:
            if len(self.rooms) >= self.settings.max_rooms:
                raise PresenceLimitError(
                    f"{self.settings.max_rooms} rooms at this gateway (presence.max_rooms)"
                )
            local = self.rooms[room] = LocalRoom(self.version)
        return local

    def record(self, now_ms: float, room: str, edit: MemberEdit, shown: Mapping[Origin, int]) -> Change:
        """Number and log an edit of a room's members; `shown` is what was shown of others since the last."""
        local = self.open(room)
        causes = list(edit.causes)
        if shown:
            causes += [VersionStamp(*origin, version) for origin, version in shown.items()]
            local.causes.update(shown)
        for stamp in edit.causes:
            local.causes[stamp.origin] = max(stamp.version, local.causes.get(stamp.origin, 0))
        self.version += 1
        change = Change(self.version, edit.member_id, edit.entry, edit.reason, causes)
        was_empty = not local.members
        if edit.entry is None:
            local.members.pop(edit.member_id, None)
        else:
            local.members[edit.member_id] = edit.entry
        local.log.append(change)
        while len(local.log) > self.settings.log:
            local.floor = local.log.popleft().version
        if was_empty and local.members:
            # A room that has been empty for less than the linger is still in the directory.
            if self._emptied.pop(room, None) is None:
                self.directory.add_own(room)
        elif not local.members and not was_empty:
            self._emptied[room] = now_ms + self.settings.linger_ms
        if local.subscribers:
            self.unpublished.add(room)
        return change

    def drop_unused(self, room: str) -> None:
        """Drop a room without members and subscribers, unless it lingers in the directory."""
        local = self.rooms[room]
        if not local.members and not local.subscribers and room not in self._emptied:
            del self.rooms[room]

    def tick(self, now_ms: float) -> None:
        """Take rooms that have been empty for the linger out of the directory."""
        for room, expires_at_ms in list(self._emptied.items()):
            if expires_at_ms > now_ms:
                continue
            del self._emptied[room]
            local = self.rooms[room]
            if not local.members:
                self.directory.remove_own(room)
                if not local.subscribers:
                    del self.rooms[room]

    def snapshot(self, room: str) -> Iterator[SnapshotPage]:
        """Yield all own members of a room in pages of bounded size."""
        local = self.rooms[room]
        pages: list[list[MemberEntry]] = [[]]
        bytes_left = self.settings.page_bytes
        for entry in local.members.values():
            size = len(entry.id) + len(entry.data) + sum(map(len, entry.locks)) + ENTRY_OVERHEAD_BYTES
            if size > bytes_left:
                pages.append([])
                bytes_left = self.settings.page_bytes
            bytes_left -= size
            pages[-1].append(entry)
        causes = [VersionStamp(*origin, version) for origin, version in local.causes.items()]
        for index, entries in enumerate(pages):
            last = index == len(pages) - 1
            yield SnapshotPage(room, self.version, index == 0, last, entries, causes if last else [])
