"""SWIM's dissemination: a queue of updates to piggyback on outgoing messages, least transmitted first."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from cressrock.membership.packets import MemberState, MemberUpdate, encoded_size


class _Key(NamedTuple):
    """Identifies a queued update: one for each member, or one for each accuser of a suspected member."""

    name: str
    accuser: str


class _Entry(NamedTuple):
    update: MemberUpdate
    size: int


class BroadcastQueue:
    """Updates ordered by their number of transmissions; each is transmitted a limited number of times."""

    def __init__(self) -> None:
        """Start with an empty queue."""
        # One level for each number of transmissions.  Iterating over a plain dict would get slow after many
        # removals from its front, hence OrderedDict.
        self._levels: list[OrderedDict[_Key, _Entry]] = [OrderedDict()]
        self._keys_by_name: dict[str, list[_Key]] = {}

    def __bool__(self) -> bool:
        """Whether any update is queued."""
        return bool(self._keys_by_name)

    def __len__(self) -> int:
        """Return the number of members about which updates are queued."""
        return len(self._keys_by_name)

    def enqueue(self, update: MemberUpdate) -> None:
        """Queue an update, replacing all queued updates about its member."""
        self.discard(update.name)
        self.enqueue_additional(update)

    def enqueue_additional(self, update: MemberUpdate) -> None:
        """Queue an update, keeping those of other accusers; ignored if its accuser already has one queued."""
        key = _Key(update.name, update.accuser if update.state is MemberState.SUSPECT else "")
        keys = self._keys_by_name.setdefault(update.name, [])
        if key in keys:
            return
        keys.append(key)
        self._levels[0][key] = _Entry(update, encoded_size(update))

    def discard(self, name: str) -> None:
        """Remove all queued updates about a member."""
        for key in self._keys_by_name.pop(name, ()):
            for level in self._levels:
                if level.pop(key, None) is not None:
                    break

    def clear(self) -> None:
        """Remove all updates."""
        self._levels = [OrderedDict()]
        self._keys_by_name.clear()

    def next_updates(self, max_bytes: int, max_transmissions: int) -> list[MemberUpdate]:
        """Return the least transmitted updates that fit into `max_bytes`, and count the transmission.

        An update is removed after `max_transmissions` transmissions.
        """
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
