"""SWIM's dissemination: updates that wait to be carried by outgoing messages, the least sent first."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from cressrock.membership.packets import MemberState, MemberUpdate, encoded_size


class _Key(NamedTuple):
    """One update waits for each member, or one for each accuser of a suspected member."""

    name: str
    accuser: str


class _Entry(NamedTuple):
    update: MemberUpdate
    size: int


class BroadcastQueue:
    """Updates by how often they were sent; each is sent a bounded number of times."""

    def __init__(self) -> None:
        """Begin empty."""
        # One level for each number of transmissions.  Ordered, as a plain dict's front gets slow where much
        # is taken from it.
        self._levels: list[OrderedDict[_Key, _Entry]] = [OrderedDict()]
        self._keys_by_name: dict[str, list[_Key]] = {}

    def __bool__(self) -> bool:
        """Whether any update waits."""
        return bool(self._keys_by_name)

    def __len__(self) -> int:
        """Return about how many members updates wait."""
        return len(self._keys_by_name)

    def enqueue(self, update: MemberUpdate) -> None:
        """Queue an update in place of all that was queued about its member."""
        self.discard(update.name)
        self.enqueue_beside(update)

    def enqueue_beside(self, update: MemberUpdate) -> None:
        """Queue an update beside those of other accusers of its member."""
        key = _Key(update.name, update.accuser if update.state is MemberState.SUSPECT else "")
        keys = self._keys_by_name.setdefault(update.name, [])
        if key in keys:
            return
        keys.append(key)
        self._levels[0][key] = _Entry(update, encoded_size(update))

    def discard(self, name: str) -> None:
        """Drop what is queued about a member."""
        for key in self._keys_by_name.pop(name, ()):
            for level in self._levels:
                if level.pop(key, None) is not None:
                    break

    def clear(self) -> None:
        """Drop everything."""
        self._levels = [OrderedDict()]
        self._keys_by_name.clear()

    def next_updates(self, max_bytes: int, max_transmissions: int) -> list[MemberUpdate]:
        """Return the least sent updates that fit; one that was sent `max_transmissions` times is dropped."""
        updates: list[MemberUpdate] = []
        sent: list[tuple[int, _Key]] = []
        remaining = max_bytes
        for transmissions, level in enumerate(self._levels):
            for key, (update, size) in level.items():
                if size > remaining:
                    remaining = -1
                    break
                remaining -= size
                updates.append(update)
                sent.append((transmissions, key))
            if remaining < 0:
                break
        for transmissions, key in sent:
            self._count_transmission(key, transmissions, max_transmissions)
        return updates

    def _count_transmission(self, key: _Key, transmissions: int, max_transmissions: int) -> None:
        entry = self._levels[transmissions].pop(key)
        if transmissions + 1 >= max_transmissions:
            keys = self._keys_by_name[key.name]
            keys.remove(key)
            if not keys:
                del self._keys_by_name[key.name]
            return
        if transmissions + 1 == len(self._levels):
            self._levels.append(OrderedDict())
        self._levels[transmissions + 1][key] = entry
