"""This gateway's own members by room, and the log of their changes; no other gateway writes this state.

Changes are numbered over all rooms. Versions order changes without a clock, so merging at another gateway
gives the same result when changes arrive late or more than once.
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

ENTRY_OVERHEAD_BYTES = 40  # per entry of a page, in addition to its id, data and locks


@dataclass(slots=True)
class LocalRoom:
    """A room's own members, the log of recent changes, and the subscribed streams."""

    floor: int  # all changes after this version are in the log
    members: dict[str, MemberEntry] = field(default_factory=dict)
    log: deque[Change] = field(default_factory=deque)
    # Versions of other gateways that the changes so far depend on.
    causes: dict[Origin, int] = field(default_factory=dict)
    subscribers: dict[int, int] = field(default_factory=dict)  # stream number -> last version sent

    def changes_after(self, version: int) -> list[Change]:
        """Return the logged changes after a version, oldest first."""
        return [change for change in self.log if change.version > version]


class MemberEdit(msgspec.Struct, frozen=True):
    """A change to an own member.

    `entry` is None if the member is removed; `causes` are versions of other gateways that it depends on.
    """

    member_id: str
    entry: MemberEntry | None
    reason: str = ""
    causes: tuple[VersionStamp, ...] = ()


class LocalRooms:
    """This gateway's rooms that have own members or subscribers."""

    def __init__(self, settings: RoomSettings, directory: RoomDirectory) -> None:
        """`directory` is updated with the rooms that have own members."""
        self.settings, self.directory = settings, directory
        self.version = 0
        self.rooms: dict[str, LocalRoom] = {}
        self.unpublished: set[str] = set()  # rooms with changes that are not yet sent to subscribers
        self._directory_expiry_ms: dict[str, float] = {}  # when empty rooms leave the directory

    def open(self, room: str) -> LocalRoom:
        """Return a room, creating it if needed.  Raises PresenceLimitError."""
        local = self.rooms.get(room)
        if local is None:
            if len(self.rooms) >= self.settings.max_rooms:
                raise PresenceLimitError(
                    f"{self.settings.max_rooms} rooms at this gateway (presence.max_rooms)"
                )
            local = self.rooms[room] = LocalRoom(self.version)
        return local

    def record(self, now_ms: float, room: str, edit: MemberEdit, shown: Mapping[Origin, int]) -> Change:
        """Number and log an edit of a room's members.

        `shown` holds the versions of other gateways that were shown here since the last own change.
        """
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
            # A room that has been empty for less than `linger_ms` is still in the directory.
            if self._directory_expiry_ms.pop(room, None) is None:
                self.directory.add_own(room)
        elif not local.members and not was_empty:
            self._directory_expiry_ms[room] = now_ms + self.settings.linger_ms
        if local.subscribers:
            self.unpublished.add(room)
        return change

    def drop_unused(self, room: str) -> None:
        """Delete a room without members and subscribers, unless it is still in the directory."""
        local = self.rooms[room]
        if not local.members and not local.subscribers and room not in self._directory_expiry_ms:
            del self.rooms[room]

    def tick(self, now_ms: float) -> None:
        """Remove rooms from the directory that have been empty for `linger_ms`."""
        for room, expires_at_ms in list(self._directory_expiry_ms.items()):
            if expires_at_ms > now_ms:
                continue
            del self._directory_expiry_ms[room]
            local = self.rooms[room]
            if not local.members:
                self.directory.remove_own(room)
                if not local.subscribers:
                    del self.rooms[room]

    def snapshot(self, room: str) -> Iterator[SnapshotPage]:
        """Yield a room's own members in pages of about `page_bytes`; one empty page if there are none."""
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
            is_last = index == len(pages) - 1
            yield SnapshotPage(room, self.version, index == 0, is_last, entries, causes if is_last else [])
